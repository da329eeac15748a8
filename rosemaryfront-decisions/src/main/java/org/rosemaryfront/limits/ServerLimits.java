package org.rosemaryfront.limits;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.stream.Collectors;

import org.rosemaryfront.dispatch.BackendServer.Incarnation;
import org.rosemaryfront.dispatch.Dispatcher.Permits;
import org.rosemaryfront.fleet.Fleet;
import org.rosemaryfront.fleet.Fleet.Sharing;
import org.rosemaryfront.limits.LimitReport.AgedLimit;
import org.rosemaryfront.limits.LimitReport.Demand;
import org.rosemaryfront.limits.LimitReport.IssuedPermits;
import org.rosemaryfront.limits.LimitReport.Settlement;
import org.rosemaryfront.limits.PermitIssuer.Rate;

/**
 * Keeps the limits that backend servers state in their responses, across all gateways
 * together.
 *
 * <p>
 * One gateway issues the permits for a server: the one that comes first for it in an
 * order that is the same at all gateways. It issues them at the rate of the limit to
 * those that request the server, however unevenly callers are spread. A permit is valid
 * for a short time and allows one request. Gateways report to one another the limits,
 * their demands and the permits.
 *
 * <p>
 * The sum holds whichever reports arrive: a group of gateways that exchange reports with
 * only each other issues only its part of the rate, and where groups overlap, each
 * gateway issues permits only to itself.
 */
public final class ServerLimits implements Permits {

	/**
	 * The rate of permits for a server whose limit is lower, in permits per second. A
	 * server that gets no requests could never lift its limit.
	 */
	private static final double MIN_RATE_PER_SECOND = 0.1;

	/** The maximum transit time of a report, in nanoseconds. */
	private static final long TRANSIT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	/**
	 * The factor by which permits are reduced while gateways see different groups. Each
	 * then issues its own permits, and by chance many do so at the same time.
	 */
	private static final double DISAGREEMENT_FACTOR = 0.5;

	/**
	 * The permits that may be usable at the same time: this number and those of some
	 * seconds. All of them may be used at once, in addition to those that are issued
	 * later.
	 */
	private static final double MAX_USABLE_PERMITS = 3;

	private static final double MAX_USABLE_SECONDS = 1.2;

	/** The time for which a gateway reports what became of its permits. */
	private static final long SETTLEMENT_REPORT_NANOS = TimeUnit.SECONDS.toNanos(5);

	private final String self;

	private final int ownStart;

	private final Fleet fleet;

	/** Random numbers from 0 to 1 that keep gateways from issuing at the same time. */
	private final DoubleSupplier random;

	private final Map<Incarnation, LimitRow> rows = new HashMap<>();

	/** Whether a limit changed here since the last report. */
	private boolean changeUntold;

	private ServerLimits(String self, int ownStart, Fleet fleet, DoubleSupplier random) {
		this.self = self;
		this.ownStart = ownStart;
		this.fleet = fleet;
		this.random = random;
	}

	/**
	 * Creates a table without limits.
	 * @param self the name of this gateway
	 * @param ownStart a number that identifies this start of this gateway
	 * @param fleet the gateways
	 * @param random a source of random numbers from 0 to 1
	 * @return the table
	 */
	public static ServerLimits of(String self, int ownStart, Fleet fleet, DoubleSupplier random) {
		return new ServerLimits(self, ownStart, fleet, random);
	}

	// -- limits

	/**
	 * Processes the limit stated in a response.
	 * @param server the run of the server
	 * @param stated the limit
	 * @param sentNanos when the request was sent, on the monotonic clock
	 * @param nowNanos when the response was received, on the monotonic clock
	 * @return the change of the limit, empty if it stays the same
	 */
	public Optional<Change> stated(Incarnation server, StatedLimit stated, long sentNanos, long nowNanos) {
		Optional<Change> change = switch (stated) {
			case StatedLimit.PerSecond limit ->
				observed(server, new ObservedLimit(OptionalDouble.of(limit.requests()), sentNanos, nowNanos), nowNanos);
			case StatedLimit.None _ -> isLimited(server)
					? observed(server, ObservedLimit.unlimited(sentNanos, nowNanos), nowNanos) : Optional.empty();
			case StatedLimit.Unknown _, StatedLimit.Unreadable _ -> Optional.empty();
		};
		change.flatMap((changed) -> row(changed.server())).ifPresent((row) -> {
			row.tell(nowNanos);
			this.changeUntold = true;
		});
		return change;
	}

