package org.rosemaryfront.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.LongStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import org.rosemaryfront.gateway.ScriptedServer.Exchange;
import org.rosemaryfront.gateway.ScriptedServer.Request;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Draws responses in chunks of few bytes from a seed, with servers that pause and callers
 * that read slowly. More seeds are run by hand with {@code -Dchunks.seeds=FIRST-LAST}.
 */
class SmallChunksTests {

	private static final String SEEDS = System.getProperty("chunks.seeds", "1-3");

	private static final int ROUNDS = 4;

	/** As many as the server has slots for. */
	private static final int CALLS = 6;

	private static final int MAX_EVENTS = 4_000;

	private static final int MAX_CHUNK_BYTES = 40;

	private static final int PAUSE_ONE_IN = 400;

	private static final int MAX_PAUSE_NANOS = 3_000_000;

	private static final List<String> PATHS = List.of("/summaries/", "/drafts/", "/sheets/");

	static LongStream seeds() {
		String[] bounds = SEEDS.split("-");
		return LongStream.rangeClosed(Long.parseLong(bounds[0]), Long.parseLong(bounds[1]));
	}

	// Guards against bytes that are lost, doubled or in another order when small parts
	// are
	// sent together and connections wait for their turn to be read.
	@ParameterizedTest
	@MethodSource("seeds")
	void shouldForwardEachByteInOrderWhenChunksAreSmall(long seed) throws Exception {
		try (GatewayHarness gateway = GatewayHarness.start();
				ScriptedServer _ = gateway.startServer(SmallChunksTests::answer);
				ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
			Random random = new Random(seed);
			for (int round = 0; round < ROUNDS; round++) {
				Map<Long, Future<String>> bodies = new LinkedHashMap<>();
				for (int i = 0; i < CALLS; i++) {
					long call = random.nextLong(1, Long.MAX_VALUE);
					String path = PATHS.get(i % PATHS.size()) + call;
					bodies.put(call, callers.submit(() -> read(gateway, path, new Random(call))));
				}
				for (Map.Entry<Long, Future<String>> body : bodies.entrySet()) {
					assertThat(body.getValue().get()).as("seed %s, call %s", seed, body.getKey())
						.isEqualTo(body(body.getKey()));
				}
			}
			assertThat(gateway.metric("gauges", "servers.reads.paced")).isPositive();
		}
	}

	private static String body(long call) {
		int events = 1 + new Random(call).nextInt(MAX_EVENTS);
		StringBuilder body = new StringBuilder();
		for (int id = 1; id <= events; id++) {
			body.append("id: ").append(id).append("\ndata: ").append(call).append('-').append(id).append("\n\n");
		}
		return body.toString();
	}

	// -- server

	private static void answer(Request request, Exchange exchange) throws IOException {
		long call = Long.parseLong(request.line().split("[ /]+")[2]);
		Random random = new Random(call);
		String body = body(call);
		exchange.write("HTTP/1.1 200 OK\r\nCall: " + request.call()
				+ "\r\nSignature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
		StringBuilder chunks = new StringBuilder();
		for (int at = 0; at < body.length();) {
			int until = Math.min(body.length(), at + 1 + random.nextInt(MAX_CHUNK_BYTES));
			chunks.append(Integer.toHexString(until - at)).append("\r\n").append(body, at, until).append("\r\n");
			at = until;
			if (random.nextInt(PAUSE_ONE_IN) == 0) {
				exchange.write(chunks.toString());
				chunks.setLength(0);
				LockSupport.parkNanos(random.nextInt(MAX_PAUSE_NANOS));
			}
		}
		exchange.write(chunks + "0\r\n\r\n");
	}

	// -- callers

	private static String read(GatewayHarness gateway, String path, Random random) throws IOException {
		try (Socket socket = new Socket()) {
			socket.setReceiveBufferSize(4_096 << random.nextInt(5));
			socket.connect(gateway.settings.callers());
			socket.getOutputStream().write(RawCaller.get("c" + path.hashCode(), path).getBytes(StandardCharsets.UTF_8));
			InputStream in = socket.getInputStream();
			StringBuilder received = new StringBuilder();
			byte[] buffer = new byte[1_024 + random.nextInt(8_192)];
			while (received.indexOf("\r\n0\r\n\r\n", Math.max(0, received.length() - buffer.length - 10)) < 0) {
				int count = in.read(buffer);
				if (count < 0) {
					return "ended after " + received;
				}
				received.append(new String(buffer, 0, count, StandardCharsets.UTF_8));
				if (random.nextInt(20) == 0) {
					LockSupport.parkNanos(random.nextInt(MAX_PAUSE_NANOS));
				}
			}
			return withoutChunks(received.substring(received.indexOf("\r\n\r\n") + 4));
		}
	}

	private static String withoutChunks(String chunked) {
		StringBuilder body = new StringBuilder();
		int at = 0;
		while (true) {
			int lineEnd = chunked.indexOf("\r\n", at);
			int size = Integer.parseInt(chunked.substring(at, lineEnd), 16);
			if (size == 0) {
				return body.toString();
			}
			body.append(chunked, lineEnd + 2, lineEnd + 2 + size);
			at = lineEnd + 2 + size + 2;
		}
	}

}
