package org.rosemaryfront.proof;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Operators that change the same resources at the same time through different entries,
 * and the watch over what is in force on each entry.
 *
 * <p>
 * Every change writes a number that no other change writes, so that each entry's
 * configuration tells whose change it is.
 */
final class ConfigurationRace {

	/** The longest time from an accepted change to its being in force, in seconds. */
	static final int BOUND_SECONDS = 10;

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	private static final Duration REPEAT_AFTER = Duration.ofMillis(300);

	private static final Duration WATCH_EVERY = Duration.ofMillis(300);

	private static final int REPEATS = 30;

	private final Cluster cluster;

	private final EntryChurn churn;

	private final FaultJournal journal;

	private final List<Accepted> accepted = new ArrayList<>();

	private final Map<String, List<Long>> uncertain = new HashMap<>();

	private final Map<String, Long> highest = new ConcurrentHashMap<>();

	private final Map<String, Long> disturbedUntil = new ConcurrentHashMap<>();

	private final List<Long> inForceMillis = new ArrayList<>();

	private final List<String> broken = new ArrayList<>();

	private final List<Thread> threads = new ArrayList<>();

	private long number;

	private long conflicts;

	private volatile boolean stopped;

	ConfigurationRace(Cluster cluster, EntryChurn churn, FaultJournal journal) {
		this.cluster = cluster;
		this.churn = churn;
		this.journal = journal;
	}

	// -- the run

	// Watches until stopped; the entries change meanwhile.
	void watch() {
		Map<String, Thread> watchers = new HashMap<>();
		while (!this.stopped) {
			for (ManagedProcess entry : this.cluster.entries()) {
				if (!entry.listeners().isEmpty()) {
					watchers.computeIfAbsent(entry.name(), (_) -> Thread.ofVirtual().start(() -> watch(entry)));
				}
			}
			Pause.of(WATCH_EVERY);
		}
	}

	// Two operators change the same resource at the same time.
	synchronized void race(SplittableRandom random) {
		Target target = random.nextBoolean()
				? new Target("Pool", this.cluster.deployment().modelPool(), "latenessWeight")
				: new Target("LatencyTarget", "summary", "answerMillis");
		this.journal.begun("operators-race", target.name(), "");
		this.threads.removeIf((thread) -> !thread.isAlive());
		for (int i = 0; i < 2; i++) {
			long mine = ++this.number;
			SplittableRandom own = random.split();
			this.threads.add(Thread.ofVirtual().start(() -> operate(target, mine, own)));
		}
	}