	private Optional<Change> observed(Incarnation server, ObservedLimit observed, long nowNanos) {
		Optional<LimitRow> known = row(server);
		if (known.isPresent() && !observed.replaces(known.get().observed)) {
			return Optional.empty();
		}
		OptionalDouble before = limit(server);
		LimitRow row = this.rows.computeIfAbsent(server, (_) -> new LimitRow(observed, nextIssuerId()));
		row.observed = observed;
		if (before.equals(observed.perSecond())) {
			return Optional.empty();
		}
		if (!observed.isLimited()) {
			row.endPermits();
		}
		return Optional.of(new Change(server, before, observed.perSecond(), nowNanos - observed.untilNanos()));
	}

	private int nextIssuerId() {
		return (int) (Integer.MAX_VALUE * (2 * this.random.getAsDouble() - 1));
	}

	/**
	 * Removes the limits of servers that were removed or restarted.
	 * @param current the runs of the current servers
	 */
	public void retain(Set<Incarnation> current) {
		this.rows.keySet().retainAll(current);
	}

	/**
	 * Returns the limit of a server.
	 * @param server the run of the server
	 * @return the requests per second, empty if it has none
	 */
	public OptionalDouble limit(Incarnation server) {
		return row(server).map((row) -> row.observed.perSecond()).orElse(OptionalDouble.empty());
	}

	/**
	 * Returns the age of what is known of a server's limit.
	 * @param server the run of the server
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the age in nanoseconds, empty if the server never stated a limit
	 */
	public OptionalLong ageNanos(Incarnation server, long nowNanos) {
		return row(server).map((row) -> OptionalLong.of(nowNanos - row.observed.untilNanos()))
			.orElse(OptionalLong.empty());
	}

