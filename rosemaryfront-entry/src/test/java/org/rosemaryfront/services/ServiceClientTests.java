package org.rosemaryfront.services;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.publisher.Mono;

import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.model.VmId;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

class ServiceClientTests {

	private static final Duration LIMIT = Duration.ofSeconds(20);

	// An entry is paused after it connected and wakes when its caller has read not-run.
	// If one byte went out now, the booking could run after all.
	@Test
	void shouldSendNothingWhenPermitIsRefused() {
		try (BookingService booking = BookingService.start("vm-a");
				ServiceClient client = ServiceClient.of(Duration.ofSeconds(2))) {
			Mono<ServiceAnswer> refused = client.sendOnce(booking.server("tunis-a"), call("villa-1"), LIMIT,
					() -> Mono.error(ServiceFailure.notRun("too late")), 1_000);
			ServiceFailure failure = catchThrowableOfType(ServiceFailure.class, () -> refused.block(LIMIT));
			assertThat(failure.verdict()).isEqualTo(Verdict.notRun());
			client.sendOnce(booking.server("tunis-a"), call("villa-2"), LIMIT, Mono::empty, 1_000).block(LIMIT);
			assertThat(booking.runs("villa-1")).isZero();
			assertThat(booking.runs("villa-2")).isOne();
		}
	}

	@Test
	void shouldSayNotRunWhenNobodyListens() {
		ServiceServer nobody;
		try (BookingService booking = BookingService.start("vm-a")) {
			nobody = booking.server("tunis-a");
		}
		try (ServiceClient client = ServiceClient.of(Duration.ofSeconds(2))) {
			Mono<ServiceAnswer> answer = client.sendOnce(
					new ServiceServer(new VmId("vm-a"), "booking", "tunis-a", nobody.address(), false), call("villa-3"),
					LIMIT, Mono::empty, 1_000);
			ServiceFailure failure = catchThrowableOfType(ServiceFailure.class, () -> answer.block(LIMIT));
			assertThat(failure.verdict()).isEqualTo(Verdict.notRun());
		}
	}

	// The connection breaks after the service booked: the caller must not read not-run.
	@Test
	void shouldSayMayHaveRunWhenConnectionBreaks() {
		try (BookingService booking = BookingService.start("vm-a");
				ServiceClient client = ServiceClient.of(Duration.ofSeconds(2))) {
			booking.behave(BookingService.Behaviour.BREAK);
			Mono<ServiceAnswer> answer = client.sendOnce(booking.server("tunis-a"), call("villa-4"), LIMIT, Mono::empty,
					1_000);
			ServiceFailure failure = catchThrowableOfType(ServiceFailure.class, () -> answer.block(LIMIT));
			assertThat(failure.verdict()).isEqualTo(Verdict.mayHaveRun());
			assertThat(booking.runs("villa-4")).isOne();
		}
	}

	// A status that is none would reach the caller as that of its booking.
	@ParameterizedTest
	@ValueSource(strings = { "000", "0200", "999" })
	void shouldSayMayHaveRunWhenStatusIsInvalid(String status) throws IOException {
		try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
				ServiceClient client = ServiceClient.of(Duration.ofSeconds(2))) {
			Thread.ofVirtual()
				.start(() -> answerOnce(listener, "HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n"));
			ServiceServer server = new ServiceServer(new VmId("vm-a"), "booking", "tunis-a",
					"127.0.0.1:" + listener.getLocalPort(), false);
			Mono<ServiceAnswer> answer = client.sendOnce(server, call("villa-5"), LIMIT, Mono::empty, 1_000);
			ServiceFailure failure = catchThrowableOfType(ServiceFailure.class, () -> answer.block(LIMIT));
			assertThat(failure.verdict()).isEqualTo(Verdict.mayHaveRun());
		}
	}

	private static void answerOnce(ServerSocket listener, String answer) {
		try (Socket socket = listener.accept()) {
			socket.getInputStream().read();
			socket.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
			// Reads until the client closes the connection.
			socket.getInputStream().transferTo(OutputStream.nullOutputStream());
		}
		catch (IOException ex) {
			// The client closed the connection.
		}
	}

	private static ServiceCall call(String body) {
		return new ServiceCall("request", "federation", "booking", HttpMethod.POST, "/bookings",
				new DefaultHttpHeaders(), body.getBytes(StandardCharsets.UTF_8));
	}

}
