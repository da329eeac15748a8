package org.rosemaryfront.gateway;

import java.util.Map;
import java.util.OptionalDouble;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.dispatch.BackendServer.Incarnation;
import org.rosemaryfront.dispatch.BackendTable;
import org.rosemaryfront.dispatch.RejectionUse;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.limits.StatedLimit;
import org.rosemaryfront.program.ControlLoop;
import org.rosemaryfront.traffic.CallPolicy.Failure;

/**
 * Records what servers state about the rejections that they withstand, and their
 * rejections. Confined to the control thread, except where stated.
 */
final class Rejections {

	private final ControlLoop loop;

	private final BackendTable servers;

	/** The limits that are known; read on the traffic thread. */
	private volatile Map<Incarnation, Double> limits = Map.of();

	/**
	 * Whether other gateways should learn of a rejection before the next report is due.
	 */
	private boolean urgent;

	Rejections(ControlLoop loop, BackendTable servers) {
		this.loop = loop;
		this.servers = servers;
	}

	/**
	 * Processes what a server states in a response. Called on the traffic thread.
	 * @param server the server
	 * @param requestId the request that the server responds to, for the log
	 * @param statement what it states
	 */
	void stated(BackendServer server, String requestId, StatedLimit statement) {
		switch (statement) {
			case StatedLimit.PerSecond limit -> {
				if (!Double.valueOf(limit.requests()).equals(this.limits.get(server.incarnation()))) {
					this.loop.post((_) -> stated(server.incarnation(), requestId, OptionalDouble.of(limit.requests())));
				}
			}
			case StatedLimit.None _ -> {
				if (this.limits.containsKey(server.incarnation())) {
					this.loop.post((_) -> stated(server.incarnation(), requestId, OptionalDouble.empty()));
				}
			}
			case StatedLimit.Unreadable unreadable -> EventLog.warn(GatewayEvents.SERVER_LIMIT_UNREADABLE, "server",
					server.id(), "request", requestId, "value", unreadable.text());
			case StatedLimit.Unknown _ -> {
			}
		}
	}

	private void stated(Incarnation server, String requestId, OptionalDouble perSecond) {
		if (this.servers.recordRejectionLimit(server, perSecond)) {
			changed(server, perSecond.isPresent() ? String.valueOf(perSecond.getAsDouble()) : "none",
					"request " + requestId);
		}
	}

	/**
	 * Processes what another process reports.
	 * @param process the other process
	 * @param server the run of the server
	 * @param reported what it reports
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void receive(String process, Incarnation server, RejectionUse reported, long nowNanos) {
		if (this.servers.recordPeerRejections(process, server, reported, nowNanos)) {
			changed(server, String.valueOf(reported.limit()), "report of " + process);
		}
	}

	private void changed(Incarnation server, String perSecond, String from) {
		this.limits = this.servers.rejectionLimits();
		EventLog.info(GatewayEvents.REJECTION_LIMIT_CHANGED, "server", server.id(), "started", server.startedMillis(),
				"perSecond", perSecond, "from", from);
	}

	/**
	 * Processes a failed attempt.
	 * @param requestId the request, for the log
	 * @param server the server
	 * @param failure the failure
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void failed(String requestId, BackendServer server, Failure failure, long nowNanos) {
		if (failure.isRejection() && this.servers.recordRejection(server.incarnation(), nowNanos)) {
			this.urgent = true;
			EventLog.info(GatewayEvents.REQUEST_REJECTED, "request", requestId, "server", server.id(), "started",
					server.startedMillis(), "calls", this.servers.callsAt(server::equals), "slots", server.slots());
		}
	}

	/**
	 * Returns whether other gateways should learn of a rejection soon, and forgets it.
	 * @return true after a rejection
	 */
	boolean takeUrgent() {
		boolean taken = this.urgent;
		this.urgent = false;
		return taken;
	}

}
