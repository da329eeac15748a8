package org.rosemaryfront.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.rosemaryfront.dispatch.BackendServer;

/**
 * Simulates, on virtual time, gateways that send calls to servers of two versions. Each
 * gateway chooses the version by its own roll-out state and reports its tallies to the
 * others; one of them decides on the phase.
 */
final class RolloutSimulation {

	private static final long STEP_MILLIS = 50;

	private static final long REPORT_MILLIS = 250;

	private static final double REPORT_LOSS = 0.02;

	private static final int SERVERS = 20;

	private static final String[] ROUTES = { "quotes", "summaries", "chats" };

	private static final double BASELINE_FAILING_SHARE = 0.06;

	private final Random random;

	private final FailureModel failureModel;

	private final RolloutOrder order;

	private final Supplier<RolloutEvaluator> evaluator;

	private final double exposureShare;

	private final double callsPerSecond;

	private final List<Gateway> gateways = new ArrayList<>();

	private final List<BackendServer> servers = new ArrayList<>();

	private int holder;

	/** The time before which no gateway holds the duty lease. */
	private long holderFromMillis;

	private long nowMillis;

	private Phase phase = Phase.TRIAL;

	private int gatewayStarts;

	// -- results

	long calls;

	long candidateCalls;

	long failingCandidateCalls;

	/**
	 * Calls sent to the candidate more than 5 s after its fiftieth call that failed or
	 * was slow.
	 */
	long lateCandidateCalls;

	private long fiftiethMillis = Long.MAX_VALUE;

	Optional<Long> decidedMillis = Optional.empty();

	RolloutSimulation(long seed, int gateways, double callsPerSecond, RolloutOrder order, double exposureShare,
			FailureModel failureModel, Supplier<RolloutEvaluator> evaluator) {
		this.random = new Random(seed);
		this.callsPerSecond = callsPerSecond;
		this.order = order;
		this.exposureShare = exposureShare;
		this.failureModel = failureModel;
		this.evaluator = evaluator;
		for (int i = 0; i < gateways; i++) {
			this.gateways.add(new Gateway());
		}
		for (int i = 0; i < SERVERS; i++) {
			this.servers.add(server("old-" + i, "v1"));
			this.servers.add(server("new-" + i, this.order.targetVersion()));
		}
	}

	private static BackendServer server(String id, String version) {
		return new BackendServer(id, 1, "llm", version, "127.0.0.1:1", "a", 64, false, false, 0);
	}

	Phase phase() {
		return this.phase;
	}

	/** The candidate's share of all calls, without a number of calls that is allowed. */
	double exposure(long slack) {
		return (this.candidateCalls - slack) / (double) Math.max(1, this.calls);
	}

	/**
	 * Runs the simulation for the duration of the order.
	 * @param killHolderMillis when the holder of the duty lease is killed, never if
	 * negative
	 * @param killAllMillis when all gateways are killed, never if negative
	 */
	void run(long killHolderMillis, long killAllMillis) {
		while (this.nowMillis < this.order.durationMillis()) {
			this.nowMillis += STEP_MILLIS;
			if (this.nowMillis == killHolderMillis) {
				kill(this.holder);
				this.holder = (this.holder + 1) % this.gateways.size();
				this.holderFromMillis = this.nowMillis + 3_000;
			}
			if (this.nowMillis == killAllMillis) {
				for (int i = 0; i < this.gateways.size(); i++) {
					kill(i);
				}
				this.holderFromMillis = this.nowMillis + 1_000;
			}
			decide();
			call();
			if (this.nowMillis % REPORT_MILLIS == 0) {
				report();
			}
		}
	}

	private void kill(int gateway) {
		this.gateways.set(gateway, new Gateway());
	}

	private void decide() {
		if (this.nowMillis < this.holderFromMillis) {
			return;
		}
		Gateway deciding = this.gateways.get(this.holder);
		Optional<Phase> next = RolloutPlan.next(this.order, this.phase, deciding.rollout.verdict(), this.nowMillis,
				new RolloutPlan.ServerCounts(SERVERS, SERVERS, 0));
		next.ifPresent((phase) -> {
			this.phase = phase;
			if (phase.isFinal()) {
				this.decidedMillis = Optional.of(this.nowMillis);
			}
		});
		deciding.rollout.phaseAnnounced(this.phase, nanos());
	}

