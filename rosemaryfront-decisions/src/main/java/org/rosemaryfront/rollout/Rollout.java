package org.rosemaryfront.rollout;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.rollout.RolloutEvaluator.Verdict;

/**
 * The state of a roll-out in one process.
 *
 * <p>
 * Each process sends at most the allowed share of its own calls to the candidate version.
 * The share of all calls therefore stays within the limit when processes are partitioned,
 * killed or started. The gateway that holds the duty lease announces the phase. A process
 * sends no calls to the candidate if it has received no announcement for some time, or
 * once its own verdict on the candidate is negative.
 */
public final class Rollout {

	/** The part of the allowed share that is used; the rest absorbs random variation. */
	private static final double SHARE_SAFETY_FACTOR = 0.8;

	/** The time after which an announcement of the phase expires, in nanoseconds. */
	private static final long ANNOUNCEMENT_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final RolloutOrder order;

	private final double trialShare;

	private final RolloutEvaluator evaluator;

	private final Map<String, Tally> ownTallies = new HashMap<>();

	/** The latest tallies, by process and route. */
	private final Map<String, Map<String, Tally>> reported = new HashMap<>();

	private Phase phase = Phase.TRIAL;

	/** When the phase was last announced. */
	private OptionalLong announcedNanos = OptionalLong.empty();

	private Rollout(RolloutOrder order, double share, RolloutEvaluator evaluator) {
		this.order = order;
		this.trialShare = share * SHARE_SAFETY_FACTOR;
		this.evaluator = evaluator;
	}

	/**
	 * Creates the roll-out for a new order, before any announcement of its phase.
	 * @param order the order
	 * @param exposureShare the maximum share of the calls that a failing candidate
	 * version may get
	 * @return the roll-out
	 */
	public static Rollout of(RolloutOrder order, double exposureShare) {
		return of(order, exposureShare, SequentialEvaluator::of);
	}

	static Rollout of(RolloutOrder order, double exposureShare, Supplier<RolloutEvaluator> evaluator) {
		return new Rollout(order, exposureShare, evaluator.get());
	}

	// -- changes

	/**
	 * Applies an announcement of the phase by the gateway that holds the duty lease. An
	 * earlier phase is ignored.
	 * @param next the announced phase
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return whether the phase changed
	 */
	public boolean phaseAnnounced(Phase next, long nowNanos) {
		if (next == this.phase || this.phase.canAdvanceTo(next)) {
			this.announcedNanos = OptionalLong.of(nowNanos);
		}
		boolean changed = this.phase.canAdvanceTo(next);
		this.phase = changed ? next : this.phase;
		return changed;
	}

	/**
	 * Counts a call of this process that has ended or received its first token.
	 * @param route the route of the call
	 * @param candidate whether the candidate version served the call
	 * @param failing whether the call failed or was slow
	 */
	public void recordCall(String route, boolean candidate, boolean failing) {
		this.ownTallies.merge(route, Tally.NONE.plus(candidate, failing),
				(before, _) -> before.plus(candidate, failing));
	}

	/**
	 * Applies the calls that a process has counted since it received the order; also used
	 * for this process's own calls.
	 * @param process the start of the process
	 * @param totals the tallies by route
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void recordReport(String process, Map<String, Tally> totals, long nowNanos) {
		Map<String, Tally> before = this.reported.getOrDefault(process, Map.of());
		totals.forEach((route, total) -> this.evaluator.observe(route,
				total.minus(before.getOrDefault(route, Tally.NONE)), nowNanos));
		this.reported.put(process, Map.copyOf(totals));
	}

	// -- queries

	/**
	 * Returns the rules by which a server is chosen for a call.
	 * @param servers all servers of the service
	 * @param isRetry whether the call is a retry
	 * @param draw a random number from 0 to 1
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the rules, in the order in which they are tried
	 */
	public List<VersionRule> versionRules(Collection<BackendServer> servers, boolean isRetry, double draw,
			long nowNanos) {
		List<BackendServer> candidate = servers.stream().filter(this::isCandidate).toList();
		if (candidate.isEmpty() || candidate.size() == servers.size()) {
			return List.of(VersionRule.any());
		}
		VersionRule fallback = VersionRule.without(this.order.targetVersion());
		return switch (this.phase) {
			case SUCCEEDED -> List.of(VersionRule.only(this.order.targetVersion()), fallback);
			case ROLLED_BACK -> List.of(fallback);
			case MOVING -> mayUseCandidate(nowNanos) ? List.of(VersionRule.only(this.order.targetVersion()), fallback)
					: List.of(fallback);
			case TRIAL -> (!isRetry && draw < this.trialShare && mayUseCandidate(nowNanos))
					? List.of(VersionRule.trial(trialServers(candidate)), fallback) : List.of(fallback);
		};
	}

	private boolean mayUseCandidate(long nowNanos) {
		boolean announced = this.announcedNanos.isPresent()
				&& nowNanos - this.announcedNanos.getAsLong() < ANNOUNCEMENT_TIMEOUT_NANOS;
		return announced && verdict() != Verdict.BAD;
	}

	// Uses the same share of the candidate servers as of the calls, so that each of them
	// runs at its later load and faults that occur only under load are detected.
	private Set<String> trialServers(List<BackendServer> candidate) {
		long count = Math.max(1, Math.round(candidate.size() * this.trialShare));
		return candidate.stream()
			.filter((server) -> !server.leaving())
			.map(BackendServer::id)
			.sorted(Comparator.naturalOrder())
			.limit(count)
			.collect(Collectors.toSet());
	}

	/**
	 * Returns whether a server runs the candidate version.
	 * @param server the server
	 * @return true if it runs the candidate version
	 */
	public boolean isCandidate(BackendServer server) {
		return server.version().equals(this.order.targetVersion());
	}

	/**
	 * Returns whether a server counts towards the current capacity of the service.
	 * @param server the server
	 * @return true for servers of the candidate version once the calls move to it, and
	 * for servers of other versions before that or after a rollback
	 */
	public boolean countsTowardsCapacity(BackendServer server) {
		return isCandidate(server) == (this.phase == Phase.SUCCEEDED || this.phase == Phase.MOVING);
	}

	/**
	 * Returns the verdict on the candidate version.
	 * @return the verdict
	 */
	public Verdict verdict() {
		return this.evaluator.verdict();
	}

	/**
	 * Returns the calls that this process has counted.
	 * @return the tallies by route
	 */
	public Map<String, Tally> ownTallies() {
		return Map.copyOf(this.ownTallies);
	}

	/**
	 * Returns the order of this roll-out.
	 * @return the order
	 */
	public RolloutOrder order() {
		return this.order;
	}

	/**
	 * Returns the latest phase that was announced to this process.
	 * @return the phase
	 */
	public Phase phase() {
		return this.phase;
	}

}
