package org.rosemaryfront.proof;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The cluster that all scenarios share: three entries, three runners, two services. */
final class PromiseCluster implements AutoCloseable {

	static final Duration LIMIT = Duration.ofSeconds(90);

	static final String MODEL = "round-assistant";

	private static final Path HOME = Path.of("").toAbsolutePath().getParent();

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	private static final int ENTRIES = 3;

	private static final int RUNNERS = 3;

	private static final int SERVICES = 2;

	private final Cluster cluster;

	private final List<ManagedProcess> retired = new ArrayList<>();

	private int entriesStarted = ENTRIES;

	private PromiseCluster(Cluster cluster) {
		this.cluster = cluster;
	}

	static PromiseCluster start() {
		Deployment federation = Deployment.federation();
		Deployment small = new Deployment("promises", federation.region(), federation.zones(), federation.modelPool(),
				MODEL, federation.servicePool(), federation.runnerMachineClass(), RUNNERS, SERVICES,
				federation.organisations());
		ObjectNode options = MAPPER.createObjectNode();
		options.putObject("stop").put("acceptMillis", 500).put("drainMillis", 500);
		PromiseCluster started = new PromiseCluster(
				Cluster.start(HOME, Cluster.scratch(HOME, "promises"), small, ENTRIES, options));
		started.declare();
		return started;
	}

	// -- parts

	Cluster cluster() {
		return this.cluster;
	}

	Caller caller(String organisation) {
		return Caller.of(organisation, Deployment.key(organisation), this.cluster.callers());
	}

	/** The address of the machine on which a VM runs, empty when it is gone. */
	Optional<String> address(String vm) {
		return vms().stream()
			.filter((found) -> found.path("id").asText().equals(vm))
			.map((found) -> found.path("address").asText())
			.filter((address) -> !address.isEmpty())
			.findFirst();
	}

	String zone(String vm) {
		return vms().stream()
			.filter((found) -> found.path("id").asText().equals(vm))
			.map((found) -> found.path("zone").asText())
			.findFirst()
			.orElseThrow();
	}

	private List<JsonNode> vms() {
		JsonNode document = this.cluster.call("GET", this.cluster.platform().listener("http"), "/cloud/v1/vms", "");
		return StreamSupport.stream(document.path("vms").spliterator(), false).toList();
	}

	/** Tokens that each engine has generated, by address. */
	Map<String, Long> generated() {
		Map<String, Long> counts = new TreeMap<>();
		this.cluster.engines().forEach((engine) -> {
			String address = engine.listener("http");
			counts.put(address, generated(address));
		});
		return counts;
	}

	long generated(String address) {
		return this.cluster.call("GET", address, "/standin/v1/stats", "").at("/counters/generated").asLong();
	}

	/**
	 * What all entries, also those that have ended, logged with an event, oldest first.
	 */
	List<String> logged(String event) {
		List<String> lines = new ArrayList<>();
		this.cluster.processes()
			.stream()
			.filter((process) -> process.program().equals("rosemaryfront-entry"))
			.forEach((entry) -> lines.addAll(entry.logged(" " + event + " ")));
		lines.sort(null);
		return lines;
	}

	/** The field of a log line. */
	static String field(String line, String name) {
		int at = line.indexOf(" " + name + "=") + name.length() + 2;
		int end = line.indexOf(' ', at);
		return line.substring(at, (end < 0) ? line.length() : end);
	}

	// -- faults

	void engineFault(String fault) {
		this.cluster.engines().forEach((engine) -> fault(engine, fault));
	}

	void serviceFault(String fault) {
		this.cluster.services().forEach((service) -> fault(service, fault));
	}

	private void fault(ManagedProcess standIn, String fault) {
		this.cluster.call("POST", standIn.listener("http"), "/standin/v1/faults", fault);
	}

	void clearFaults() {
		List<ManagedProcess> standIns = new ArrayList<>(this.cluster.engines());
		standIns.addAll(this.cluster.services());
		standIns.add(this.cluster.platform());
		standIns.forEach((standIn) -> this.cluster.call("DELETE", standIn.listener("http"), "/standin/v1/faults", ""));
	}

