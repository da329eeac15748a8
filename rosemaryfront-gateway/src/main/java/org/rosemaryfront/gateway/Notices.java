package org.rosemaryfront.gateway;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.limits.ServerStatements;
import org.rosemaryfront.limits.StatedLeaving;
import org.rosemaryfront.limits.StatedRest;

/** Processes what servers state about whether they want requests. */
final class Notices {

	/**
	 * Processes what a server states in a response. Called on the traffic thread.
	 * @param server the server
	 * @param requestId the request that the server responds to, for the log
	 * @param statements what it states
	 */
	void stated(BackendServer server, String requestId, ServerStatements statements) {
		if (statements.leaving() != StatedLeaving.NOT_STATED) {
			log(server, requestId, "leaving", String.valueOf(statements.leaving()));
		}
		switch (statements.rest()) {
			case StatedRest.None _ -> {
			}
			case StatedRest.For rest -> log(server, requestId, "restMillis", String.valueOf(rest.millis()));
			case StatedRest.Unreadable unreadable -> log(server, requestId, "rest", unreadable.text());
		}
	}

	private static void log(BackendServer server, String requestId, String key, String value) {
		EventLog.info(GatewayEvents.SERVER_STATED, "server", server.id(), "started", server.startedMillis(), "request",
				requestId, key, value);
	}

}
