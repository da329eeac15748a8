package org.rosemaryfront.proof;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

import com.fasterxml.jackson.databind.JsonNode;

import org.rosemaryfront.standin.net.Relay;

/**
 * The faults that a soak run draws. Each fault has a thread of its own from its beginning
 * to its end, so that any two can overlap.
 */
final class SoakFaults {

	private final Cluster cluster;

	private final EntryChurn churn;

	private final FaultJournal journal;

	private final Map<String, Action> actions = new LinkedHashMap<>();

	private final Set<String> frozenEngines = new HashSet<>();

	private final List<Thread> running = new ArrayList<>();

	private final List<String> failures = new ArrayList<>();

	SoakFaults(Cluster cluster, EntryChurn churn, FaultJournal journal) {
		this.cluster = cluster;
		this.churn = churn;
		this.journal = journal;
		this.actions.put("controller-frozen", this::freezeController);
		this.actions.put("controller-killed", this::killController);
		this.actions.put("engine-frozen", this::freezeEngine);
		this.actions.put("engine-silent", this::silenceEngine);
		this.actions.put("entry-frozen", this::freezeEntry);
		this.actions.put("entry-killed", this::killEntry);
		this.actions.put("entry-reclaimed", this::reclaimEntry);
		this.actions.put("entry-terminated", this::terminateEntry);
		this.actions.put("link-cut", this::cutLink);
		this.actions.put("link-silent", this::silenceLink);
		this.actions.put("notices-lost", this::loseNotices);
		this.actions.put("platform-lost-answer", (random) -> platform(random, "lost-answer", ", \"probability\": 0.3"));
		this.actions.put("platform-outage", this::outage);
		this.actions.put("platform-slow",
				(random) -> platform(random, "slow", ", \"delayMillis\": " + (200 + random.nextInt(1000))));
		this.actions.put("runner-halted", (random) -> reclaimRunner(random, "runner-halted", Duration.ZERO));
		this.actions.put("runner-reclaimed",
				(random) -> reclaimRunner(random, "runner-reclaimed", millis(random, 1_500, 4_000)));
		this.actions.put("service-dies-mid-call", (random) -> service(random, "die-mid-call"));
		this.actions.put("service-frozen", (random) -> service(random, "freeze"));
		this.actions.put("service-lost-answer", (random) -> service(random, "lost-answer"));
		this.actions.put("service-refuses", (random) -> service(random, "refuse"));
		this.actions.put("service-silent", (random) -> service(random, "silent"));
		this.actions.put("share-reclaimed", (random) -> reclaim(random, "share-reclaimed",
				"\"share\": 0." + (2 + random.nextInt(4)) + ", \"seed\": " + random.nextInt(1_000)));
		this.actions.put("starts-refused", (random) -> platform(random, "refuse-starts", ""));
		this.actions.put("vm-list-frozen", (random) -> platform(random, "freeze-vm-list", ""));
		this.actions.put("zone-reclaimed", (random) -> reclaim(random, "zone-reclaimed",
				"\"zone\": \"" + pick(this.cluster.deployment().zones(), random) + "\""));
	}

	// -- queries

	// Faults that could not be played, with the cause; a run with some is a weaker run.
	synchronized List<String> failures() {
		return List.copyOf(this.failures);
	}

	synchronized boolean frozen(String name) {
		return this.frozenEngines.contains(name);
	}

	// -- the run

	// Draws one fault and begins it.
	synchronized void draw(SplittableRandom random) {
		String kind = pick(List.copyOf(this.actions.keySet()), random);
		SplittableRandom own = random.split();
		this.running.removeIf((thread) -> !thread.isAlive());
		this.running.add(Thread.ofVirtual().name(kind).start(() -> play(kind, own)));
	}

