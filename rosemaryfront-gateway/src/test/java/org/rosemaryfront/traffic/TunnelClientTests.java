package org.rosemaryfront.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.gateway.proto.TunnelFrame;
import org.rosemaryfront.paths.Carrier;

import static org.assertj.core.api.Assertions.assertThat;

class TunnelClientTests {

	private static final BackendServer SERVER = new BackendServer("s1", 5, "app", "v1", "127.0.0.1:9", "a", 8, false,
			false, 0);

	private static final Carrier CARRIER = new Carrier("gateway-2", "127.0.0.1:9", "a", 0);

	private final List<String> events = new ArrayList<>();

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final TunnelClient client = new TunnelClient(CARRIER, SERVER, new RecordedAnswer());

	private final ServerConnection connection = ServerConnection
		.tunnelled(new ConnectionPool(this.channel.eventLoop(), new NoHeaders(), "a", (_) -> {
		}), new NoHeaders(), this.client);

	TunnelClientTests() {
		this.channel.pipeline().addLast(this.client);
		this.connection.addTo(this.channel.pipeline());
		this.channel.pipeline().fireChannelActive();
		this.channel.writeInbound(TunnelPipeline.OPENED);
	}

	// Guards against a response without length that looks complete although the other
	// gateway was killed, or its connection to the server reset, in the middle of it.
	@ParameterizedTest
	@CsvSource({ "CLOSED, complete", "CLOSED_BEFORE_REQUEST_WAS_SENT, failed", "FAILURE, failed", "KILLED, failed" })
	void shouldCompleteResponseWithoutLengthOnlyWhenServerClosed(String end, String expected) {
		startCall();
		this.channel.writeInbound(data("HTTP/1.1 200 OK\r\n\r\nbody"));
		switch (end) {
			case "CLOSED" -> this.channel.writeInbound(TunnelPipeline.CLOSED);
			case "CLOSED_BEFORE_REQUEST_WAS_SENT" -> this.channel.writeInbound(TunnelPipeline.closed(false));
			case "FAILURE" -> this.channel.writeInbound(TunnelPipeline.failure("Connection reset"));
			default -> this.channel.close();
		}
		this.channel.runPendingTasks();
		assertThat(this.events).containsExactly("opened", "body", expected);
	}

	// Guards against taking a call as sent that the other gateway refused to begin.
	@Test
	void shouldReportRefusalWhenCallIsNotBegun() {
		this.client.begin("c1", new RecordedAnswer());
		this.channel.writeInbound(TunnelPipeline.refused("the server is draining", false));
		assertThat(this.events).containsExactly("opened", "refused false");
		assertThat(this.channel.isActive()).isFalse();
	}

	// Guards against a call that waits for a gateway that is gone.
	@Test
	void shouldReportMissingAnswerWhenOtherGatewayIsSilent() {
		this.client.begin("c1", new RecordedAnswer());
		this.channel.advanceTimeBy(TunnelClient.ANSWER_TIMEOUT_MILLIS + 1, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
		assertThat(this.events).containsExactly("opened", "no answer");
		assertThat(this.channel.isActive()).isFalse();
	}

	// Guards against acting on frames that the other end never sends.
	@Test
	void shouldFailCallWhenFrameIsUnexpected() {
		startCall();
		this.channel.writeInbound(TunnelFrame.newBuilder().setCall("c2").build());
		assertThat(this.events).containsExactly("opened", "failed");
		assertThat(this.channel.isActive()).isFalse();
	}

	private void startCall() {
		this.connection.startCall("c1", new RecordedResponse(this.events));
		this.connection.write(new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
		this.connection.write(LastHttpContent.EMPTY_LAST_CONTENT);
	}

	private static TunnelFrame data(String text) {
		return TunnelFrame.newBuilder().setData(ByteString.copyFromUtf8(text)).build();
	}

	private final class RecordedAnswer implements TunnelClient.Answer {

		@Override
		public void opened() {
			TunnelClientTests.this.events.add("opened");
		}

		@Override
		public void refused(String cause, boolean unreachable) {
			TunnelClientTests.this.events.add("refused " + unreachable);
		}

		@Override
		public void noAnswer(String cause) {
			TunnelClientTests.this.events.add("no answer");
		}

	}

}
