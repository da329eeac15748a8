package org.rosemaryfront.entry;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * A scripted engine over HTTP: token {@code i} of every answer is {@code " w" + i}, and
 * tokens come only up to a gate that the test opens.
 */
final class FakeEngine implements AutoCloseable {

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	private static final Duration PACE = Duration.ofMillis(2);

	private static final int TICKS_PER_HEARTBEAT = 25;

	private final Map<String, Integer> streams = new ConcurrentHashMap<>();

	private final Map<String, Integer> starts = new ConcurrentHashMap<>();

	private final List<String> cancelled = new CopyOnWriteArrayList<>();

	private final List<JsonNode> orders = new CopyOnWriteArrayList<>();

	private final AtomicInteger attached = new AtomicInteger();

	private final AtomicInteger silenced = new AtomicInteger();

	private final DefaultChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

	private final DisposableServer server;

	private volatile int gate = Integer.MAX_VALUE;

	private volatile boolean leaving;

	private volatile String prelude = "";

	private FakeEngine() {
		this.server = HttpServer.create()
			.host("127.0.0.1")
			.port(0)
			.channelGroup(this.connections)
			.handle(this::handle)
			.bindNow();
	}

	static FakeEngine start() {
		return new FakeEngine();
	}

	// -- script

	void die() {
		this.server.channel().close().awaitUninterruptibly();
		this.connections.close().awaitUninterruptibly();
	}

	void leave() {
		this.leaving = true;
	}

	void openGate(int tokens) {
		this.gate = tokens;
	}

	void prelude(String line) {
		this.prelude = line;
	}

	/** Connections open now carry nothing any more; later ones work. */
	void silence() {
		this.silenced.incrementAndGet();
	}

	@Override
	public void close() {
		die();
	}

	// -- record

	String address() {
		InetSocketAddress address = (InetSocketAddress) this.server.address();
		return "127.0.0.1:" + address.getPort();
	}

	int attached() {
		return this.attached.get();
	}

	List<String> cancelled() {
		return this.cancelled;
	}

	List<JsonNode> orders() {
		return this.orders;
	}

	// -- protocol

	private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
		String path = request.fullPath();
		String stream = path.substring(path.lastIndexOf('/') + 1);
		return switch (request.method().name()) {
			case "POST" -> request.receive().aggregate().asString().flatMap((body) -> open(body, response));
			case "GET" -> attach(stream, request.uri(), response);
			case "DELETE" -> {
				this.cancelled.add(stream);
				this.streams.remove(stream);
				yield response.status(204).send();
			}
			default -> response.sendNotFound();
		};
	}

	private Mono<Void> open(String body, HttpServerResponse response) {
		if (this.leaving) {
			return response.status(409).sendString(Mono.just("{\"refused\":\"leaving\"}")).then();
		}
		JsonNode order = read(body);
		this.orders.add(order);
		String attempt = order.path("attempt").asText();
		this.streams.put(attempt, order.path("maxTokens").asInt());
		this.starts.put(attempt, order.path("emitted").size());
		String accepted = "{\"t\":\"accepted\",\"attempt\":\"" + attempt + "\",\"cached\":0}\n";
		return send(response, attempt, order.path("emitted").size(), accepted + this.prelude);
	}

	private Publisher<Void> attach(String stream, String uri, HttpServerResponse response) {
		if (!this.streams.containsKey(stream)) {
			return response.status(404).sendString(Mono.just("{\"refused\":\"unknown-stream\"}"));
		}
		this.attached.incrementAndGet();
		return send(response, stream, Integer.parseInt(uri.substring(uri.indexOf("offset=") + 7)), "");
	}

	private Mono<Void> send(HttpServerResponse response, String attempt, int offset, String first) {
		int generation = this.silenced.get();
		int[] position = { offset };
		Flux<String> lines = Flux.interval(PACE)
			.onBackpressureDrop()
			.concatMapIterable(
					(tick) -> (generation == this.silenced.get()) ? lines(attempt, position, tick) : List.<String>of())
			.takeUntil((line) -> line.contains("\"done\""));
		return response
			.sendString(Flux.just(first).filter((line) -> !line.isEmpty()).concatWith(lines).map((line) -> line),
					java.nio.charset.StandardCharsets.UTF_8)
			.then();
	}

	private List<String> lines(String attempt, int[] position, long tick) {
		int length = this.streams.getOrDefault(attempt, 0);
		List<String> lines = new ArrayList<>();
		if (position[0] < Math.min(length, this.gate)) {
			int i = position[0]++;
			lines.add("{\"t\":\"token\",\"attempt\":\"" + attempt + "\",\"i\":" + i + ",\"text\":\" w" + i + "\"}\n");
		}
		else if (position[0] >= length) {
			lines.add("{\"t\":\"done\",\"attempt\":\"" + attempt + "\",\"reason\":\"length\",\"tokens\":" + length
					+ "}\n");
		}
		else if (tick % TICKS_PER_HEARTBEAT == 0) {
			lines.add("{\"t\":\"heartbeat\",\"attempt\":\"" + attempt + "\"}\n");
		}
		return lines;
	}

	private static JsonNode read(String body) {
		try {
			return MAPPER.readTree(body);
		}
		catch (com.fasterxml.jackson.core.JsonProcessingException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
