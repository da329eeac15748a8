package org.rosemaryfront.gateway;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.dispatch.BackendTable;
import org.rosemaryfront.dispatch.NoticeReports;
import org.rosemaryfront.dispatch.NoticeReports.Notice;
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

	private final NoticeReports reports = new NoticeReports();

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
			case UNREADABLE -> log(server, "request " + requestId, "leaving", "unreadable");
		}
		ServerNotices notices = this.servers.notices();
		switch (statements.backoff()) {
			case StatedBackoff.None _ -> notices.recordResponse(server.incarnation(), System.nanoTime());
			case StatedBackoff.For backoff -> {
				long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(backoff.millis());
				notices.recordBackoff(server.incarnation(), end);
				log(server, "request " + requestId, "backoffMillis", String.valueOf(backoff.millis()));
				this.loop
					.post((_) -> this.reports.add(server.incarnation(), notices.isLeaving(server.incarnation()), end));
			}
			case StatedBackoff.Unreadable unreadable ->
				log(server, "request " + requestId, "backoff", unreadable.text());
		}
	}

	private void leaving(BackendServer server, String requestId) {
		if (this.servers.notices().recordLeaving(server.incarnation())) {
			log(server, "request " + requestId, "leaving", "true");
			this.loop.post((nowNanos) -> {
				this.servers.recordLeaving(server.incarnation());
				this.reports.add(server.incarnation(), true, nowNanos);
				this.onChange.run();
			});
		}
	}

	/**
	 * Returns what the next report tells other gateways.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the notices
	 */
	List<Notice> toReport(long nowNanos) {
		return this.reports.take(nowNanos);
	}

	/**
	 * Processes what another gateway reports.
	 * @param gateway the other gateway, for the log
	 * @param notice what a server said to it
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void receive(String gateway, Notice notice, long nowNanos) {
		ServerNotices notices = this.servers.notices();
		Optional<BackendServer> known = this.servers.find(notice.server().id())
			.filter((server) -> server.incarnation().equals(notice.server()));
		if (known.isEmpty()) {
			return;
		}
		if (notice.leaving() && notices.recordLeaving(notice.server())) {
			log(known.get(), "report of " + gateway, "leaving", "true");
			this.servers.recordLeaving(notice.server());
			this.onChange.run();
		}
		if (notice.backoffNanos() > 0) {
			notices.recordOtherBackoff(notice.server(), nowNanos, notice.backoffNanos(),
					ThreadLocalRandom.current().nextDouble());
		}
	}

	private static void log(BackendServer server, String from, String key, String value) {
		EventLog.info(GatewayEvents.SERVER_STATED, "server", server.id(), "started", server.startedMillis(), key, value,
				"from", from);
	}

}
