package org.rosemaryfront.gateway;

import org.rosemaryfront.crashes.CrashSuspect;
import org.rosemaryfront.crashes.Evidence;
import org.rosemaryfront.crashes.PromptSegment;
import org.rosemaryfront.crashes.RequestDigest;
import org.rosemaryfront.crashes.SegmentQuarantine.Hold;
import org.rosemaryfront.crashes.SegmentSuspect;
import org.rosemaryfront.dispatch.BackendServer.Incarnation;
import org.rosemaryfront.events.EventLog;

/** Log lines about crashes of servers, and how they name what may have caused them. */
final class CrashLog {

	private CrashLog() {
	}

	/**
	 * Logs that a crash counts against a suspect.
	 * @param evidence the crash
	 * @param crashes the crashes that count against the suspect now
	 * @param from the observation, or where it was received from
	 */
	static void confirmed(Evidence evidence, int crashes, String from) {
		CrashSuspect suspect = evidence.crash().suspect();
		Incarnation server = evidence.crash().server();
		EventLog.info(GatewayEvents.CRASHED_UNDER_REQUEST, "digest", digest(suspect), "segment", segment(suspect),
				"request", evidence.request(), "server", server.id(), "started", server.startedMillis(), "crashes",
				crashes, "from", from, "ageMillis", System.currentTimeMillis() - evidence.atMillis());
	}

	/**
	 * Logs that a crash does not count against a suspect any more.
	 * @param evidence the crash
	 * @param crashes the crashes that count against the suspect now
	 * @param cause why it was cleared
	 */
	static void cleared(Evidence evidence, int crashes, String cause) {
		CrashSuspect suspect = evidence.crash().suspect();
		Incarnation server = evidence.crash().server();
		EventLog.info(GatewayEvents.CRASH_CLEARED, "digest", digest(suspect), "segment", segment(suspect), "server",
				server.id(), "started", server.startedMillis(), "cause", cause, "crashes", crashes);
	}

	/**
	 * Logs that segments were quarantined or released.
	 * @param event which of both
	 * @param hold the segments
	 */
	static void hold(GatewayEvents event, Hold hold) {
		EventLog.info(event, "segments", hold.segments().stream().map(PromptSegment::id).toList(), "digests",
				hold.segments().stream().map(PromptSegment::digest).toList(), "crashes", hold.crashes(), "servers",
				hold.servers().stream().map(Incarnation::id).toList());
	}

	/**
	 * Returns the digest by which operators name a suspect.
	 * @param suspect the suspect
	 * @return the digest of the request or the segment
	 */
	static String digest(CrashSuspect suspect) {
		return switch (suspect) {
			case RequestDigest request -> request.toString();
			case SegmentSuspect segment -> segment.segment().digest().toString();
		};
	}

	/**
	 * Returns the segment that is suspected, if any.
	 * @param suspect the suspect
	 * @return the identifier of the segment and the version of the servers, or
	 * {@code none} for a request
	 */
	static String segment(CrashSuspect suspect) {
		return switch (suspect) {
			case RequestDigest _ -> "none";
			case SegmentSuspect segment -> segment.segment().id() + '@' + segment.version();
		};
	}

}
