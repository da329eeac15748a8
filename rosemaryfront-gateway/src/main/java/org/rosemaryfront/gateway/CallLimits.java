package org.rosemaryfront.gateway;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.dispatch.BackendServer.Incarnation;
import org.rosemaryfront.dispatch.Dispatcher.Permits;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.limits.LimitReport;
import org.rosemaryfront.limits.PermitQueue;
import org.rosemaryfront.limits.ServerLimits;
import org.rosemaryfront.limits.ServerLimits.Change;
import org.rosemaryfront.limits.StatedLimit;
import org.rosemaryfront.program.ControlLoop;
import org.rosemaryfront.traffic.Call;
import org.rosemaryfront.traffic.TrafficEvents;
import org.rosemaryfront.traffic.TrafficMetrics;

/**
 * Keeps calls within the limits that backend servers state in their responses. Confined
 * to the control thread, except where noted.
 */
final class CallLimits {

	/**
	 * The minimum Retry-After of a call without a permit, in milliseconds: by then the
	 * issuer knows of its demand and has reported a permit.
	 */
	private static final long MIN_RETRY_MILLIS = 600;

	private static final long MAX_RETRY_MILLIS = 10_000;

	private static final int MAX_DESCRIBED_SERVERS = 8;

	private final ServerLimits limits;

	private final ControlLoop loop;

	private final TrafficMetrics metrics;

	/** The servers that have a limit; read on the traffic thread. */
	private volatile Set<Incarnation> limitedServers = Set.of();

	/** The calls that wait for a permit, by service. */
	private final Map<String, PermitQueue<Call>> queues = new HashMap<>();

	/** The number of waiting calls last reported, by service. */
	private final Map<String, Integer> reportedWaiting = new ConcurrentHashMap<>();

	/** When the last refused caller of each service was told to retry. */
	private final Map<String, Long> retryNanos = new HashMap<>();

	CallLimits(ServerLimits limits, ControlLoop loop, TrafficMetrics metrics) {
		this.limits = limits;
		this.loop = loop;
		this.metrics = metrics;
	}

	// -- statements of servers

	/**
	 * Processes what a server states in a response. Called on the traffic thread.
	 * @param server the server
	 * @param requestId the request that the server responds to, for the log
	 * @param stated the stated limit
	 * @param sentNanos when the request was sent, on the monotonic clock
	 */
	void stated(BackendServer server, String requestId, StatedLimit stated, long sentNanos) {
		boolean unlimited = stated instanceof StatedLimit.None && !this.limitedServers.contains(server.incarnation());
		if (unlimited) {
			return;
		}
		long receivedNanos = System.nanoTime();
		this.loop.post((_) -> stated(server.incarnation(), requestId, stated, sentNanos, receivedNanos));
	}

	private void stated(Incarnation server, String requestId, StatedLimit stated, long sentNanos, long receivedNanos) {
		if (stated instanceof StatedLimit.Unreadable unreadable) {
			this.metrics.increment("servers.limits.unreadable");
			EventLog.warn(GatewayEvents.SERVER_LIMIT_UNREADABLE, "server", server.id(), "request", requestId, "value",
					unreadable.text());
		}
		this.limits.stated(server, stated, sentNanos, receivedNanos)
			.ifPresent((change) -> changed(change, "request " + requestId));
	}

	private void changed(Change change, String from) {
		this.limitedServers = this.limits.limitedServers();
		EventLog.info(GatewayEvents.SERVER_LIMIT_CHANGED, "server", change.server().id(), "started",
				change.server().startedMillis(), "before", text(change.before()), "perSecond", text(change.now()),
				"from", from, "ageMillis", TimeUnit.NANOSECONDS.toMillis(change.ageNanos()));
	}

	/**
	 * Forgets the limits of servers that were removed or restarted.
	 * @param current the runs of the current servers
	 */
	void retain(Set<Incarnation> current) {
		this.limits.retain(current);
		this.limitedServers = this.limits.limitedServers();
	}

	// -- reports

	/**
	 * Issues permits and returns what to report to the other gateways.
	 * @param now the current time on the monotonic clock, in nanoseconds
	 * @return the reports by server
	 */
	List<LimitReport> toReport(long now) {
		return this.limits.toReport(now);
	}

	/**
	 * Processes what another gateway reports.
	 * @param gateway the name of the gateway
	 * @param start the start of the gateway
	 * @param reports the reports by server
	 * @param now the current time on the monotonic clock, in nanoseconds
	 */
	void receive(String gateway, int start, List<LimitReport> reports, long now) {
		reports.forEach((report) -> this.limits.reportReceived(gateway, start, report, now)
			.ifPresent((change) -> changed(change, "report of " + gateway)));
	}

	/**
	 * Reports limits again, for a gateway that has just started.
	 * @param now the current time on the monotonic clock, in nanoseconds
	 */
	void gatewayStarted(long now) {
		this.limits.gatewayStarted(now);
	}

	/**
	 * Returns whether the other gateways should learn of a change soon.
	 * @return true until the next report
	 */
	boolean isUrgent() {
		return this.limits.isUrgent();
	}

	// -- calls

	/**
	 * Returns the permits for requests to servers that have a limit.
	 * @return the permits
	 */
	Permits permits() {
		return this.limits;
	}

