package org.rosemaryfront.entry;

import org.rosemaryfront.events.EventCode;

/** Events of serving callers' requests. */
public enum ServingEvents implements EventCode {

	/** A caller's request passed authentication and validation. */
	REQUEST_ACCEPTED(2001),

	/** A request was sent to a backend server; the reason says why there. */
	REQUEST_DISPATCHED(2002),

	/** A request got its final answer that it failed. */
	REQUEST_REFUSED(2003),

	/** The answer to a request is whole. */
	REQUEST_FINISHED(2004),

	/** The caller went away and did not come back within the grace time. */
	REQUEST_ABANDONED(2005),

	/** An attempt was cancelled at its backend server. */
	ATTEMPT_CANCELLED(2010),

	/** A backend server refused an attempt before running it. */
	ATTEMPT_REFUSED(2011),

	/** The connection of an attempt broke off or went silent. */
	ATTEMPT_BROKEN(2012),

	/** The KV cache of a stream could not be moved; the request is replayed. */
	CACHE_MOVE_FAILED(2013),

	/** An event of an earlier or foreign attempt was dropped. */
	LATE_ANSWER_DROPPED(2014),

	/** The traffic threads could not carry out a command. */
	COMMAND_FAILED(2015),

	/** A backend server is leaving; it gets no new work. */
	SERVER_LEAVING(2020),

	/** A backend server vanished from the VM list. */
	SERVER_GONE(2021),

	/** A poll of the platform or of a backend server failed; it is repeated. */
	POLL_FAILED(2022),

	/** The VM of this process is being reclaimed. */
	OWN_RECLAIM(2023),

	/** A caller took nothing from its stream for too long and was disconnected. */
	CALLER_STALLED(2030),

	/** A request to the callers' listener failed through a defect. */
	CALLER_REQUEST_FAILED(2031),

	/** The process stops: readiness is off, the listener still accepts. */
	STOP_STARTED(2040),

	/** New requests are refused and open ones finish. */
	STOP_DRAINING(2041),

	/** The process handed over or finished all that it had. */
	STOP_DRAINED(2042),

	/** A request was handed over to a peer. */
	REQUEST_HANDED_OVER(2043),

	/** A peer refused a hand-off or did not answer; the next peer is tried. */
	HANDOVER_REFUSED(2044),

	/** No peer took a request over. */
	HANDOVER_FAILED(2045),

	/** A request of a leaving peer was taken over. */
	REQUEST_ADOPTED(2046),

	/** Broken invariant: a token came out of order. */
	TOKEN_OUT_OF_ORDER(9201),

	/** Broken invariant: an engine called an answer whole that lacks tokens. */
	ANSWER_NOT_WHOLE(9202),

	/** Broken invariant: a request was refused as not run although tokens exist. */
	NOT_RUN_ALTHOUGH_RAN(9203),

	/**
	 * The serving decisions broke one of their own invariants; a defect of the program.
	 */
	DECISION_INVARIANT_BROKEN(9204);

	private final int number;

	ServingEvents(int number) {
		this.number = number;
	}

	@Override
	public int number() {
		return this.number;
	}

}