	// Waits until every fault has ended, and lifts what outlasts its thread.
	void lift() {
		List<Thread> threads;
		synchronized (this) {
			threads = List.copyOf(this.running);
		}
		for (Thread thread : threads) {
			try {
				thread.join();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
		post(this.cluster.platform(), "DELETE", "");
		this.cluster.engines().forEach((engine) -> post(engine, "DELETE", ""));
		this.cluster.services().forEach((service) -> post(service, "DELETE", ""));
	}

	private void play(String kind, SplittableRandom random) {
		try {
			this.actions.get(kind).play(random);
		}
		catch (RuntimeException ex) {
			this.journal.note(kind, "failed", "", String.valueOf(ex));
			synchronized (this) {
				this.failures.add(kind + ": " + ex);
			}
		}
	}

	// -- backend servers

	private void freezeEngine(RandomGenerator random) {
		Optional<ManagedProcess> chosen = runner(random);
		chosen.ifPresent((engine) -> {
			Duration time = millis(random, 1_000, 6_000);
			this.journal.begun("engine-frozen", engine.name(), time.toString());
			synchronized (this) {
				this.frozenEngines.add(engine.name());
			}
			try {
				engine.freeze();
				Pause.of(time);
			}
			finally {
				engine.thaw();
				synchronized (this) {
					this.frozenEngines.remove(engine.name());
				}
			}
			this.journal.note("engine-frozen", "ended", engine.name(), "");
		});
	}

	private void reclaim(RandomGenerator random, String kind, String selection) {
		Duration notice = millis(random, 2_000, 6_000);
		this.journal.begun(kind, selection, notice.toString());
		this.cluster.reclaim(selection, notice);
	}

	private void reclaimRunner(RandomGenerator random, String kind, Duration notice) {
		runner(random).ifPresent((engine) -> {
			String vm = stats(engine).path("vm").asText();
			this.journal.begun(kind, engine.name() + " " + vm, notice.toString());
			this.cluster.reclaim("\"vm\": \"" + vm + "\"", notice);
		});
	}

	private void service(RandomGenerator random, String fault) {
		ManagedProcess chosen = pick(this.cluster.services(), random);
		int calls = 1 + random.nextInt(3);
		Duration time = millis(random, 1_000, 6_000);
		String kind = Map
			.of("die-mid-call", "service-dies-mid-call", "freeze", "service-frozen", "lost-answer",
					"service-lost-answer", "refuse", "service-refuses", "silent", "service-silent")
			.get(fault);
		this.journal.begun(kind, chosen.name(), calls + " calls, " + time);
		post(chosen, "POST", "{\"kind\": \"" + fault + "\", \"millis\": " + time.toMillis()
				+ (fault.equals("freeze") ? "" : ", \"calls\": " + calls) + "}");
		Pause.of(time);
	}

	private void silenceEngine(RandomGenerator random) {
		runner(random).ifPresent((engine) -> {
			this.journal.begun("engine-silent", engine.name(), "");
			post(engine, "POST", "{\"kind\": \"silent\"}");
		});
	}

	private synchronized Optional<ManagedProcess> runner(RandomGenerator random) {
		List<ManagedProcess> booted = this.cluster.engines()
			.stream()
			.filter((engine) -> !this.frozenEngines.contains(engine.name()))
			.filter((engine) -> stats(engine).path("booted").asBoolean())
			.toList();
		return booted.isEmpty() ? Optional.empty() : Optional.of(pick(booted, random));
	}

	// -- entries and controllers

	private void freezeController(RandomGenerator random) {
		this.churn.choose(this.cluster.controllers(), random).ifPresent((controller) -> {
			Duration time = millis(random, 3_500, 8_000);
			this.journal.begun("controller-frozen", controller.name(), time.toString());
			freeze(controller, time);
			this.journal.note("controller-frozen", "ended", controller.name(), "");
		});
	}

	private void freezeEntry(RandomGenerator random) {
		this.churn.choose(this.cluster.entries(), random).ifPresent((entry) -> {
			Duration time = millis(random, 2_000, 12_000);
			this.journal.begun("entry-frozen", entry.name(), time.toString());
			freeze(entry, time);
			this.journal.note("entry-frozen", "ended", entry.name(), "");
		});
	}

	private void freeze(ManagedProcess process, Duration time) {
		try {
			process.freeze();
			Pause.of(time);
		}
		finally {
			process.thaw();
			this.churn.release(process);
		}
	}

	private void killController(RandomGenerator random) {
		this.churn.choose(this.cluster.controllers(), random).ifPresent((controller) -> {
			this.journal.begun("controller-killed", controller.name(), "");
			this.churn.killController(controller);
		});
	}

	private void killEntry(RandomGenerator random) {
		this.churn.choose(this.cluster.entries(), random).ifPresent((entry) -> {
			this.journal.begun("entry-killed", entry.name(), "");
			this.churn.kill(entry);
		});
	}

	private void reclaimEntry(RandomGenerator random) {
		this.churn.choose(this.cluster.entries(), random).ifPresent((entry) -> {
			Duration notice = millis(random, 6_000, 12_000);
			this.journal.begun("entry-reclaimed", entry.name(), notice.toString());
			this.churn.reclaim(entry, notice);
			this.journal.note("entry-reclaimed", "ended", entry.name(), "");
		});
	}

	private void terminateEntry(RandomGenerator random) {
		this.churn.choose(this.cluster.entries(), random).ifPresent((entry) -> {
			this.journal.begun("entry-terminated", entry.name(), "");
			this.churn.terminate(entry);
			this.journal.note("entry-terminated", "ended", entry.name(), "exit " + entry.exitCode());
		});
	}

	// -- the platform

	private void cutLink(RandomGenerator random) {
		Relay link = link("link-cut", random);
		Duration time = millis(random, 1_000, 8_000);
		link.cut();
		Pause.of(time);
		link.heal();
		this.journal.note("link-cut", "ended", "", time.toString());
	}

	private void silenceLink(RandomGenerator random) {
		link("link-silent", random).silence();
	}

	private Relay link(String kind, RandomGenerator random) {
		String vm = pick(this.cluster.entries(), random).name();
		this.journal.begun(kind, vm, "");
		return this.cluster.link(vm);
	}

	private void loseNotices(RandomGenerator random) {
		this.journal.begun("notices-lost", "platform", "");
		post(this.cluster.platform(), "POST", "{\"kind\": \"lose-notices\", \"millis\": 3000}");
		reclaim(random, "share-reclaimed", "\"share\": 0.2, \"seed\": " + random.nextInt(1_000));
	}

	private void outage(RandomGenerator random) {
		String service = pick(List.of("", ", \"service\": \"cloud\"", ", \"service\": \"vmlist\"",
				", \"service\": \"all\"", ", \"service\": \"tables\", \"table\": \"claims\"",
				", \"service\": \"tables\", \"table\": \"lease\""), random);
		platform(random, "outage", ", \"mode\": \"" + (random.nextBoolean() ? "hang" : "refuse") + "\"" + service);
	}

	private void platform(RandomGenerator random, String fault, String more) {
		Duration time = millis(random, 1_500, 7_000);
		String kind = Map
			.of("freeze-vm-list", "vm-list-frozen", "lost-answer", "platform-lost-answer", "outage", "platform-outage",
					"refuse-starts", "starts-refused", "slow", "platform-slow")
			.get(fault);
		this.journal.begun(kind, "platform", time + more);
		post(this.cluster.platform(), "POST", "{\"kind\": \"" + fault + "\", \"seed\": " + random.nextInt(1_000)
				+ ", \"millis\": " + time.toMillis() + more + "}");
		Pause.of(time);
	}

	// -- helpers

	private JsonNode stats(ManagedProcess standIn) {
		return this.cluster.call("GET", standIn.listener("http"), "/standin/v1/stats", "");
	}

	private void post(ManagedProcess standIn, String method, String fault) {
		this.cluster.call(method, standIn.listener("http"), "/standin/v1/faults", fault);
	}

	private static Duration millis(RandomGenerator random, int least, int most) {
		return Duration.ofMillis(least + random.nextInt(most - least));
	}

	private static <T> T pick(List<T> from, RandomGenerator random) {
		return from.get(random.nextInt(from.size()));
	}

	@FunctionalInterface
	private interface Action {

		void play(RandomGenerator random);

	}

}
