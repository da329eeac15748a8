package org.rosemaryfront.http;

import java.time.Duration;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class StrictClientsTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private static final String REST = "Content-Length: 4\r\n\r\nbody";

	// Guards against a number that is no status and is taken for one.
	@ParameterizedTest
	@ValueSource(
			strings = { "000", "001", "099", "600", "999", "0200", "00200", "2000", "20", "2", "+200", "-200", "20x" })
	void shouldFailCallWhenStatusIsInvalid(String status) {
		shouldFail("HTTP/1.1 " + status + " X\r\n" + REST);
	}

	// Guards against a valid response that is refused because it is unusual.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 200 OK", "HTTP/1.1 203 X", "HTTP/1.1 299 X",
			"HTTP/1.1 418 X", "HTTP/1.1 599 \u00fc", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 X" })
	void shouldReadResponseWhenStatusLineIsUnusual(String statusLine) {
		int code = Integer.parseInt(statusLine.substring(statusLine.lastIndexOf("HTTP/")).split(" ")[1]);
		assertThat(call(statusLine + "\r\n" + REST)).isEqualTo(code + " body");
	}

	// Guards against a body that is awaited behind the response to a HEAD request.
	@ParameterizedTest
	@MethodSource("clients")
	void shouldReadResponseWhenRequestIsHead(HttpClient client) {
		try (RespondingServer server = RespondingServer.start("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n")) {
			Integer status = client.remoteAddress(server::address)
				.head()
				.uri("/")
				.response()
				.map((response) -> response.status().code())
				.block(TIMEOUT);
			assertThat(status).isEqualTo(200);
		}
	}

	static Stream<Arguments> clients() {
		return Stream.of(StrictClients.withoutReuse(), StrictClients.pooled()).map(Arguments::of);
	}

	private static void shouldFail(String response) {
		assertThatExceptionOfType(RuntimeException.class).isThrownBy(() -> call(response))
			.withMessageNotContaining("Timeout");
	}

	private static String call(String response) {
		try (RespondingServer server = RespondingServer.start(response)) {
			return StrictClients.withoutReuse()
				.remoteAddress(server::address)
				.get()
				.uri("/")
				.responseSingle((head, body) -> body.asString()
					.switchIfEmpty(Mono.just(""))
					.map((text) -> head.status().code() + " " + text))
				.block(TIMEOUT);
		}
	}

}
