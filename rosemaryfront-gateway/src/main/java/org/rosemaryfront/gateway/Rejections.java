package org.rosemaryfront.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.dispatch.BackendServer.Incarnation;
import org.rosemaryfront.dispatch.BackendTable;
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

	/** The limits that servers stated last; used on the traffic thread. */
	private final Map<Incarnation, Double> stated = new HashMap<>();

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
				Double before = this.stated.put(server.incarnation(), limit.requests());
				if (before == null || before != limit.requests()) {
					this.loop
						.post((_) -> changed(server.incarnation(), requestId, OptionalDouble.of(limit.requests())));
				}
			}
			case StatedLimit.None _ -> {
				if (this.stated.remove(server.incarnation()) != null) {
					this.loop.post((_) -> changed(server.incarnation(), requestId, OptionalDouble.empty()));
				}
			}
			case StatedLimit.Unreadable unreadable -> EventLog.warn(GatewayEvents.SERVER_LIMIT_UNREADABLE, "server",
					server.id(), "request", requestId, "value", unreadable.text());
			case StatedLimit.Unknown _ -> {
			}
		}
	}

	private void changed(Incarnation server, String requestId, OptionalDouble perSecond) {
		if (this.servers.recordRejectionLimit(server, perSecond)) {
			EventLog.info(GatewayEvents.REJECTION_LIMIT_CHANGED, "server", server.id(), "started",
					server.startedMillis(), "perSecond",
					perSecond.isPresent() ? String.valueOf(perSecond.getAsDouble()) : "none", "from",
					"request " + requestId);
		}
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