	/**
	 * Returns the servers that have a limit.
	 * @return the runs of the servers
	 */
	public Set<Incarnation> limitedServers() {
		return this.rows.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().observed.isLimited())
			.map(Map.Entry::getKey)
			.collect(Collectors.toUnmodifiableSet());
	}

	private boolean isLimited(Incarnation server) {
		return limit(server).isPresent();
	}

	private Optional<LimitRow> row(Incarnation server) {
		return Optional.ofNullable(this.rows.get(server));
	}

	private Optional<LimitRow> limitedRow(Incarnation server) {
		return row(server).filter((row) -> row.observed.isLimited());
	}

	// -- permits

	@Override
	public boolean tryAcquire(Incarnation server, long nowNanos) {
		Optional<LimitRow> row = limitedRow(server);
		row.ifPresent((limited) -> limited.recordRequest(nowNanos));
		Optional<PermitHolder> permits = permits(server, nowNanos);
		permits.ifPresent(PermitHolder::use);
		return row.isEmpty() || permits.isPresent();
	}

	@Override
	public boolean isAvailable(Incarnation server, long nowNanos) {
		return !isLimited(server) || permits(server, nowNanos).isPresent();
	}

	// Permits of a gateway that is not the issuer any more end: another one may issue in
	// its place by now.
	private Optional<PermitHolder> permits(Incarnation server, long nowNanos) {
		return limitedRow(server).filter((row) -> row.permitCount() > 0)
			.flatMap((row) -> row.permitsOf(row.issuesToSelf() ? this.self : issuer(server, nowNanos), nowNanos));
	}

	/**
	 * Returns the rate at which this gateway can expect permits for any of some servers.
	 * @param servers the runs of the servers
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the permits per second, 0 if no server has a limit
	 */
	public double expectedRate(Collection<Incarnation> servers, long nowNanos) {
		return servers.stream()
			.flatMap((server) -> limitedRow(server).stream())
			.mapToDouble((row) -> ratePerSecond(row) * ownShare(row, nowNanos))
			.sum();
	}

	private static double ownShare(LimitRow row, long nowNanos) {
		double own = Math.max(1, row.ownDemand(nowNanos).recent());
		double others = row.peerDemands(nowNanos).values().stream().mapToInt((peer) -> peer.demand().recent()).sum();
		return own / (own + others);
	}

	private static double ratePerSecond(LimitRow row) {
		return Math.max(MIN_RATE_PER_SECOND, row.observed.perSecond().orElse(0));
	}

	/**
	 * Returns the permits that this gateway holds for a server, for the log.
	 * @param server the run of the server
	 * @return the number
	 */
	public int permitCount(Incarnation server) {
		return row(server).map(LimitRow::permitCount).orElse(0);
	}

	/**
	 * Returns the gateway that issues the permits for a server.
	 * @param server the run of the server
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the name of the gateway
	 */
	public String issuer(Incarnation server, long nowNanos) {
		return this.fleet.preferred(this.self, server.id(), nowNanos);
	}

	private void issue(Incarnation server, LimitRow row, Sharing sharing, long nowNanos) {
		boolean toSelf = !sharing.agreed();
		boolean issues = row.observed.isLimited() && sharing.isKnown()
				&& (toSelf || issuer(server, nowNanos).equals(this.self));
		PermitIssuer issuer = row.issuer(toSelf);
		if (!issues) {
			issuer.stop();
			return;
		}
		settleOwn(row, nowNanos);
		if (toSelf) {
			issuer.issue(ownRate(row, sharing), ownDemand(row, nowNanos), nowNanos);
			issuer.discardAvailable();
		}
		else {
			issuer.issue(groupRate(row, sharing), demands(row, nowNanos), nowNanos);
		}
		row.receivePermits(this.self, row.issuerId(), issuer.permits(this.ownStart), nowNanos);
	}

	private void settleOwn(LimitRow row, long nowNanos) {
		Optional.ofNullable(row.holders().get(row.issuerId())).ifPresent((holder) -> {
			holder.expire(nowNanos);
			row.issuer().settle(this.ownStart, holder.settlement());
		});
	}

	private static Rate groupRate(LimitRow row, Sharing sharing) {
		double perSecond = ratePerSecond(row) * sharing.fraction();
		return new Rate(perSecond, MAX_USABLE_PERMITS + MAX_USABLE_SECONDS * perSecond, 0);
	}

	private Rate ownRate(LimitRow row, Sharing sharing) {
		double perSecond = DISAGREEMENT_FACTOR * ratePerSecond(row) / sharing.members();
		return new Rate(perSecond, 1 + perSecond, this.random.getAsDouble());
	}

	private Map<Integer, Demand> ownDemand(LimitRow row, long nowNanos) {
		return Map.of(this.ownStart, row.ownDemand(nowNanos));
	}

	private Map<Integer, Demand> demands(LimitRow row, long nowNanos) {
		Map<Integer, Demand> demands = new HashMap<>(ownDemand(row, nowNanos));
		row.peerDemands(nowNanos).forEach((start, peer) -> {
			if (this.fleet.isConfirming(peer.gateway(), nowNanos)) {
				demands.put(start, peer.demand());
			}
		});
		return demands;
	}

	/**
	 * Records how many calls wait for a permit for any of some servers.
	 * @param servers the runs of the servers
	 * @param calls the number of calls
	 */
	public void recordWaiting(Collection<Incarnation> servers, int calls) {
		List<LimitRow> limited = servers.stream().flatMap((server) -> limitedRow(server).stream()).toList();
		limited.forEach((row) -> row.recordWaiting(Math.ceilDiv(calls, limited.size())));
	}

	// -- reports

	/**
	 * Issues permits and returns what to report to the other gateways.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the reports, without servers of which there is nothing new
	 */
	public List<LimitReport> toReport(long nowNanos) {
		this.changeUntold = false;
		if (this.rows.isEmpty()) {
			return List.of();
		}
		Sharing sharing = this.fleet.sharing(nowNanos);
		List<LimitReport> reports = new ArrayList<>();
		this.rows.forEach((server, row) -> {
			issue(server, row, sharing, nowNanos);
			row.expireDemands(nowNanos);
			Optional<AgedLimit> limit = isTold(server, row, nowNanos) ? Optional.of(aged(row, nowNanos))
					: Optional.empty();
			Demand demand = row.observed.isLimited() ? row.ownDemand(nowNanos) : Demand.NONE;
			Map<Integer, IssuedPermits> permits = row.issuer().toReport();
			Map<Integer, Settlement> settlements = settlements(row, nowNanos);
			if (limit.isPresent() || !demand.equals(Demand.NONE) || !permits.isEmpty() || !settlements.isEmpty()) {
				reports.add(new LimitReport(server, limit, demand, row.issuerId(), permits, settlements));
			}
		});
		return reports;
	}

	private Map<Integer, Settlement> settlements(LimitRow row, long nowNanos) {
		Map<Integer, Settlement> settlements = new HashMap<>();
		row.holders().forEach((issuer, holder) -> {
			holder.expire(nowNanos);
			if (issuer != row.issuerId() && nowNanos - holder.lastReceivedNanos() < SETTLEMENT_REPORT_NANOS) {
				settlements.put(issuer, holder.settlement());
			}
		});
		return settlements;
	}

	// The issuer repeats a limit that stays the same, for gateways that missed it.
	private boolean isTold(Incarnation server, LimitRow row, long nowNanos) {
		boolean repeated = row.observed.isLimited() && row.isRepeatDue(nowNanos)
				&& issuer(server, nowNanos).equals(this.self);
		if (repeated) {
			row.tell(nowNanos);
		}
		return row.isTold(nowNanos);
	}

	private static AgedLimit aged(LimitRow row, long nowNanos) {
		return new AgedLimit(row.observed.perSecond(),
				TimeUnit.NANOSECONDS.toMillis(nowNanos - row.observed.fromNanos()),
				TimeUnit.NANOSECONDS.toMillis(nowNanos - row.observed.untilNanos()));
	}

	/**
	 * Reports the limits of all servers for which this gateway issues permits again, for
	 * a gateway that has just started.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void gatewayStarted(long nowNanos) {
		this.rows.forEach((server, row) -> {
			if (issuer(server, nowNanos).equals(this.self)) {
				row.tell(nowNanos);
			}
		});
	}

	/**
	 * Returns whether a limit changed here since the last report.
	 * @return true if the other gateways should learn of it soon
	 */
	public boolean isUrgent() {
		return this.changeUntold;
	}

	/**
	 * Processes the report of another gateway.
	 * @param gateway the name of the gateway
	 * @param start the start of the gateway
	 * @param report what it reports of a server
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the change of the limit, empty if it stays the same
	 */
	public Optional<Change> reportReceived(String gateway, int start, LimitReport report, long nowNanos) {
		Incarnation server = report.server();
		Optional<Change> change = report.limit().flatMap((limit) -> received(server, limit, nowNanos));
		limitedRow(server).ifPresent((row) -> {
			row.recordPeerDemand(gateway, start, report.demand(), nowNanos);
			Optional.ofNullable(report.permits().get(this.ownStart))
				.ifPresent((permits) -> row.receivePermits(gateway, report.issuer(), permits, nowNanos));
			Optional.ofNullable(report.settlements().get(row.issuerId()))
				.ifPresent((settlement) -> row.issuer().settle(start, settlement));
		});
		return change;
	}

	// The transit time of the report is unknown, which widens the interval. A limit that
	// returns to the gateway it came from therefore never seems newer.
	private Optional<Change> received(Incarnation server, AgedLimit limit, long nowNanos) {
		ObservedLimit observed = new ObservedLimit(limit.perSecond(),
				nowNanos - TimeUnit.MILLISECONDS.toNanos(limit.fromAgeMillis()) - TRANSIT_NANOS,
				nowNanos - TimeUnit.MILLISECONDS.toNanos(limit.untilAgeMillis()));
		if (row(server).isEmpty() && !observed.isLimited()) {
			return Optional.empty();
		}
		Optional<Change> change = observed(server, observed, nowNanos);
		row(server).filter((row) -> isToldAgain(server, row, limit, change.isPresent(), nowNanos))
			.ifPresent((row) -> row.tell(nowNanos));
		return change;
	}

	// The issuer passes a change on to gateways that have no link to the sender. Whoever
	// knows better than the sender tells it.
	private boolean isToldAgain(Incarnation server, LimitRow row, AgedLimit limit, boolean changed, long nowNanos) {
		boolean contradicted = !row.observed.perSecond().equals(limit.perSecond());
		return changed ? issuer(server, nowNanos).equals(this.self) : contradicted;
	}

	/**
	 * A change of what is known of a server's limit.
	 *
	 * @param server the run of the server
	 * @param before the requests per second before, empty without a limit
	 * @param now the requests per second now, empty without a limit
	 * @param ageNanos the age of the response that stated it, in nanoseconds
	 */
	public record Change(Incarnation server, OptionalDouble before, OptionalDouble now, long ageNanos) {
	}

}
