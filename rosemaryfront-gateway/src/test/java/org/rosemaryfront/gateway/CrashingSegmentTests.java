package org.rosemaryfront.gateway;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import org.rosemaryfront.gateway.RawCaller.Response;

import static org.assertj.core.api.Assertions.assertThat;

// Guards against different requests with one segment in their prompts crashing server after server.
class CrashingSegmentTests {

	private static final int GATEWAYS = 3;

	/** Time within which gateways receive the updates of the others, in milliseconds. */
	private static final long PROPAGATION_MILLIS = 3_000;

	/** Servers that may crash under a segment before requests with it are counted. */
	private static final int CRASHES = 5;

	/** Requests with the segment that all gateways together may still send after that. */
	private static final int MAX_FURTHER_REQUESTS = 3;

	/** Further requests with the segment that each gateway receives. */
	private static final int REPEATS = 3;

	private static final String HARMFUL = "harmful:30";

	/** A prompt with the harmful segment; the last segment is added to each request. */
	private static final String HARMFUL_PROMPT = "base:200,session:80,harmful:30";

	private static final String SOUND_PROMPT = "base:200,session:80";

	private static final String HEAD = "HTTP/1.1 200 OK\r\nCall: CALL\r\nSignature: s\r\n";

	private static final Pattern HELD_SEGMENT = Pattern
		.compile("\"digest\":\"([0-9a-f]{32})\",\"held\":true,\"crashes\":\\[[^]]*],\"segment\":\"harmful@v1\"");

	private final MemoryRowStore store = new MemoryRowStore();

	private final CrashableServers servers = CrashableServers.of(this.store,
			(request) -> request.header("prompt").contains(HARMFUL));

	private List<GatewayHarness> fleet = List.of();

	private int requests;

	@BeforeEach
	void start() throws IOException {
		this.fleet = GatewayHarness.startFleet(this.store, GATEWAYS, 8_000);
		this.fleet.getFirst().declare();
		ready();
	}

	@AfterEach
	void stop() {
		this.fleet.forEach(GatewayHarness::close);
		this.servers.close();
	}

	// A response that ends with its connection looks complete although its server
	// crashed.
	@ParameterizedTest
	@MethodSource("crashes")
	void shouldHoldBackRequestsWhenServersCrashUnderTheirSegment(String path, String prompt, String response)
			throws IOException {
		this.servers.crashAfter(response);
		crashServers(path, prompt);
		sleep(PROPAGATION_MILLIS);
		assertThat(furtherRequestsSent(path, prompt)).isLessThanOrEqualTo(MAX_FURTHER_REQUESTS);
		assertHeldBack(path, prompt);
		assertSoundRequestsServed(path);
	}

	static Stream<Arguments> crashes() {
		Stream<Arguments> segments = Stream
			.of("harmful:30,base:200,session:80", "base:200,harmful:30,session:80", HARMFUL_PROMPT)
			.map((prompt) -> Arguments.of("/drafts/", prompt, ""));
		Stream<Arguments> routes = Stream.of("/summaries/", "/sheets/", "/visits/")
			.map((path) -> Arguments.of(path, HARMFUL_PROMPT, ""));
		Stream<Arguments> responses = Stream
			.of("Transfer-Encoding: chunked\r\n\r\n", "Content-Length: 900\r\n\r\n", "\r\n", "\r\ndata: first\n\n")
			.map((response) -> Arguments.of("/drafts/", HARMFUL_PROMPT, HEAD + response));
		return Stream.of(segments, routes, responses).flatMap(Function.identity());
	}

	// The other segments were never seen without the harmful one when it is held back.
	@Test
	void shouldServeSoundRequestsWhenTheirSegmentsOccurredOnlyBesideHarmfulOne() throws IOException {
		while (this.servers.crashes() < CRASHES && ask("/drafts/", HARMFUL_PROMPT).status() != 503) {
			ready();
		}
		sleep(PROPAGATION_MILLIS);
		ready();
		assertSoundRequestsServed("/drafts/");
		assertHeldBack("/drafts/", HARMFUL_PROMPT);
	}

	@Test
	void shouldHoldBackRequestsWhenAllProcessesWereKilled() throws IOException {
		crashServers("/drafts/", HARMFUL_PROMPT);
		sleep(PROPAGATION_MILLIS);
		this.fleet.forEach((gateway) -> gateway.storeAccess.rejectAll());
		this.fleet.forEach(GatewayHarness::stop);
		this.fleet = GatewayHarness.startFleet(this.store, GATEWAYS, 8_000);
		this.fleet.getFirst().declare();
		ready();
		assertThat(furtherRequestsSent("/drafts/", HARMFUL_PROMPT)).isLessThanOrEqualTo(MAX_FURTHER_REQUESTS);
		assertSoundRequestsServed("/drafts/");
	}

	@Test
	void shouldServeRequestsAgainWhenOperatorReleasesSegment() throws IOException {
		crashServers("/drafts/", HARMFUL_PROMPT);
		this.servers.repair();
		assertHeldBack("/drafts/", HARMFUL_PROMPT);
		GatewayHarness gateway = this.fleet.getFirst();
		Matcher held = HELD_SEGMENT.matcher(gateway.operator("GET", "/held-requests").body());
		assertThat(held.find()).isTrue();
		assertThat(gateway.operator("DELETE", "/held-requests/" + held.group(1)).status()).isEqualTo(204);
		GatewayHarness.await(() -> isServedByAll("/drafts/", HARMFUL_PROMPT));
	}

	// -- steps

	// Stops early once the requests are held back.
	private void crashServers(String path, String prompt) throws IOException {
		while (this.servers.crashes() < CRASHES && ask(path, prompt).status() != 503) {
			ready();
			assertThat(ask(path, SOUND_PROMPT).status()).isEqualTo(200);
		}
		ready();
	}

	private int furtherRequestsSent(String path, String prompt) throws IOException {
		int before = this.servers.copiesSent();
		for (int i = 0; i < REPEATS * GATEWAYS; i++) {
			ask(path, prompt);
			ready();
		}
		return this.servers.copiesSent() - before;
	}

	private void assertHeldBack(String path, String prompt) throws IOException {
		Response response = ask(path, prompt);
		assertThat(response.status()).isEqualTo(503);
		assertThat(response.hasHeader("retry-after")).isTrue();
	}

	private void assertSoundRequestsServed(String path) throws IOException {
		for (int i = 0; i < GATEWAYS; i++) {
			assertThat(ask(path, SOUND_PROMPT).status()).isEqualTo(200);
		}
	}

	private boolean isServedByAll(String path, String prompt) {
		try {
			for (int i = 0; i < GATEWAYS; i++) {
				if (ask(path, prompt).status() != 200) {
					return false;
				}
			}
			return true;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	// Sends a request that no other one is equal to, through each gateway in turn.
	private Response ask(String path, String prompt) throws IOException {
		this.requests++;
		String call = "c" + this.requests;
		return this.fleet.get(this.requests % GATEWAYS)
			.send(RawCaller.prompt(call, path, prompt + ",own" + this.requests + ":" + this.requests));
	}

	private void ready() throws IOException {
		this.servers.fill();
		for (GatewayHarness gateway : this.fleet) {
			gateway.ready(this.servers.registered());
		}
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