	/**
	 * Makes a call wait for a permit if it can expect one while that is of use.
	 * @param call the call
	 * @param servers the servers of its service
	 * @param usefulMillis how long a permit is of use, in milliseconds
	 * @param now the current time on the monotonic clock, in nanoseconds
	 * @return whether the call waits now
	 */
	boolean await(Call call, Collection<BackendServer> servers, long usefulMillis, long now) {
		boolean waits = this.queues.computeIfAbsent(call.service(), (_) -> PermitQueue.empty())
			.offer(call, call.priority(), now + TimeUnit.MILLISECONDS.toNanos(usefulMillis), expectedRate(servers, now),
					now);
		if (waits) {
			this.metrics.increment("calls.limited.waiting");
			EventLog.info(TrafficEvents.CALL_WAITING, "request", call.id(), "service", call.service(), "usefulMillis",
					usefulMillis, "limits", describe(servers, now));
		}
		return waits;
	}

	/**
	 * Returns the services with waiting calls, and those that were last reported to have
	 * some.
	 * @return the names
	 */
	Set<String> servicesWithWaitingCalls() {
		return this.queues.keySet()
			.stream()
			.filter((service) -> queue(service).size() > 0 || this.reportedWaiting.getOrDefault(service, 0) > 0)
			.collect(Collectors.toSet());
	}

	PermitQueue<Call> queue(String service) {
		return this.queues.getOrDefault(service, PermitQueue.empty());
	}

	/**
	 * Records how many calls of a service wait, to be reported to the issuers.
	 * @param service the service
	 * @param servers its servers
	 */
	void recordWaiting(String service, Collection<BackendServer> servers) {
		int waiting = queue(service).size();
		this.limits.recordWaiting(incarnations(servers), waiting);
		this.reportedWaiting.put(service, waiting);
	}

	/**
	 * Returns the number of waiting calls that is reported to the issuers, on any thread.
	 * @return the number
	 */
	int reportedWaiting() {
		return this.reportedWaiting.values().stream().mapToInt(Integer::intValue).sum();
	}

	boolean isAnyAvailable(Collection<BackendServer> servers, long now) {
		return servers.stream()
			.anyMatch((server) -> !server.leaving() && this.limits.isAvailable(server.incarnation(), now));
	}

	private double expectedRate(Collection<BackendServer> servers, long now) {
		return this.limits.expectedRate(incarnations(servers), now);
	}

	private static List<Incarnation> incarnations(Collection<BackendServer> servers) {
		return servers.stream().map(BackendServer::incarnation).toList();
	}

	/**
	 * Returns when to retry a call that got no permit for any server. Each refused caller
	 * is told another time, at the rate at which this gateway can expect permits.
	 * @param service the service
	 * @param servers the servers of the service
	 * @param now the current time on the monotonic clock, in nanoseconds
	 * @return the time in milliseconds
	 */
	long retryMillis(String service, Collection<BackendServer> servers, long now) {
		double perSecond = expectedRate(servers, now);
		long intervalNanos = (long) (TimeUnit.SECONDS.toNanos(1) / Math.max(perSecond, 1_000.0 / MAX_RETRY_MILLIS));
		long afterPreviousNanos = this.retryNanos.getOrDefault(service, now) + intervalNanos - now;
		long retryNanos = Math.clamp(afterPreviousNanos, TimeUnit.MILLISECONDS.toNanos(MIN_RETRY_MILLIS),
				TimeUnit.MILLISECONDS.toNanos(MAX_RETRY_MILLIS));
		this.retryNanos.put(service, now + retryNanos);
		return TimeUnit.NANOSECONDS.toMillis(retryNanos);
	}

	/**
	 * Describes the limits of the servers of a service, for the log.
	 * @param servers the servers
	 * @param now the current time on the monotonic clock, in nanoseconds
	 * @return for each server its limit, the age of that statement, the permits of this
	 * gateway and their issuer
	 */
	String describe(Collection<BackendServer> servers, long now) {
		List<String> parts = servers.stream()
			.filter((server) -> this.limits.limit(server.incarnation()).isPresent())
			.limit(MAX_DESCRIBED_SERVERS)
			.map((server) -> String.format(Locale.ROOT, "%s %s/s %s ms ago, %d permits of %s", server.id(),
					limit(server), ageMillis(server, now), this.limits.permitCount(server.incarnation()),
					this.limits.issuer(server.incarnation(), now)))
			.toList();
		return String.join("; ", parts);
	}

	/** Counts a call that went to another server for lack of a permit. */
	void passedOver() {
		this.metrics.increment("calls.limited.elsewhere");
	}

	/** Counts a call that got no permit for any server. */
	void refused() {
		this.metrics.increment("calls.limited.refused");
	}

	/**
	 * Returns the number of servers that have a limit, on any thread.
	 * @return the number
	 */
	int limitedCount() {
		return this.limitedServers.size();
	}

	boolean hasLimit(BackendServer server) {
		return this.limitedServers.contains(server.incarnation());
	}

	/**
	 * Returns the limit of a server, for the log.
	 * @param server the server
	 * @return the requests per second, or none
	 */
	String limit(BackendServer server) {
		return text(this.limits.limit(server.incarnation()));
	}

	/**
	 * Returns the age of what is known of a server's limit, for the log.
	 * @param server the server
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the age in milliseconds, or never
	 */
	String ageMillis(BackendServer server, long nowNanos) {
		OptionalLong age = this.limits.ageNanos(server.incarnation(), nowNanos);
		return age.isPresent() ? String.valueOf(TimeUnit.NANOSECONDS.toMillis(age.getAsLong())) : "never";
	}

	private static String text(OptionalDouble limit) {
		return limit.isPresent() ? String.valueOf(limit.getAsDouble()) : "none";
	}

}
