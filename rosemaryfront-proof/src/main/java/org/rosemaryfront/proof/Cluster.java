package org.rosemaryfront.proof;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.rosemaryfront.keys.Sha256;
import org.rosemaryfront.standin.net.Relay;

/**
 * A deployment as real processes on loopback: stand-ins, entries and controllers.
 *
 * <pre>
 * try (Cluster cluster = Cluster.start(home, folder, Deployment.federation(), 3)) {
 *     cluster.apply();
 * }
 * </pre>
 */
public final class Cluster implements AutoCloseable {

	/** The operators' key of every demo and test. */
	public static final String OPERATOR_KEY = "demo-operator-key";

	private static final String OPERATOR_KEY_HASH = Sha256.hex(OPERATOR_KEY);

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	private static final String HOST = "127.0.0.1";

	private static final int SPARE_RUNNERS_PER_ZONE = 2;

	private static final Duration COMMAND_LIMIT = Duration.ofSeconds(120);

	private final Path home;

	private final Path folder;

	private final Deployment deployment;

	private final ObjectNode entryOptions;

	private final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final List<ManagedProcess> processes = new CopyOnWriteArrayList<>();

	private final List<ManagedProcess> entries = new CopyOnWriteArrayList<>();

	private final List<ManagedProcess> engines = new CopyOnWriteArrayList<>();

	private final List<ManagedProcess> services = new CopyOnWriteArrayList<>();

	private final List<ManagedProcess> controllers = new CopyOnWriteArrayList<>();

	private final Map<String, Relay> links = new ConcurrentHashMap<>();

	private final boolean linked;

	private ManagedProcess platform;

	private Cluster(Path home, Path folder, Deployment deployment, boolean linked, ObjectNode entryOptions) {
		this.home = home;
		this.folder = folder;
		this.deployment = deployment;
		this.linked = linked;
		this.entryOptions = entryOptions;
	}

	// -- factories

	/**
	 * Starts all processes of a deployment and waits until they are ready.
	 * @param home the root of the project
	 * @param folder where settings and logs go
	 * @param deployment the deployment
	 * @param nodes the number of entry VMs, spread over the availability zones
	 * @return the running cluster, without any declaration
	 */
	public static Cluster start(Path home, Path folder, Deployment deployment, int nodes) {
		return start(home, folder, deployment, nodes, false, MAPPER.createObjectNode());
	}

	/**
	 * Starts a deployment whose entries have settings that differ from their defaults.
	 * @param home the root of the project
	 * @param folder where settings and logs go
	 * @param deployment the deployment
	 * @param nodes the number of entry VMs, spread over the availability zones
	 * @param entryOptions sections of the entries' settings, such as {@code stop}
	 * @return the running cluster, without any declaration
	 */
	public static Cluster start(Path home, Path folder, Deployment deployment, int nodes, ObjectNode entryOptions) {
		return start(home, folder, deployment, nodes, false,
				Objects.requireNonNull(entryOptions, "entryOptions is null"));
	}

	/**
	 * Starts a deployment in which every entry VM reaches the platform through a relay of
	 * its own, so that its connections can be damaged.
	 * @param home the root of the project
	 * @param folder where settings and logs go
	 * @param deployment the deployment
	 * @param nodes the number of entry VMs, spread over the availability zones
	 * @return the running cluster, without any declaration
	 */
	public static Cluster startLinked(Path home, Path folder, Deployment deployment, int nodes) {
		return start(home, folder, deployment, nodes, true, MAPPER.createObjectNode());
	}

