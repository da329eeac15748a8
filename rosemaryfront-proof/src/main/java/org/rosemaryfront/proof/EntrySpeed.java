package org.rosemaryfront.proof;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

import org.rosemaryfront.model.AttemptId;
import org.rosemaryfront.standin.engine.StandInAnswer;

/**
 * Measures the speed of an entry process in a cluster of three: requests and tokens a
 * second for each core that it uses, the latency that it adds against going straight to
 * the stand-in engines in the same run, memory under load, and what entry and controller
 * use while nothing is asked. Prints one JSON line.
 *
 * <p>
 * Both ways are asked by the same client with the same questions and the same number of
 * streams at a time. The processor time is that of the entry's process only.
 *
 * <pre>
 * bin/bench-entry 32 20     # streams at a time, seconds
 * </pre>
 */
public final class EntrySpeed {

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	private static final Duration WARM_UP = Duration.ofSeconds(15);

	private static final Duration IDLE = Duration.ofSeconds(20);

	private static final int MAX_TOKENS = 120;

	private static final int HIGHEST_MICROS = 60_000_000;

	private final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final AtomicInteger numbers = new AtomicInteger();

	private final Cluster cluster;

	private final int streams;

	private final Duration duration;

	private final List<String> servers;

	private EntrySpeed(Cluster cluster, int streams, Duration duration) {
		this.cluster = cluster;
		this.streams = streams;
		this.duration = duration;
		this.servers = runners(cluster);
	}

	/**
	 * Runs the measurement.
	 * @param args the root of the project, streams at a time, seconds
	 * @throws JsonProcessingException never in practice
	 */
	public static void main(String[] args) throws JsonProcessingException {
		Path home = Path.of(args[0]);
		int streams = (args.length > 1) ? Integer.parseInt(args[1]) : 32;
		int seconds = (args.length > 2) ? Integer.parseInt(args[2]) : 20;
		try (Cluster cluster = Cluster.start(home, Cluster.scratch(home, "entry-speed"), Deployment.federation(), 3)) {
			cluster.apply();
			Map<String, Object> line = new EntrySpeed(cluster, streams, Duration.ofSeconds(seconds)).measure();
			System.out.println(MAPPER.writeValueAsString(line));
		}
	}

	private Map<String, Object> measure() {
		Map<String, Object> line = new LinkedHashMap<>();
		line.put("streams", this.streams);
		line.put("runners", this.servers.size());
		ManagedProcess entry = this.cluster.entries().getFirst();
		ManagedProcess controller = this.cluster.controllers().getFirst();
		idle(line, entry, controller);
		run(WARM_UP, this::throughEntry);
		run(WARM_UP, this::straight);
		ProcessUse before = ProcessUse.of(entry.pid());
		Figures through = run(this.duration, this::throughEntry);
		ProcessUse after = ProcessUse.of(entry.pid());
		Figures straight = run(this.duration, this::straight);
		double cores = (after.cpuMillis() - before.cpuMillis()) / (through.seconds() * 1_000);
		line.put("requests", through.answers.get());
		line.put("notWhole", through.failures.get());
		line.put("requestsPerSecond", rounded(through.answers.get() / through.seconds()));
		line.put("tokensPerSecond", rounded(through.tokens.get() / through.seconds()));
		line.put("entryCores", rounded(cores));
		line.put("requestsPerCoreSecond", rounded(through.answers.get() / through.seconds() / cores));
		line.put("tokensPerCoreSecond", rounded(through.tokens.get() / through.seconds() / cores));
		line.put("firstTokenMillis", latency(through.first));
		line.put("firstTokenStraightMillis", latency(straight.first));
		line.put("betweenTokensMillis", latency(through.between));
		line.put("betweenTokensStraightMillis", latency(straight.between));
		line.put("straightTokensPerSecond", rounded(straight.tokens.get() / straight.seconds()));
		line.put("straightNotWhole", straight.failures.get());
		line.put("entryLoadedMegabytes", rounded(after.residentKilobytes() / 1024.0));
		line.put("controllerLoadedMegabytes", rounded(ProcessUse.of(controller.pid()).residentKilobytes() / 1024.0));
		return line;
	}

	private void idle(Map<String, Object> line, ManagedProcess entry, ManagedProcess controller) {
		ProcessUse entryBefore = ProcessUse.of(entry.pid());
		ProcessUse controllerBefore = ProcessUse.of(controller.pid());
		Pause.of(IDLE);
		ProcessUse entryAfter = ProcessUse.of(entry.pid());
		ProcessUse controllerAfter = ProcessUse.of(controller.pid());
		line.put("entryIdleCorePercent", percent(entryBefore, entryAfter));
		line.put("controllerIdleCorePercent", percent(controllerBefore, controllerAfter));
		line.put("entryIdleMegabytes", rounded(entryAfter.residentKilobytes() / 1024.0));
		line.put("controllerIdleMegabytes", rounded(controllerAfter.residentKilobytes() / 1024.0));
	}

	private static double percent(ProcessUse before, ProcessUse after) {
		return rounded((after.cpuMillis() - before.cpuMillis()) * 100.0 / IDLE.toMillis());
	}

	// -- load

