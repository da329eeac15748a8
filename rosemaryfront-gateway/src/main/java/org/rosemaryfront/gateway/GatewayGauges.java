package org.rosemaryfront.gateway;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.rosemaryfront.admission.Admission;
import org.rosemaryfront.admission.AdmissionDecision.Reason;
import org.rosemaryfront.dispatch.BackendTable;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.program.ControlLoop;
import org.rosemaryfront.traffic.TrafficMetrics;

/**
 * The parts of a gateway whose state its gauges show.
 *
 * @param control the control thread
 * @param servers the backend servers
 * @param admission decides on calls while there is less room than is asked for
 * @param configurationTable the local copy of the configuration's table
 * @param serversTable the local copy of the servers' table
 * @param crashes the requests and segments under which servers crashed
 * @param limits the rate limits of servers
 * @param store the generations of the store
 */
record GatewayGauges(ControlLoop control, BackendTable servers, Admission admission, TableReplica configurationTable,
		TableReplica serversTable, CrashRecords crashes, CallLimits limits, StoreGenerations store) {

	/**
	 * Registers the gauges.
	 * @param metrics the metrics of the gateway
	 */
	void register(TrafficMetrics metrics) {
		metrics.gauge("log.dropped", EventLog::dropped);
		metrics.gauge("control.lag.millis", () -> TimeUnit.NANOSECONDS.toMillis(this.control.lagNanos()));
		metrics.gauge("servers.proven.millis", () -> confirmationAgeMillis(this.serversTable));
		metrics.gauge("configuration.proven.millis", () -> confirmationAgeMillis(this.configurationTable));
		metrics.gauge("requests.held", this.crashes::quarantinedCount);
		metrics.gauge("segments.held", this.crashes::heldSegmentsCount);
		metrics.gauge("servers.limited", this.limits::limitedCount);
		metrics.gauge("servers.backoff", () -> this.servers.notices().backoffCount(System.nanoTime()));
		metrics.gauge("servers.stated.leaving", () -> this.servers.notices().leavingCount());
		metrics.gauge("speeds.invalid", this.servers::invalidSpeeds);
		for (Reason reason : Reason.values()) {
			metrics.gauge("admission.refused." + reason, () -> this.admission.refusals(reason));
		}
		metrics.gauge("calls.waiting", this.limits::reportedWaiting);
		metrics.gauge("store.generation", this.store::newest);
	}

	private static long confirmationAgeMillis(TableReplica table) {
		OptionalLong age = table.freshness().ageNanos(System.nanoTime());
		return age.isPresent() ? TimeUnit.NANOSECONDS.toMillis(age.getAsLong()) : -1;
	}

}
