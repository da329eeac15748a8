package org.rosemaryfront.proof;

import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

import org.rosemaryfront.load.LoadReport;
import org.rosemaryfront.load.LoadRun;
import org.rosemaryfront.load.LoadSettings;

/**
 * Runs the load of all callers against real processes while faults are drawn from a seed,
 * then holds what callers saw against the promises and prints one JSON line.
 *
 * <p>
 * Exit codes: 0 when every promise held, 1 when not, 2 for a wrong command line.
 */
public final class Soak {

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	private static final int ENTRIES = 4;

	private static final Duration CALLERS_PATIENCE = Duration.ofSeconds(60);

	// Longer than any fault that hides a held result, a frozen entry's among them.
	private static final Duration UNKNOWN_RESULT = Duration.ofSeconds(30);

	private static final Duration SETTLE = Duration.ofSeconds(5);

	private static final int LEAST_PAUSE_MILLIS = 700;

	private static final int MOST_PAUSE_MILLIS = 4_000;

	@Option(name = "--home", required = true, metaVar = "FOLDER", usage = "the root of the project")
	private Path home;

	@Option(name = "--minutes", metaVar = "N", usage = "how long faults and load go on")
	private double minutes = 1;

	@Option(name = "--seed", metaVar = "S", usage = "the seed of faults, times and requests")
	private long seed = 1;

	@Option(name = "--rate", metaVar = "N", usage = "requests a second")
	private double rate = 6;

	@Option(name = "--deployment", metaVar = "NAME", usage = "federation or tynkarnia")
	private String deployment = "federation";

	private Soak() {
	}

	/**
	 * Runs the soak.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		Soak soak = new Soak();
		CmdLineParser parser = new CmdLineParser(soak);
		try {
			parser.parseArgument(args);
		}
		catch (CmdLineException ex) {
			System.err.println("soak: " + ex.getMessage());
			parser.printUsage(System.err);
			System.exit(2);
		}
		System.exit(soak.run());
	}

	private int run() {
		Deployment chosen = this.deployment.equals("tynkarnia") ? Deployment.tynkarnia() : Deployment.federation();
		Path folder = Cluster.scratch(this.home, "soak-" + this.deployment + "-" + this.seed);
		try (Cluster cluster = Cluster.startLinked(this.home, folder, chosen, ENTRIES);
				FaultJournal journal = FaultJournal.open(folder.resolve("faults.jsonl"))) {
			cluster.apply();
			ObjectNode line = MAPPER.createObjectNode()
				.put("seed", this.seed)
				.put("minutes", this.minutes)
				.put("rate", this.rate)
				.put("deployment", chosen.name())
				.put("began", Instant.now().toString());
			boolean broken = play(cluster, journal, folder, line);
			System.out.println(line);
			if (broken) {
				System.err.println("soak: a promise was broken with --seed " + this.seed + "; see " + folder);
			}
			return broken ? 1 : 0;
		}
	}

	private boolean play(Cluster cluster, FaultJournal journal, Path folder, ObjectNode line) {
		LoadRun load = LoadRun.start(settings(cluster));
		EntryChurn churn = new EntryChurn(cluster, load::entries);
		SoakFaults faults = new SoakFaults(cluster, churn, journal);
		ConfigurationRace race = new ConfigurationRace(cluster, churn, journal);
		Thread watch = Thread.ofVirtual().start(race::watch);
		Thread balancer = Thread.ofVirtual().start(churn::balance);
		draw(faults, race);
		load.stop();
		faults.lift();
		Pause.of(SETTLE);
		race.end();
		LoadReport report = load.await();
		balancer.interrupt();
		await(watch);
		List<String> invariants = invariants(cluster);
		SoakResult result = SoakResult.of(report, SoakLogs.read(folder), churn.killed())
			.with("invariants.broken", invariants)
			.with("configuration", race.broken())
			.with("planned stops", churn.badStops());
		line.setAll(result.report());
		line.set("configuration", race.report());
		line.set("faults", MAPPER.valueToTree(journal.counts()));
		line.set("faultsNotPlayed", MAPPER.valueToTree(faults.failures()));
		return result.broken();
	}

	// Draws faults one after the other, of which every third has a second one beside it.
	private void draw(SoakFaults faults, ConfigurationRace race) {
		SplittableRandom random = new SplittableRandom(this.seed);
		long end = System.nanoTime() + Duration.ofMillis((long) (this.minutes * 60_000)).toNanos();
		while (System.nanoTime() < end) {
			if (random.nextInt(6) == 0) {
				race.race(random);
			}
			faults.draw(random);
			if (random.nextInt(3) == 0) {
				faults.draw(random);
			}
			Pause.of(Duration.ofMillis(random.nextInt(LEAST_PAUSE_MILLIS, MOST_PAUSE_MILLIS)));
		}
	}

	private LoadSettings settings(Cluster cluster) {
		List<LoadSettings.Organisation> organisations = cluster.deployment()
			.organisations()
			.stream()
			.map((name) -> new LoadSettings.Organisation(name, Deployment.key(name)))
			.toList();
		List<String> services = cluster.services().stream().map((each) -> "http://" + each.listener("http")).toList();
		return LoadSettings
			.of(cluster.callers(), organisations, cluster.deployment().model(), this.rate, Duration.ofDays(1),
					this.seed)
			.withPatience(CALLERS_PATIENCE, UNKNOWN_RESULT)
			.withServices(services);
	}

	// What the processes that are left count; ended ones have it in their logs.
	private static List<String> invariants(Cluster cluster) {
		List<String> broken = new ArrayList<>();
		for (ManagedProcess entry : cluster.entries()) {
			count(cluster, entry, "callers", broken);
		}
		for (ManagedProcess controller : cluster.controllers()) {
			count(cluster, controller, "status", broken);
		}
		return broken;
	}

	private static void count(Cluster cluster, ManagedProcess process, String listener, List<String> broken) {
		JsonNode metrics = cluster.call("GET", process.listener(listener), "/metrics", "");
		JsonNode value = metrics.findValue("invariants.broken");
		if (value == null) {
			broken.add(process.name() + " does not show the count");
		}
		else if (value.path("value").asLong(value.asLong()) > 0) {
			broken.add(process.name() + " counts " + value);
		}
	}

	private static void await(Thread thread) {
		try {
			thread.join();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
