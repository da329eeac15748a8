package org.rosemaryfront.traffic;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class IdleLimitTests {

	// Guards against a call on a connection that the server closes at that moment.
	@ParameterizedTest
	@CsvSource({ "timeout=5, 3800", "'timeout=5, max=100', 3800", "'max=100, timeout=60', 58800", "timeout=1, 200",
			"timeout=0, 200", "timeout=999999, 999997800" })
	void shouldEndBeforeServersLimit(String keepAlive, long millis) {
		assertThat(stated(keepAlive)).hasValue(TimeUnit.MILLISECONDS.toNanos(millis));
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "max=100", "timeout=", "timeout=x", "timeout=-5", "timeout=1000000",
			"timeout=99999999999999999999" })
	void shouldBeEmptyWhenServerStatesNoUsableLimit(String keepAlive) {
		assertThat(stated(keepAlive)).isEmpty();
	}

	@Test
	void shouldBeEmptyWhenHeaderIsMissing() {
		assertThat(IdleLimit.stated(head())).isEmpty();
	}

	private static OptionalLong stated(String keepAlive) {
		HttpResponse head = head();
		head.headers().set("Keep-Alive", keepAlive);
		return IdleLimit.stated(head);
	}

	private static HttpResponse head() {
		return new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
	}

}