	private static Cluster start(Path home, Path folder, Deployment deployment, int nodes, boolean linked,
			ObjectNode entryOptions) {
		Cluster cluster = new Cluster(Objects.requireNonNull(home, "home is null"), folder, deployment, linked,
				entryOptions);
		try {
			Files.createDirectories(folder);
			cluster.startAll(nodes);
			return cluster;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (RuntimeException ex) {
			cluster.close();
			throw ex;
		}
	}

	// -- queries

	/**
	 * The callers' base URLs.
	 * @return one for each entry
	 */
	public List<String> callers() {
		return this.entries.stream().map((entry) -> "http://" + entry.listener("callers")).toList();
	}

	/**
	 * The controller processes.
	 * @return one for each entry VM
	 */
	public List<ManagedProcess> controllers() {
		return List.copyOf(this.controllers);
	}

	/**
	 * The deployment.
	 * @return the deployment
	 */
	public Deployment deployment() {
		return this.deployment;
	}

	/**
	 * The model engines, the spare ones included.
	 * @return the processes
	 */
	public List<ManagedProcess> engines() {
		return List.copyOf(this.engines);
	}

	/**
	 * The entry processes.
	 * @return the processes
	 */
	public List<ManagedProcess> entries() {
		return List.copyOf(this.entries);
	}

	/**
	 * The relay between an entry VM and the platform.
	 * @param vm the name of the VM
	 * @return the relay
	 */
	public Relay link(String vm) {
		return Objects.requireNonNull(this.links.get(vm), () -> "no link of " + vm);
	}

	/**
	 * The operators' base URLs.
	 * @return one for each entry
	 */
	public List<String> operators() {
		return this.entries.stream().map((entry) -> "http://" + entry.listener("operators")).toList();
	}

	/**
	 * The stand-in platform.
	 * @return the process
	 */
	public ManagedProcess platform() {
		return this.platform;
	}

	/**
	 * All processes.
	 * @return the processes in the order of their start
	 */
	public List<ManagedProcess> processes() {
		return List.copyOf(this.processes);
	}

	/**
	 * The booking services, the spare ones included.
	 * @return the processes
	 */
	public List<ManagedProcess> services() {
		return List.copyOf(this.services);
	}

	// -- actions

	/**
	 * Applies the deployment's declarations with rosemaryctl and waits until they are in
	 * force.
	 */
	public void apply() {
		ctl("apply", this.home.resolve("examples").resolve(this.deployment.name()).toString());
		ctl("wait", "--pool", this.deployment.modelPool(), "--timeout", "60");
		ctl("wait", "--pool", this.deployment.servicePool(), "--timeout", "60");
	}

	/**
	 * Runs rosemaryctl against the entries.
	 * @param arguments the command and its options
	 * @return what it printed
	 * @throws IllegalStateException when it does not exit with 0
	 */
	public String ctl(String... arguments) {
		List<String> command = new ArrayList<>(List.of(this.home.resolve("bin/rosemaryctl").toString()));
		command.addAll(List.of(arguments));
		command.addAll(List.of("--key", OPERATOR_KEY));
		command.addAll(List.of("--server", String.join(",", operators())));
		try {
			Path output = Files.createTempFile(this.folder, "ctl", ".out");
			Process process = new ProcessBuilder(command).redirectErrorStream(true)
				.redirectOutput(output.toFile())
				.start();
			boolean ended = process.waitFor(COMMAND_LIMIT.toMillis(), TimeUnit.MILLISECONDS);
			String printed = Files.readString(output);
			if (!ended || process.exitValue() != 0) {
				process.destroyForcibly();
				throw new IllegalStateException("rosemaryctl " + List.of(arguments) + " failed: " + printed);
			}
			return printed;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Makes a JSON call, such as a fault of a stand-in.
	 * @param method the HTTP method
	 * @param address {@code host:port}
	 * @param path the path
	 * @param body the body, empty for none
	 * @return the answer, an empty object for an empty body
	 */
	public JsonNode call(String method, String address, String path, String body) {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
			.timeout(Duration.ofSeconds(20))
			.header("Authorization", "Bearer " + OPERATOR_KEY)
			.header("Content-Type", "application/json")
			.method(method,
					body.isEmpty() ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body))
			.build();
		try {
			HttpResponse<String> response = this.http.send(request, HttpResponse.BodyHandlers.ofString());
			if (response.statusCode() >= 300) {
				throw new IllegalStateException(
						method + " " + path + ": " + response.statusCode() + " " + response.body());
			}
			return response.body().isBlank() ? MAPPER.createObjectNode() : MAPPER.readTree(response.body());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(method + " " + path, ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * A fault of the platform.
	 * @param fault the fault as JSON
	 */
	public void platformFault(String fault) {
		call("POST", this.platform.listener("http"), "/standin/v1/faults", fault);
	}

	/**
	 * Reclaims VMs.
	 * @param selection {@code "vm": "..."}, {@code "zone": "..."} or {@code "share": 0.5}
	 * @param notice the time between the notice and the end
	 */
	public void reclaim(String selection, Duration notice) {
		call("POST", this.platform.listener("http"), "/standin/v1/reclaims",
				"{" + selection + ", \"noticeMillis\": " + notice.toMillis() + "}");
	}

	/**
	 * How often each booking ran, over all booking services.
	 * @return the number of executions by idempotency key
	 */
	public Map<String, Integer> executions() {
		Map<String, Integer> counts = new TreeMap<>();
		for (ManagedProcess service : this.services) {
			if (service.alive()) {
				call("GET", service.listener("http"), "/standin/v1/executions", "").properties()
					.forEach((entry) -> counts.merge(entry.getKey(), entry.getValue().asInt(), Integer::sum));
			}
		}
		return counts;
	}

	/**
	 * Starts one more entry in an availability zone and puts it into the VM list.
	 * @param vm the name of the VM
	 * @param zone the availability zone
	 * @return the ready process
	 */
	public ManagedProcess startEntry(String vm, String zone) {
		ManagedProcess entry = add(launch(vm, "rosemaryfront-entry", zone, entrySettings(vm, zone))).awaitReady();
		register(entry);
		this.entries.add(entry);
		return entry;
	}

	/**
	 * Starts one more controller, on a VM of its own.
	 * @param name the name of the process and its VM
	 * @param zone the availability zone
	 * @return the ready process
	 */
	public ManagedProcess startController(String name, String zone) {
		ManagedProcess controller = add(launch(name, "rosemaryfront-controller", zone, controllerSettings(name, zone)));
		this.controllers.add(controller);
		return controller.awaitReady();
	}

	/**
	 * Forgets a controller that has ended.
	 * @param controller the process
	 */
	public void forgetController(ManagedProcess controller) {
		this.controllers.remove(controller);
	}

	/**
	 * Forgets an entry that has ended, so that callers no longer ask it.
	 * @param entry the process
	 */
	public void forget(ManagedProcess entry) {
		call("DELETE", this.platform.listener("http"), "/standin/v1/entries/" + entry.name(), "");
		this.entries.remove(entry);
	}

	@Override
	public void close() {
		this.processes.reversed().forEach(ManagedProcess::close);
		this.links.values().forEach(Relay::close);
		this.http.shutdownNow();
	}

	private void startAll(int nodes) {
		this.platform = add(launch("platform", "standin-platform", "", platformSettings())).awaitReady();
		List<String> zones = this.deployment.zones();
		int runnersPerZone = Math.ceilDiv(this.deployment.runners(), zones.size()) + SPARE_RUNNERS_PER_ZONE;
		int servicesPerZone = Math.ceilDiv(this.deployment.services(), zones.size()) + 1;
		for (String zone : zones) {
			for (int i = 1; i <= runnersPerZone; i++) {
				this.engines.add(add(launch("engine-" + zone + "-" + i, "standin-engine", zone, engineSettings(zone))));
			}
			for (int i = 1; i <= servicesPerZone; i++) {
				this.services
					.add(add(launch("service-" + zone + "-" + i, "standin-service", zone, serviceSettings(zone))));
			}
		}
		for (int i = 0; i < nodes; i++) {
			launchEntry("entry-" + (i + 1), zones.get(i % zones.size()));
		}
		this.processes.forEach(ManagedProcess::awaitReady);
		this.entries.forEach(this::register);
		for (int i = 0; i < nodes; i++) {
			String zone = zones.get(i % zones.size());
			this.controllers.add(add(launch("controller-" + (i + 1), "rosemaryfront-controller", zone,
					controllerSettings("entry-" + (i + 1), zone))));
		}
		this.controllers.forEach(ManagedProcess::awaitReady);
	}

	private ManagedProcess launchEntry(String vm, String zone) {
		ManagedProcess entry = add(launch(vm, "rosemaryfront-entry", zone, entrySettings(vm, zone)));
		this.entries.add(entry);
		return entry;
	}

	private void register(ManagedProcess entry) {
		ObjectNode body = MAPPER.createObjectNode()
			.put("vm", entry.name())
			.put("zone", entry.zone())
			.put("address", entry.listener("peers"));
		call("POST", this.platform.listener("http"), "/standin/v1/entries", body.toString());
	}

	private ManagedProcess launch(String name, String program, String zone, ObjectNode settings) {
		return ManagedProcess.start(this.home, this.folder, name, program, zone, settings);
	}

	private ManagedProcess add(ManagedProcess process) {
		this.processes.add(process);
		return process;
	}

	// -- settings

	private ObjectNode platformSettings() {
		ObjectNode settings = listener();
		ArrayNode offers = settings.putArray("offers");
		for (int i = 0; i < this.deployment.zones().size(); i++) {
			String zone = this.deployment.zones().get(i);
			offer(offers, zone, this.deployment.runnerMachineClass(), "reclaimable", 0.8 + 0.2 * i, 0.05);
			offer(offers, zone, this.deployment.runnerMachineClass(), "on-demand", 3.0, 0);
			offer(offers, zone, "cpu-small", "reclaimable", 0.05, 0.02);
			offer(offers, zone, "cpu-small", "on-demand", 0.15, 0);
		}
		return settings;
	}

	private static void offer(ArrayNode offers, String zone, String machineClass, String market, double price,
			double reclaims) {
		offers.addObject()
			.put("zone", zone)
			.put("machineClass", machineClass)
			.put("market", market)
			.put("pricePerHour", price)
			.put("reclaimsPerHour", reclaims);
	}

	private ObjectNode engineSettings(String zone) {
		ObjectNode settings = MAPPER.createObjectNode();
		settings.set("listen", listener());
		return settings.put("platform", platformUrl())
			.put("zone", zone)
			.put("machineClass", this.deployment.runnerMachineClass())
			.put("fencing", "ignored");
	}

	private ObjectNode serviceSettings(String zone) {
		ObjectNode settings = MAPPER.createObjectNode();
		settings.set("listen", listener());
		return settings.put("platform", platformUrl()).put("zone", zone).put("machineClass", "cpu-small");
	}

	private ObjectNode entrySettings(String vm, String zone) {
		ObjectNode settings = node(vm, zone);
		settings.set("callers", listener());
		ObjectNode operators = listener();
		operators.putArray("keyHashes").add(OPERATOR_KEY_HASH);
		settings.set("operators", operators);
		settings.setAll(this.entryOptions);
		return settings;
	}

	private ObjectNode controllerSettings(String vm, String zone) {
		ObjectNode settings = node(vm, zone);
		settings.set("status", listener());
		settings.putObject("lease").put("termMillis", 3000).put("marginMillis", 500);
		return settings;
	}

	private ObjectNode node(String vm, String zone) {
		ObjectNode settings = MAPPER.createObjectNode()
			.put("vm", vm)
			.put("region", this.deployment.region())
			.put("zone", zone);
		settings.putObject("platform").put("url", platformUrl(vm));
		settings.set("peers", listener());
		return settings;
	}

	private String platformUrl() {
		return "http://" + this.platform.listener("http");
	}

	private String platformUrl(String vm) {
		if (!this.linked) {
			return platformUrl();
		}
		return "http://" + this.links.computeIfAbsent(vm, (_) -> Relay.start(this.platform.listener("http"))).address();
	}

	private static ObjectNode listener() {
		return MAPPER.createObjectNode().put("host", HOST).put("port", 0);
	}

	/**
	 * A folder under {@code target} for the files of one cluster.
	 * @param home the root of the project
	 * @param name the purpose
	 * @return an empty folder
	 */
	public static Path scratch(Path home, String name) {
		Path folder = home.resolve("rosemaryfront-proof/target/clusters").resolve(name);
		try {
			if (Files.exists(folder)) {
				try (Stream<Path> files = Files.list(folder)) {
					for (Path file : files.toList()) {
						Files.delete(file);
					}
				}
			}
			return Files.createDirectories(folder);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