	// -- entries

	/** Starts an entry without waiting for it to know a configuration. */
	ManagedProcess startEntry(String zone) {
		this.entriesStarted++;
		return this.cluster.startEntry("entry-" + this.entriesStarted, zone);
	}

	/**
	 * Notes that an entry is on its way out, so that the next scenario does not use it.
	 */
	void retire(ManagedProcess entry) {
		this.retired.add(entry);
	}

	/** Starts an entry and waits until it can serve. */
	ManagedProcess startReadyEntry(String zone) {
		ManagedProcess entry = startEntry(zone);
		Pause.until(entry.name() + " is ready", LIMIT, () -> whole(entry));
		return entry;
	}

	// -- restoring

	/** Lifts every fault and waits until all that is declared is there again. */
	void restore() {
		this.cluster.processes().stream().filter(ManagedProcess::alive).forEach(ManagedProcess::thaw);
		clearFaults();
		this.retired.forEach((entry) -> entry.awaitEnd(LIMIT));
		this.retired.clear();
		for (ManagedProcess entry : this.cluster.entries()) {
			if (!entry.alive()) {
				this.cluster.forget(entry);
			}
		}
		List<String> zones = this.cluster.deployment().zones();
		while (this.cluster.entries().size() < ENTRIES) {
			startEntry(zones.get(this.entriesStarted % zones.size()));
		}
		Pause.until("every entry sees all backend servers", LIMIT,
				() -> this.cluster.entries().stream().allMatch(this::whole));
	}

	// Whether an entry has the declared configuration and sees the declared servers.
	private boolean whole(ManagedProcess entry) {
		try {
			JsonNode status = status(entry);
			boolean behind = StreamSupport.stream(status.path("nodes").spliterator(), false)
				.anyMatch((node) -> node.path("vm").asText().equals(entry.name()) && node.path("behind").asLong() > 0);
			return !behind && serving(status, this.cluster.deployment().modelPool()) >= RUNNERS
					&& serving(status, this.cluster.deployment().servicePool()) >= SERVICES;
		}
		catch (IllegalStateException | UncheckedIOException ex) {
			return false;
		}
	}

	JsonNode status(ManagedProcess entry) {
		return this.cluster.call("GET", entry.listener("operators"), "/apis/v1/status", "");
	}

	private static long serving(JsonNode status, String pool) {
		return StreamSupport.stream(status.path("pools").spliterator(), false)
			.filter((found) -> found.path("name").asText().equals(pool))
			.flatMap((found) -> StreamSupport.stream(found.path("servers").spliterator(), false))
			.filter((server) -> server.path("state").asText().equals("serving"))
			.count();
	}

	// -- declarations

	private void declare() {
		ObjectNode apply = MAPPER.createObjectNode().put("transaction", "promises-declared");
		ArrayNode resources = apply.putArray("resources");
		for (String file : List.of("models", "organisations", "latency-targets", "pools")) {
			read(HOME.resolve("examples/federation/" + file + ".json")).forEach((declaration) -> {
				ObjectNode spec = (ObjectNode) declaration.path("spec");
				if (file.equals("pools")) {
					int minimum = spec.path("serves").asText().equals("models") ? RUNNERS : SERVICES;
					spec.put("minimum", minimum).put("maximum", minimum);
				}
				if (file.equals("latency-targets")) {
					spec.put("firstTokenMillis", LIMIT.toMillis()).put("answerMillis", LIMIT.toMillis());
				}
				resources.add(declaration);
			});
		}
		Pause.until("the declarations are applied", LIMIT, () -> applied(apply));
		restore();
	}

	private boolean applied(ObjectNode apply) {
		try {
			this.cluster.call("POST", this.cluster.entries().getFirst().listener("operators"), "/apis/v1/apply",
					apply.toString());
			return true;
		}
		catch (IllegalStateException | UncheckedIOException ex) {
			return false;
		}
	}

	private static JsonNode read(Path file) {
		try {
			return MAPPER.readTree(Files.readString(file));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	@Override
	public void close() {
		this.cluster.close();
	}

}
