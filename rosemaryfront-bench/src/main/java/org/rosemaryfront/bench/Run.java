package org.rosemaryfront.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.rosemaryfront.model.VmId;
import org.rosemaryfront.serving.ServingDecisions;
import org.rosemaryfront.serving.ServingEvent;
import org.rosemaryfront.serving.ServingEvent.LeavingSource;
import org.rosemaryfront.serving.ServingParameters;

/** One run of a policy over seeded work on virtual time. */
final class Run {

	private static final long TICK_NANOS = 5 * VirtualTime.MILLI;

	private static final long REPORT_NANOS = 500 * VirtualTime.MILLI;

	private static final long PEERS_NANOS = 500 * VirtualTime.MILLI;

	final VirtualTime time = new VirtualTime();

	final Fleet fleet = new Fleet(this.time);

	final Journal journal = new Journal();

	final List<Entry> entries = new ArrayList<>();

	final Map<String, Answer> answers = new LinkedHashMap<>();

	final RunPlan plan;

	private final Policy policy;

	private final long seed;

	private final Set<String> forced;

	private final Random random;

	private final Set<Long> fleetBlocks = new HashSet<>();

	Run(RunPlan plan, Policy policy, long seed) {
		this(plan, policy, seed, Set.of());
	}

	private Run(RunPlan plan, Policy policy, long seed, Set<String> forced) {
		this.plan = plan;
		this.policy = policy;
		this.seed = seed;
		this.forced = forced;
		this.random = new Random(seed);
		plan.machines().forEach(this::boot);
		for (int i = 0; i < plan.entries(); i++) {
			String zone = plan.deployment().zones().get(i % plan.deployment().zones().size());
			ServingDecisions decisions = policy.decisions(ServingParameters.defaults(zone), seed + i);
			this.entries.add(new Entry(zone, decisions, this.fleet, this.time, this.journal));
		}
	}

	// -- the run

	Run execute() {
		this.entries.forEach(this::introduce);
		for (WorkItem item : this.plan.work()) {
			Answer answer = new Answer(item);
			this.answers.put(item.id().value(), answer);
			this.time.at(item.atNanos(), () -> this.entries.get(item.entry() % this.entries.size())
				.arrive(answer, this.forced.contains(item.id().value())));
		}
		this.time.every(REPORT_NANOS, this::report);
		this.time.every(PEERS_NANOS, this::gossip);
		this.entries.forEach((entry) -> this.time.every(TICK_NANOS, entry::tick));
		this.plan.faults().accept(this);
		drain();
		this.answers.values()
			.stream()
			.filter((answer) -> !answer.ended())
			.forEach((answer) -> this.journal.violation("no final answer for " + answer.item.id()));
		return this;
	}

	// Runs until every answer has ended, at most until the last one must have: one that
	// has begun may take twice its time.
	private void drain() {
		long longest = this.plan.deployment().summary().answerMillis() * VirtualTime.MILLI;
		long last = this.plan.durationNanos() + 2 * longest + VirtualTime.SECOND;
		this.time.runUntil(this.plan.durationNanos());
		while (this.time.now() < last && !this.answers.values().stream().allMatch(Answer::ended)) {
			this.time.runUntil(this.time.now() + VirtualTime.SECOND);
		}
	}

	private void introduce(Entry entry) {
		entry.notify(new ServingEvent.ConfigurationApplied(this.plan.deployment().configuration()));
		this.fleet.all().forEach((runner) -> entry.notify(seen(runner)));
	}

	private ServingEvent seen(Runner runner) {
		return new ServingEvent.ServerDiscovered(runner.id, this.plan.deployment().pool().name(), runner.zone,
				runner.address());
	}

	private Runner boot(Machine machine) {
		VmId id = new VmId("runner-" + this.fleet.all().size());
		Runner runner = new Runner(id, machine.zone(), machine.pricePerHour(), machine.engine(), this.fleetBlocks,
				this.time);
		this.fleet.add(runner);
		return runner;
	}

	// -- reports

	private void report() {
		for (Entry entry : this.entries) {
			this.fleet.all()
				.stream()
				.filter((runner) -> !runner.gone)
				.forEach((runner) -> this.time.after(this.fleet.latencyNanos(entry.zone, runner.zone),
						() -> entry.pollReports(runner)));
		}
	}

	private void gossip() {
		List<Map<String, Long>> usages = this.entries.stream()
			.map((entry) -> entry.decisions.tokensInFlight())
			.toList();
		for (int i = 0; i < this.entries.size(); i++) {
			Map<String, Long> others = new HashMap<>();
			for (int j = 0; j < usages.size(); j++) {
				if (j != i) {
					usages.get(j).forEach((name, tokens) -> others.merge(name, tokens, Long::sum));
				}
			}
			Entry entry = this.entries.get(i);
			this.time.after(PEERS_NANOS / 2,
					() -> entry.notify(new ServingEvent.PeersReported(this.entries.size(), others)));
		}
	}

	// -- refusals

	// The same run once more, with some requests accepted that were refused.
	Run again(Set<String> accepted) {
		return new Run(this.plan, this.policy, this.seed, accepted).execute();
	}

	// -- faults

	// A runner gets a reclaim notice; the entries learn of it one by one.
	void reclaim(Runner runner, long atNanos, long noticeNanos) {
		this.time.at(atNanos, () -> {
			if (runner.leaving) {
				return;
			}
			runner.leaving = true;
			runner.noticedNanos = atNanos;
			for (Entry entry : this.entries) {
				long lag = (50 + this.random.nextInt(950)) * VirtualTime.MILLI;
				this.time.after(lag, () -> entry.notify(new ServingEvent.ServerLeaving(runner.id,
						LeavingSource.RECLAIM_NOTICE, atNanos + noticeNanos)));
			}
		});
		this.time.at(atNanos + noticeNanos, () -> vanish(runner));
	}

	void vanish(Runner runner) {
		if (runner.gone) {
			return;
		}
		runner.leaving = true;
		runner.vanish();
		for (Entry entry : this.entries) {
			long lag = (1_000 + this.random.nextInt(1_000)) * VirtualTime.MILLI;
			this.time.after(lag, () -> entry.notify(new ServingEvent.ServerTerminated(runner.id)));
		}
	}

	// A new runner takes work after its boot.
	void start(Machine machine, long atNanos) {
		this.time.at(atNanos, () -> {
			Runner runner = boot(machine);
			runner.bootedNanos = atNanos;
			this.entries.forEach((entry) -> entry.notify(seen(runner)));
		});
	}

}
