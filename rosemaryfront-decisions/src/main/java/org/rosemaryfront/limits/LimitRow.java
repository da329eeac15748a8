package org.rosemaryfront.limits;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.rosemaryfront.limits.LimitReport.Demand;
import org.rosemaryfront.limits.LimitReport.IssuedPermits;

/** A backend server that has stated a limit: its limit, demands and permits. */
final class LimitRow {

	/** The period over which requests are counted, in nanoseconds. */
	private static final long DEMAND_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(3);

	/** The time for which a reported demand counts, in nanoseconds. */
	private static final long DEMAND_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** The maximum number of requests counted in a period. */
	private static final int MAX_DEMAND = 1_000;

	/** The number of issuers whose permits are counted. */
	private static final int MAX_HOLDERS = 8;

	/**
	 * The time for which a changed limit is part of each report, in nanoseconds: several
	 * reports, some of which may be lost.
	 */
	private static final long TELL_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

	/** The interval at which a limit that stays the same is reported. */
	private static final long REPEAT_NANOS = TimeUnit.SECONDS.toNanos(5);

	ObservedLimit observed;

	/** Identifies this row as an issuer: the counts of another row begin anew. */
	private final int issuerId;

	private final PermitIssuer issuer = new PermitIssuer();

	/** Whether this gateway issues permits to itself, as all other gateways do. */
	private boolean issuesToSelf;

	/** Since when the limit is reported, or was known without being reported. */
	private long toldSinceNanos;

	private boolean told;

	/** The calls that wait for a permit at this gateway. */
	private int waiting;

	private final Deque<Long> requests = new ArrayDeque<>();

	/** The demand that each other gateway reported last, by start. */
	private final Map<Integer, PeerDemand> demands = new HashMap<>();

	/** The permits of this gateway by their issuer, the oldest one first. */
	private final Map<Integer, PermitHolder> holders = new LinkedHashMap<>();

	LimitRow(ObservedLimit observed, int issuerId) {
		this.observed = observed;
		this.issuerId = issuerId;
		this.toldSinceNanos = observed.untilNanos();
	}

	/**
	 * Makes the limit part of the next few reports.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void tell(long nowNanos) {
		this.told = true;
		this.toldSinceNanos = nowNanos;
	}

	boolean isTold(long nowNanos) {
		return this.told && nowNanos - this.toldSinceNanos < TELL_NANOS;
	}

	boolean isRepeatDue(long nowNanos) {
		return nowNanos - this.toldSinceNanos >= REPEAT_NANOS;
	}

	// -- requests

	void recordRequest(long nowNanos) {
		if (this.requests.size() == MAX_DEMAND) {
			this.requests.removeFirst();
		}
		this.requests.addLast(nowNanos);
	}

	void recordWaiting(int calls) {
		this.waiting = calls;
	}

	Demand ownDemand(long nowNanos) {
		while (!this.requests.isEmpty() && nowNanos - this.requests.getFirst() >= DEMAND_PERIOD_NANOS) {
			this.requests.removeFirst();
		}
		return new Demand(this.requests.size(), this.waiting);
	}

	void recordPeerDemand(String gateway, int start, Demand demand, long nowNanos) {
		this.demands.put(start, new PeerDemand(gateway, demand, nowNanos));
	}

	/**
	 * Returns the demands of the other gateways.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the demands reported of late, by start
	 */
	Map<Integer, PeerDemand> peerDemands(long nowNanos) {
		expireDemands(nowNanos);
		return this.demands;
	}

	void expireDemands(long nowNanos) {
		this.demands.values().removeIf((demand) -> nowNanos - demand.reportedNanos >= DEMAND_TIMEOUT_NANOS);
	}

	// -- issue of permits

	PermitIssuer issuer() {
		return this.issuer;
	}

	int issuerId() {
		return this.issuerId;
	}

	/**
	 * Sets for whom this gateway issues permits. The issuer begins anew with a change.
	 * @param toSelf true for itself only, false for all gateways
	 * @return the issuer
	 */
	PermitIssuer issuer(boolean toSelf) {
		if (toSelf != this.issuesToSelf) {
			this.issuer.stop();
			this.issuesToSelf = toSelf;
		}
		return this.issuer;
	}

	boolean issuesToSelf() {
		return this.issuesToSelf;
	}

	// -- permits of this gateway

	/**
	 * Receives permits of this gateway.
	 * @param gateway the name of the gateway that issued them
	 * @param issuer identifies the issuer
	 * @param permits the permits issued to this gateway so far
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void receivePermits(String gateway, int issuer, IssuedPermits permits, long nowNanos) {
		PermitHolder holder = this.holders.computeIfAbsent(issuer, (_) -> new PermitHolder(gateway, permits.settled()));
		this.holders.values()
			.stream()
			.filter((other) -> other != holder && other.issuer().equals(gateway))
			.forEach(PermitHolder::discard);
		holder.receive(permits.total(), nowNanos);
		if (this.holders.size() > MAX_HOLDERS) {
			this.holders.remove(this.holders.keySet().iterator().next());
		}
	}

	/**
	 * Returns the permits of one issuer and ends those of all others.
	 * @param gateway the name of the issuer
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the permits, empty if there are none
	 */
	Optional<PermitHolder> permitsOf(String gateway, long nowNanos) {
		this.holders.values().forEach((holder) -> {
			holder.expire(nowNanos);
			if (!holder.issuer().equals(gateway)) {
				holder.discard();
			}
		});
		return this.holders.values().stream().filter((holder) -> holder.count() > 0).findFirst();
	}

	Map<Integer, PermitHolder> holders() {
		return this.holders;
	}

	int permitCount() {
		return this.holders.values().stream().mapToInt(PermitHolder::count).sum();
	}

	/** Ends all permits, because the server takes any number of requests. */
	void endPermits() {
		this.holders.values().forEach(PermitHolder::discard);
		this.issuer.stop();
	}

	/** The demand that another gateway reported. */
	record PeerDemand(String gateway, Demand demand, long reportedNanos) {
	}

}
