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
 * One order to move a service to another version, as one process sees it.
 *
 * <p>
 * Each process sends its own share of its own calls to the new version, so that all
 * together send no more than that share, whoever is cut off, killed or started. The
 * holder of the duties says how far the roll-out is; without word of it for a while, and
 * once its own view of the calls speaks against the new version, a process sends nothing
 * more there.
 */
public final class Rollout {

	/** What of the allowed share is used: the rest is for the spread of chance. */
	private static final double SHARE_CAUTION = 0.8;

	/** For how long the holder's word counts, in nanoseconds. */
	private static final long WORD_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final RolloutOrder order;

	private final double share;

	private final RolloutJudge judge;

	private final Map<String, Tally> own = new HashMap<>();

	/** What each process told last, by route. */
	private final Map<String, Map<String, Tally>> told = new HashMap<>();

	private Phase phase = Phase.TRIAL;

	/** When the holder of the duties last said how far it is. */
	private OptionalLong wordNanos = OptionalLong.empty();

	private Rollout(RolloutOrder order, double share, RolloutJudge judge) {
		this.order = order;
		this.share = share * SHARE_CAUTION;
		this.judge = judge;
	}

	/**
	 * An order that was just seen.
	 * @param order the order
	 * @param exposureShare what part of the calls a bad version may get
	 * @return the roll-out, of which the holder said nothing yet
	 */
	public static Rollout of(RolloutOrder order, double exposureShare) {
		return of(order, exposureShare, SequentialJudge::of);
	}

	static Rollout of(RolloutOrder order, double exposureShare, Supplier<RolloutJudge> judge) {
		return new Rollout(order, exposureShare, judge.get());
	}

	// -- changes

	/**
	 * The holder of the duties says how far the roll-out is.
	 * @param next the phase
	 * @param nowNanos the time
	 * @return whether it is another one than before
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
	 * A call of this process ended, or its first token came.
	 * @param route its route
	 * @param fresh whether the new version had it
	 * @param bad whether it failed or was slow
	 */
	public void ended(String route, boolean fresh, boolean bad) {
		this.own.merge(route, Tally.NONE.with(fresh, bad), (before, _) -> before.with(fresh, bad));
	}

	/**
	 * Takes what a process has counted since it saw the order, this one included.
	 * @param process the start of the process
	 * @param totals its counts by route
	 * @param nowNanos the time
	 */
	public void counted(String process, Map<String, Tally> totals, long nowNanos) {
		Map<String, Tally> before = this.told.getOrDefault(process, Map.of());
		totals.forEach((route, total) -> this.judge.observe(route, total.since(before.getOrDefault(route, Tally.NONE)),
				nowNanos));
		this.told.put(process, Map.copyOf(totals));
	}

	// -- queries

	/**
	 * Which versions a call may go to.
	 * @param servers all servers of the service
	 * @param again whether the call was sent before
	 * @param draw a random number from 0 to 1
	 * @param nowNanos the time
	 * @return the rules in the order in which they are tried
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

	// As many of the servers as their part of the calls is, so that each has the load
	// that it will have: what fails under load only, fails there too.
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
	 * Whether a server is of the new version.
	 * @param server the server
	 * @return true when it is
	 */
	public boolean isFresh(BackendServer server) {
		return server.version().equals(this.order.to());
	}

	/**
	 * Whether a server has a part in what the service can serve now.
	 * @param server the server
	 * @return false for one of the version that has not got the service
	 */
	public boolean counts(BackendServer server) {
		return isFresh(server) == (this.phase == Phase.SUCCEEDED || this.phase == Phase.MOVING);
	}

	/**
	 * What calls say of the new version.
	 * @return the verdict
	 */
	public Verdict verdict() {
		return this.judge.verdict();
	}

	/**
	 * The calls of this process, by route.
	 * @return the counts
	 */
	public Map<String, Tally> own() {
		return Map.copyOf(this.own);
	}

	/**
	 * The order.
	 * @return the order
	 */
	public RolloutOrder order() {
		return this.order;
	}

	/**
	 * How far the roll-out is, as far as this process knows.
	 * @return the phase
	 */
	public Phase phase() {
		return this.phase;
	}

}
