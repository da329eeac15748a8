package org.rosemaryfront.gateway;

import java.util.OptionalLong;

import org.rosemaryfront.crashes.RequestDigest;
import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.dispatch.Dispatcher.Choice;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.ports.CallMetadata.Prompt;
import org.rosemaryfront.routes.Organisation;
import org.rosemaryfront.tables.Freshness;
import org.rosemaryfront.traffic.Call;
import org.rosemaryfront.traffic.TrafficEvents;

/**
 * Logs the servers that calls are sent to, with the basis of each choice.
 *
 * @param limits the limits of the servers
 * @param servers when the server table was last confirmed current
 */
record DispatchLog(CallLimits limits, Freshness servers) {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/**
	 * Logs that a call is sent.
	 * @param call the call
	 * @param progress what was decided about the call
	 * @param chosen the server, and why it was chosen
	 * @param serversVersion the version of the server table
	 * @param serversUpdatedNanos when the server table was last updated
	 * @param configurationVersion the version of the configuration
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void sent(Call call, CallProgress progress, Choice.Chosen chosen, String serversVersion, long serversUpdatedNanos,
			long configurationVersion, long nowNanos) {
		BackendServer server = chosen.server();
		EventLog.info(TrafficEvents.CALL_DISPATCHED, "request", call.id(), "digest",
				call.digest().map(RequestDigest::toString).orElse("none"), "route", call.route().name(), "organisation",
				call.organisation().map(Organisation::name).orElse("none"), "units", Math.round(progress.units()),
				"quota", progress.quotaUsage(), "gateways", progress.sharingGateways(), "parts",
				call.metadata().prompt().map(Prompt::segmentList).orElse("none"), "targetMillis",
				call.route().targetMillis(), "gapTargetMillis",
				call.route().targetGapMillis().stream().mapToObj(Long::toString).findAny().orElse("none"), "server",
				server.id(), "zone", server.zone(), "load", chosen.load(), "unreadTokens", chosen.uncachedTokens(),
				"fetchFrom", chosen.transferSource().map(BackendServer::id).orElse("none"), "expectedMillis",
				chosen.expectedMillis(), "candidates", chosen.candidates(), "version", server.version(), "serverLimit",
				this.limits.limit(server), "serverLimitAgeMillis", this.limits.ageMillis(server, nowNanos),
				"passedOver", chosen.passedOver().orElse("none"), "serversVersion", serversVersion, "serversAgeMillis",
				(nowNanos - serversUpdatedNanos) / NANOS_PER_MILLI, "serversProvenMillis",
				serversConfirmedMillis(nowNanos), "serversProvenBy", this.servers.source(), "configuration",
				configurationVersion, "waitedMillis", (nowNanos - call.receivedNanos()) / NANOS_PER_MILLI,
				"remainingMillis", call.remainingMillis(nowNanos));
	}

	private String serversConfirmedMillis(long nowNanos) {
		OptionalLong age = this.servers.ageNanos(nowNanos);
		return age.isPresent() ? String.valueOf(age.getAsLong() / NANOS_PER_MILLI) : "never";
	}

}