	private Figures run(Duration time, Ask ask) {
		Figures figures = new Figures(System.nanoTime());
		long end = System.nanoTime() + time.toNanos();
		List<Thread> workers = new ArrayList<>();
		for (int i = 0; i < this.streams; i++) {
			workers.add(Thread.ofVirtual().start(() -> {
				while (System.nanoTime() < end) {
					int number = this.numbers.incrementAndGet();
					try {
						ask.ask(number, "visit the household of round " + number, figures);
					}
					catch (IOException ex) {
						figures.failures.incrementAndGet();
						Pause.of(Duration.ofMillis(20));
					}
				}
			}));
		}
		for (Thread worker : workers) {
			try {
				worker.join();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
		figures.end = System.nanoTime();
		return figures;
	}

	private void throughEntry(int number, String question, Figures figures) throws IOException {
		List<String> organisations = this.cluster.deployment().organisations();
		String organisation = organisations.get(number % organisations.size());
		ObjectNode body = MAPPER.createObjectNode()
			.put("model", this.cluster.deployment().model())
			.put("stream", true)
			.put("max_tokens", MAX_TOKENS);
		body.putArray("messages").addObject().put("role", "user").put("content", question);
		read(this.cluster.callers().getFirst() + "/v1/chat/completions", Deployment.key(organisation), body,
				(line) -> line.startsWith("data: {") && line.contains("\"content\":"), "data: [DONE]", question,
				figures);
	}

	private void straight(int number, String question, Figures figures) throws IOException {
		ObjectNode body = MAPPER.createObjectNode()
			.put("attempt", new AttemptId("%032x".formatted(number)).toString())
			.put("model", this.cluster.deployment().model())
			.put("adapter", "")
			.put("prompt", "user: " + question)
			.put("maxTokens", MAX_TOKENS)
			.put("priority", 1)
			.put("expiresMillis", 30_000);
		body.putArray("blocks");
		body.putArray("emitted");
		String server = this.servers.get(number % this.servers.size());
		read("http://" + server + "/engine/v1/streams", "", body, (line) -> line.startsWith("{\"t\":\"token\""),
				"{\"t\":\"done\"", question, figures);
	}

	private static List<String> runners(Cluster cluster) {
		List<String> addresses = new ArrayList<>();
		cluster.call("GET", cluster.platform().listener("http"), "/vmlist/v1/vms", "").path("vms").forEach((vm) -> {
			if (vm.path("pool").asText().equals(cluster.deployment().modelPool()) && !vm.path("leaving").asBoolean()) {
				addresses.add(vm.path("address").asText());
			}
		});
		return addresses;
	}

	private void read(String url, String key, ObjectNode body, Predicate<String> token, String last, String question,
			Figures figures) throws IOException {
		HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(url))
			.header("Content-Type", "application/json")
			.POST(HttpRequest.BodyPublishers.ofString(body.toString()));
		if (!key.isEmpty()) {
			request.header("Authorization", "Bearer " + key);
		}
		int expected = StandInAnswer.tokens("user: " + question, this.cluster.deployment().model(), "", MAX_TOKENS)
			.size();
		long at = System.nanoTime();
		int tokens = 0;
		boolean ended = false;
		HttpResponse<InputStream> response = send(request.build());
		try (BufferedReader reader = new BufferedReader(
				new InputStreamReader(response.body(), StandardCharsets.UTF_8))) {
			for (String line = reader.readLine(); line != null; line = reader.readLine()) {
				if (token.test(line)) {
					long now = System.nanoTime();
					((tokens == 0) ? figures.first : figures.between)
						.recordValue(Math.min(HIGHEST_MICROS, (now - at) / 1_000));
					at = now;
					tokens++;
				}
				ended |= line.startsWith(last);
			}
		}
		figures.tokens.addAndGet(tokens);
		((ended && tokens == expected) ? figures.answers : figures.failures).incrementAndGet();
	}

	private HttpResponse<InputStream> send(HttpRequest request) throws IOException {
		try {
			return this.http.send(request, HttpResponse.BodyHandlers.ofInputStream());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException(ex);
		}
	}

	private static Map<String, Double> latency(Histogram histogram) {
		Map<String, Double> values = new LinkedHashMap<>();
		values.put("p50", rounded(histogram.getValueAtPercentile(50) / 1e3));
		values.put("p99", rounded(histogram.getValueAtPercentile(99) / 1e3));
		return values;
	}

	private static double rounded(double value) {
		return Math.round(value * 100) / 100.0;
	}

	/** Asks one question. */
	private interface Ask {

		void ask(int number, String question, Figures figures) throws IOException;

	}

	private static final class Figures {

		private final Histogram first = new ConcurrentHistogram(HIGHEST_MICROS, 3);

		private final Histogram between = new ConcurrentHistogram(HIGHEST_MICROS, 3);

		private final AtomicInteger answers = new AtomicInteger();

		private final AtomicInteger failures = new AtomicInteger();

		private final AtomicInteger tokens = new AtomicInteger();

		private final long begin;

		private long end;

		private Figures(long begin) {
			this.begin = begin;
		}

		private double seconds() {
			return (this.end - this.begin) / 1e9;
		}

	}

}