	// Waits for the operators, then compares all entries with what is declared.
	void end() {
		List<Thread> operators;
		synchronized (this) {
			operators = List.copyOf(this.threads);
		}
		for (Thread thread : operators) {
			try {
				thread.join();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
		long declared = this.accepted.stream().mapToLong(Accepted::revision).max().orElse(0);
		try {
			Pause.until("all entries have revision " + declared, Duration.ofSeconds(30),
					() -> this.cluster.entries().stream().allMatch((entry) -> revision(entry).orElse(0L) >= declared));
		}
		catch (IllegalStateException ex) {
			broken(ex.getMessage());
		}
		this.stopped = true;
		compare();
	}

	// -- operators

	private void operate(Target target, long mine, SplittableRandom random) {
		String transaction = UUID.randomUUID().toString();
		Optional<String> body = Optional.empty();
		boolean answered = false;
		for (int i = 0; i < REPEATS && !answered; i++) {
			List<ManagedProcess> entries = this.cluster.entries();
			String address = entries.get(random.nextInt(entries.size())).listeners().getOrDefault("operators", "");
			try {
				if (body.isEmpty()) {
					body = Optional.of(change(address, transaction, target, mine));
				}
				JsonNode answer = this.cluster.call("POST", address, "/apis/v1/apply", body.get());
				applied(target, mine, answer.path("revision").asLong());
				answered = true;
			}
			catch (RuntimeException ex) {
				answered = conflict(target, mine, ex);
			}
			if (!answered) {
				Pause.of(REPEAT_AFTER);
			}
		}
		if (!answered) {
			uncertain(target, mine);
		}
	}

	private String change(String address, String transaction, Target target, long mine) {
		ObjectNode resource = (ObjectNode) this.cluster.call("GET", address,
				"/apis/v1/resources/" + target.kind() + "/" + target.name(), "");
		target.set((ObjectNode) resource.path("spec"), mine);
		ObjectNode body = MAPPER.createObjectNode().put("transaction", transaction);
		body.putArray("resources").add(resource);
		return body.toString();
	}

	private synchronized void applied(Target target, long mine, long revision) {
		Accepted change = new Accepted(target, mine, revision, System.nanoTime());
		if (this.accepted.stream().anyMatch((other) -> other.revision() == revision)) {
			broken("two changes have revision " + revision);
		}
		this.accepted.add(change);
		this.cluster.entries().forEach((entry) -> Thread.ofVirtual().start(() -> awaitInForce(entry, change)));
	}

	private synchronized boolean conflict(Target target, long mine, RuntimeException failure) {
		this.journal.note("operators-race", "not applied", target.name() + " " + mine, String.valueOf(failure));
		String told = String.valueOf(failure.getMessage());
		boolean conflict = told.contains(": 409 ");
		if (!conflict && told.contains(": 4")) {
			broken("a sound change was refused: " + told);
		}
		this.conflicts += conflict ? 1 : 0;
		return conflict;
	}

	private synchronized void uncertain(Target target, long mine) {
		this.uncertain.computeIfAbsent(target.name(), (_) -> new ArrayList<>()).add(mine);
	}

	// -- in force

	private void watch(ManagedProcess entry) {
		while (!this.stopped && entry.alive()) {
			if (!this.churn.undisturbed(entry.name())) {
				this.disturbedUntil.put(entry.name(), System.nanoTime());
			}
			revision(entry).ifPresent((revision) -> {
				long before = this.highest.getOrDefault(entry.name(), 0L);
				if (revision < before) {
					broken(entry.name() + " went from revision " + before + " down to " + revision);
				}
				this.highest.merge(entry.name(), revision, Math::max);
			});
			Pause.of(WATCH_EVERY);
		}
	}

	private void awaitInForce(ManagedProcess entry, Accepted change) {
		boolean late = false;
		while (!this.stopped && entry.alive() && this.cluster.entries().contains(entry)) {
			if (this.highest.getOrDefault(entry.name(), 0L) >= change.revision()) {
				synchronized (this) {
					this.inForceMillis.add(Duration.ofNanos(System.nanoTime() - change.atNanos()).toMillis());
				}
				return;
			}
			long since = Math.max(change.atNanos(), this.disturbedUntil.getOrDefault(entry.name(), 0L));
			boolean over = System.nanoTime() - since > Duration.ofSeconds(BOUND_SECONDS).toNanos();
			if (over && !late && this.churn.undisturbed(entry.name())) {
				late = true;
				broken("revision " + change.revision() + " is not in force on " + entry.name() + " after "
						+ BOUND_SECONDS + " s");
			}
			Pause.of(Duration.ofMillis(50));
		}
	}

	private Optional<Long> revision(ManagedProcess entry) {
		try {
			JsonNode status = this.cluster.call("GET", entry.listener("operators"), "/apis/v1/status", "");
			for (JsonNode node : status.path("nodes")) {
				if (node.path("vm").asText().equals(entry.name()) && node.path("role").asText().equals("entry")) {
					return Optional.of(node.path("revision").asLong());
				}
			}
			return Optional.empty();
		}
		catch (RuntimeException ex) {
			return Optional.empty();
		}
	}

	// An accepted change stays unless a later one, or one without an answer, overwrote
	// it.
	private synchronized void compare() {
		Map<Target, Accepted> last = new HashMap<>();
		this.accepted.forEach((change) -> last.merge(change.target(), change,
				(one, other) -> (one.revision() > other.revision()) ? one : other));
		for (Accepted change : last.values()) {
			Target target = change.target();
			for (String address : this.cluster.entries()
				.stream()
				.map((entry) -> entry.listener("operators"))
				.toList()) {
				double found = this.cluster
					.call("GET", address, "/apis/v1/resources/" + target.kind() + "/" + target.name(), "")
					.path("spec")
					.path(target.field())
					.asDouble();
				boolean open = this.uncertain.getOrDefault(target.name(), List.of())
					.stream()
					.anyMatch((other) -> target.value(other) == found);
				if (!open && found != target.value(change.number())) {
					broken(target.name() + " has " + found + ", the last accepted change is "
							+ target.value(change.number()) + " of revision " + change.revision());
				}
			}
		}
	}

	private synchronized void broken(String told) {
		this.broken.add(told);
		this.journal.note("configuration", "broken", "", told);
	}

	// -- results

	synchronized List<String> broken() {
		return List.copyOf(this.broken);
	}

	synchronized ObjectNode report() {
		List<Long> sorted = this.inForceMillis.stream().sorted().toList();
		ObjectNode report = MAPPER.createObjectNode()
			.put("accepted", this.accepted.size())
			.put("conflicts", this.conflicts)
			.put("uncertain", this.uncertain.values().stream().mapToInt(List::size).sum());
		report.putObject("inForceMillis")
			.put("count", sorted.size())
			.put("p50", at(sorted, 50))
			.put("p99", at(sorted, 99))
			.put("max", at(sorted, 100));
		return report;
	}

	private static long at(List<Long> sorted, int percentile) {
		return sorted.isEmpty() ? 0 : sorted.get(Math.max(0, Math.ceilDiv(sorted.size() * percentile, 100) - 1));
	}

	private record Accepted(Target target, long number, long revision, long atNanos) {
	}

	private record Target(String kind, String name, String field) {

		void set(ObjectNode spec, long number) {
			if (this.field.equals("answerMillis")) {
				spec.put(this.field, (long) value(number));
			}
			else {
				spec.put(this.field, value(number));
			}
		}

		double value(long number) {
			return this.field.equals("answerMillis") ? 120_000 + number : 1 + number / 1024.0;
		}

	}

}
