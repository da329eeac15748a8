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
import org.rosemaryfront.rollout.RolloutJudge.Verdict;

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
	private static final double SHARE_CAUTION = 0.8;

	/** The time after which an announcement of the phase expires, in nanoseconds. */
	private static final long WORD_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final RolloutOrder order;

	private final double share;

	private final RolloutJudge judge;

	private final Map<String, Tally> own = new HashMap<>();

	/** The latest tallies, by process and route. */
	private final Map<String, Map<String, Tally>> told = new HashMap<>();

	private Phase phase = Phase.TRIAL;

	/** When the phase was last announced. */
	private OptionalLong wordNanos = OptionalLong.empty();

	private Rollout(RolloutOrder order, double share, RolloutJudge judge) {
		this.order = order;
		this.share = share * SHARE_CAUTION;
		this.judge = judge;
	}

	/**
	 * Creates the roll-out for a new order, before any announcement of its phase.
	 * @param order the order
	 * @param exposureShare the maximum share of the calls that a failing candidate
	 * version may get
	 * @return the roll-out
	 */
	public static Rollout of(RolloutOrder order, double exposureShare) {
		return of(order, exposureShare, SequentialJudge::of);
	}

	static Rollout of(RolloutOrder order, double exposureShare, Supplier<RolloutJudge> judge) {
		return new Rollout(order, exposureShare, judge.get());
	}

	// -- changes

	/**
	 * Applies an announcement of the phase by the gateway that holds the duty lease. An
	 * earlier phase is ignored.
	 * @param next the announced phase
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return whether the phase changed
	 */
	public boolean said(Phase next, long nowNanos) {
		if (next == this.phase || this.phase.leadsTo(next)) {
			this.wordNanos = OptionalLong.of(nowNanos);
		}
		boolean changed = this.phase.leadsTo(next);
		this.phase = changed ? next : this.phase;
		return changed;
	}

	/**
	 * Counts a call of this process that has ended or received its first token.
	 * @param route the route of the call
	 * @param fresh whether the candidate version served the call
	 * @param bad whether the call failed or was slow
	 */
	public void ended(String route, boolean fresh, boolean bad) {
		this.own.merge(route, Tally.NONE.with(fresh, bad), (before, _) -> before.with(fresh, bad));
	}

	/**
	 * Applies the calls that a process has counted since it received the order; also used
	 * for this process's own calls.
	 * @param process the start of the process
	 * @param totals the tallies by route
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void counted(String process, Map<String, Tally> totals, long nowNanos) {
		Map<String, Tally> before = this.told.getOrDefault(process, Map.of());
		totals.forEach((route, total) -> this.judge.observe(route, total.since(before.getOrDefault(route, Tally.NONE)),
				nowNanos));
		this.told.put(process, Map.copyOf(totals));
	}

	// -- queries

	/**
	 * Returns the rules by which a server is chosen for a call.
	 * @param servers all servers of the service
	 * @param again whether the call is a retry
	 * @param draw a random number from 0 to 1
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the rules, in the order in which they are tried
	 */
	public List<Versions> versions(Collection<BackendServer> servers, boolean again, double draw, long nowNanos) {
		List<BackendServer> fresh = servers.stream().filter(this::isFresh).toList();
		if (fresh.isEmpty() || fresh.size() == servers.size()) {
			return List.of(Versions.any());
		}
		Versions back = Versions.without(this.order.to());
		return switch (this.phase) {
			case SUCCEEDED -> List.of(Versions.only(this.order.to()), back);
			case ROLLED_BACK -> List.of(back);
			case MOVING -> mayUse(nowNanos) ? List.of(Versions.only(this.order.to()), back) : List.of(back);
			case TRIAL -> (!again && draw < this.share && mayUse(nowNanos))
					? List.of(Versions.trial(trialServers(fresh)), back) : List.of(back);
		};
	}

	private boolean mayUse(long nowNanos) {
		boolean said = this.wordNanos.isPresent() && nowNanos - this.wordNanos.getAsLong() < WORD_NANOS;
		return said && verdict() != Verdict.BAD;
	}

	// Uses only the candidate servers' share that equals the share of the calls, so that
	// each one runs at its later load and faults that need this load show up.
	private Set<String> trialServers(List<BackendServer> fresh) {
		long count = Math.max(1, Math.round(fresh.size() * this.share));
		return fresh.stream()
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
	public boolean isFresh(BackendServer server) {
		return server.version().equals(this.order.to());
	}

	/**
	 * Returns whether a server counts towards the current capacity of the service.
	 * @param server the server
	 * @return true for servers of the candidate version once the calls move to it, and
	 * for servers of other versions before that or after a rollback
	 */
	public boolean counts(BackendServer server) {
		return isFresh(server) == (this.phase == Phase.SUCCEEDED || this.phase == Phase.MOVING);
	}

	/**
	 * Returns the verdict on the candidate version.
	 * @return the verdict
	 */
	public Verdict verdict() {
		return this.judge.verdict();
	}

	/**
	 * Returns the calls that this process has counted.
	 * @return the tallies by route
	 */
	public Map<String, Tally> own() {
		return Map.copyOf(this.own);
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
