package org.rosemaryfront.gateway;

import java.util.concurrent.TimeUnit;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.dispatch.BackendTable;
import org.rosemaryfront.dispatch.ServerNotices;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.limits.ServerStatements;
import org.rosemaryfront.limits.StatedBackoff;
import org.rosemaryfront.program.ControlLoop;

/**
 * Processes what servers state about whether they want requests. It is in force on the
 * traffic thread at once, and then in the table of servers.
 */
final class Notices {

	private final ControlLoop loop;

	private final BackendTable servers;

	/** Called on the control thread when a server accepts no more calls. */
	private final Runnable onChange;

	Notices(ControlLoop loop, BackendTable servers, Runnable onChange) {
		this.loop = loop;
		this.servers = servers;
		this.onChange = onChange;
	}

	/**
	 * Processes what a server states in a response. Called on the traffic thread.
	 * @param server the server
	 * @param requestId the request that the server responds to, for the log
	 * @param statements what it states
	 */
	void stated(BackendServer server, String requestId, ServerStatements statements) {
		switch (statements.leaving()) {
			case NOT_STATED -> {
			}
			case LEAVING -> leaving(server, requestId);
			case UNREADABLE -> log(server, requestId, "leaving", "unreadable");
		}
		ServerNotices notices = this.servers.notices();
		switch (statements.backoff()) {
			case StatedBackoff.None _ -> notices.recordResponse(server.incarnation(), System.nanoTime());
			case StatedBackoff.For backoff -> {
				notices.recordBackoff(server.incarnation(),
						System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(backoff.millis()));
				log(server, requestId, "backoffMillis", String.valueOf(backoff.millis()));
			}
			case StatedBackoff.Unreadable unreadable -> log(server, requestId, "backoff", unreadable.text());
		}
	}

	private void leaving(BackendServer server, String requestId) {
		if (this.servers.notices().recordLeaving(server.incarnation())) {
			log(server, requestId, "leaving", "true");
			this.loop.post((_) -> {
				this.servers.recordLeaving(server.incarnation());
				this.onChange.run();
			});
		}
	}

	private static void log(BackendServer server, String requestId, String key, String value) {
		EventLog.info(GatewayEvents.SERVER_STATED, "server", server.id(), "started", server.startedMillis(), "request",
				requestId, key, value);
	}

}