	private void call() {
		double expectedCalls = this.callsPerSecond * STEP_MILLIS / 1_000;
		int count = (int) expectedCalls + ((this.random.nextDouble() < expectedCalls % 1) ? 1 : 0);
		for (int i = 0; i < count; i++) {
			Gateway gateway = this.gateways.get(this.random.nextInt(this.gateways.size()));
			String route = ROUTES[this.random.nextInt(ROUTES.length)];
			VersionRule rule = gateway.rollout.versionRules(this.servers, false, this.random.nextDouble(), nanos())
				.getFirst();
			boolean isCandidate = rule.allows(this.servers.get(1)) && !rule.allows(this.servers.get(0));
			boolean failing = this.random.nextDouble() < (isCandidate
					? this.failureModel.failingShare(route, this.nowMillis) : BASELINE_FAILING_SHARE);
			gateway.rollout.recordCall(route, isCandidate, failing);
			count(isCandidate, failing);
		}
	}

	private void count(boolean isCandidate, boolean failing) {
		this.calls++;
		if (!isCandidate) {
			return;
		}
		this.candidateCalls++;
		this.failingCandidateCalls += failing ? 1 : 0;
		if (this.failingCandidateCalls == 50 && this.fiftiethMillis == Long.MAX_VALUE) {
			this.fiftiethMillis = this.nowMillis;
		}
		boolean late = this.fiftiethMillis != Long.MAX_VALUE && this.nowMillis > this.fiftiethMillis + 5_000;
		this.lateCandidateCalls += late ? 1 : 0;
	}

	private void report() {
		boolean isHeld = this.nowMillis >= this.holderFromMillis;
		for (Gateway from : this.gateways) {
			Map<String, Tally> totals = from.rollout.ownTallies();
			boolean announces = isHeld && from == this.gateways.get(this.holder);
			for (Gateway to : this.gateways) {
				if (to != from && this.random.nextDouble() < REPORT_LOSS) {
					continue;
				}
				to.rollout.recordReport(from.name, totals, nanos());
				if (announces) {
					to.rollout.phaseAnnounced(this.phase, nanos());
				}
			}
		}
	}

	private long nanos() {
		return TimeUnit.MILLISECONDS.toNanos(this.nowMillis);
	}

	/** The share of the candidate's calls that fail or are slow. */
	interface FailureModel {

		FailureModel NONE = (_, _) -> BASELINE_FAILING_SHARE;

		double failingShare(String route, long millis);

		static FailureModel of(double share) {
			return (_, _) -> BASELINE_FAILING_SHARE + share;
		}

		static FailureModel from(long fromMillis, double share) {
			return (_, millis) -> BASELINE_FAILING_SHARE + ((millis >= fromMillis) ? share : 0);
		}

		static FailureModel onRoute(double share) {
			return (route, _) -> BASELINE_FAILING_SHARE + (route.equals(ROUTES[0]) ? share : 0);
		}

	}

	/** A gateway with its state of the roll-out. */
	private final class Gateway {

		private final String name = "g" + ++RolloutSimulation.this.gatewayStarts;

		private final Rollout rollout = Rollout.of(RolloutSimulation.this.order, RolloutSimulation.this.exposureShare,
				RolloutSimulation.this.evaluator);

	}

	/**
	 * The results of several simulations.
	 *
	 * @param succeeded the number of simulations that ended with the candidate in service
	 * @param rolledBack the number of simulations that ended otherwise
	 * @param worstExposure the largest share of the calls that the candidate got, without
	 * the calls that are always allowed
	 * @param meanExposure the mean of this share
	 * @param lateCandidateCalls the number of calls sent to the candidate later than
	 * allowed
	 * @param decidedMillis the mean time until the roll-out was complete
	 */
	record Summary(int succeeded, int rolledBack, double worstExposure, double meanExposure, long lateCandidateCalls,
			long decidedMillis) {

		static Summary of(List<RolloutSimulation> simulations, long slack) {
			Map<Boolean, Integer> outcomes = new HashMap<>();
			simulations.forEach((simulation) -> outcomes.merge(simulation.phase() == Phase.SUCCEEDED, 1, Integer::sum));
			double worst = simulations.stream().mapToDouble((simulation) -> simulation.exposure(slack)).max().orElse(0);
			double mean = simulations.stream()
				.mapToDouble((simulation) -> simulation.exposure(slack))
				.average()
				.orElse(0);
			long late = simulations.stream().mapToLong((simulation) -> simulation.lateCandidateCalls).sum();
			double decided = simulations.stream()
				.mapToLong((simulation) -> simulation.decidedMillis.orElse(simulation.order.durationMillis()))
				.average()
				.orElse(0);
			return new Summary(outcomes.getOrDefault(true, 0), outcomes.getOrDefault(false, 0), worst, mean, late,
					Math.round(decided));
		}

	}

}
