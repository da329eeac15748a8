package org.rosemaryfront.gateway;

import org.rosemaryfront.events.EventCode;

/** Events about the state a gateway holds and about its duties. */
public enum GatewayEvents implements EventCode {

	/** A configuration came into force. */
	CONFIGURATION_IN_FORCE(2801),

	/** A configuration was rejected. */
	CONFIGURATION_REJECTED(2802),

	/** A backend server registered or changed its registration. */
	SERVER_REGISTERED(2803),

	/** The registration of a backend server was removed. */
	SERVER_LAPSED(2804),

	/** A backend server was dropped and receives no more calls. */
	SERVER_DROPPED(2805),

	/** The registration of a backend server cannot be decoded. */
	SERVER_UNREADABLE(2806),

	/** A registration older than the current one was ignored. */
	SERVER_OUTDATED(2807),

	/** What is known of the rate limit that a backend server states has changed. */
	SERVER_LIMIT_CHANGED(2808),

	/** A backend server stated a rate limit that cannot be decoded. */
	SERVER_LIMIT_UNREADABLE(2809),

	/**
	 * What is known of the rejections per second that a backend server withstands has
	 * changed.
	 */
	REJECTION_LIMIT_CHANGED(2870),

	/** A backend server that withstands only some rejections rejected a request. */
	REQUEST_REJECTED(2871),

	/** The platform's table service does not respond. */
	STORE_LOST(2810),

	/** The platform's table service responds again. */
	STORE_REGAINED(2811),

	/**
	 * A table is read in full, because the store no longer retains the changes since the
	 * last read.
	 */
	TABLE_READ_ANEW(2812),

	/**
	 * A table was read from another gateway, because the store does not respond to this
	 * one.
	 */
	TABLE_FROM_PEER(2814),

	/** Another gateway did not respond to the request for a table. */
	PEER_CALL_FAILED(2815),

	/** Rows of a table arrived from the store, with what else was requested meanwhile. */
	TABLE_FETCHED(2836),

	/**
	 * A table was not confirmed to be current, or lacks changes that another gateway
	 * reported, for longer than expected.
	 */
	TABLE_OVERDUE(2837),

	/** A row with a configuration was decoded. */
	CONFIGURATION_READ(2838),

	/**
	 * The difference to the local copy of a large row that another gateway sent does not
	 * lead to its value; the row is read whole.
	 */
	DIFFERENCE_UNUSABLE(2839),

	/** The role of this gateway in reading the store's tables changed. */
	TABLES_SHARED(2816),

	/**
	 * Changes arrived by another path while the long poll for them at the store was
	 * unanswered; the long poll is abandoned.
	 */
	FEED_LOST(2817),

	/**
	 * A response of the store was older than the local copy, so it does not confirm that
	 * the copy is current.
	 */
	ANSWER_OUTDATED(2818),

	/**
	 * A row that gateways write could not be written, read or decoded. Failed calls are
	 * retried; a row that cannot be decoded is ignored.
	 */
	ROW_CALL_FAILED(2813),

	/**
	 * The platform's table service came back from a copy; what was written since that
	 * copy is lost.
	 */
	STORE_RESTORED(2819),

	/**
	 * The calls of this gateway to the platform since the last such event, by kind and
	 * outcome.
	 */
	PLATFORM_CALLS(2834),

	/** This process holds the duties. */
	DUTIES_TAKEN(2820),

	/** This process no longer holds the duties. */
	DUTIES_LOST(2821),

	/** The usage of a window was reported. */
	USAGE_REPORTED(2822),

	/** The usage of a window could not be reported; the report is retried. */
	USAGE_NOT_REPORTED(2823),

	/** The usage report of a window was abandoned. */
	USAGE_GIVEN_UP(2824),

	/** The size of a service in an availability zone was ordered. */
	SIZE_ORDERED(2825),

	/** The order for the size of a service failed. */
	SIZE_NOT_ORDERED(2826),

	/**
	 * Counts of a window were taken from reports of other gateways, because their rows
	 * are missing in the store.
	 */
	USAGE_FROM_PEERS(2827),

	/**
	 * The sum of a window's usage is in the store: this process added it up or found it
	 * there.
	 */
	USAGE_SUM_STORED(2828),

	/**
	 * Rows that this process had written are written again, because the platform's table
	 * service came back from a copy.
	 */
	ROWS_WRITTEN_AGAIN(2829),

	/**
	 * A report of another gateway was received for the first time, or again after a
	 * timeout.
	 */
	PEER_HEARD(2830),

	/** No report of another gateway was received within the timeout. */
	PEER_SILENT(2831),

	/** A datagram cannot be decoded. */
	DATAGRAM_UNREADABLE(2832),

	/** The group of gateways that share the quotas changed. */
	QUOTA_SHARING(2833),

	/** The list of organisations that may use a large burst was written. */
	QUOTA_BURSTS_WRITTEN(2835),

	/** A roll-out of another version of a service's servers was ordered. */
	ROLLOUT_ORDERED(2860),

	/** A roll-out entered another phase. */
	ROLLOUT_PHASE(2861),

	/** An order for a roll-out cannot be decoded. */
	ROLLOUT_UNREADABLE(2862),

	/** An order for a roll-out was withdrawn. */
	ROLLOUT_WITHDRAWN(2863),

	/** The state of a roll-out was written for the operator. */
	ROLLOUT_STATE_WRITTEN(2864),

	/** A backend server crashed while it was handling a request. */
	CRASHED_UNDER_REQUEST(2850),

	/** A crash is no longer attributed to a request. */
	CRASH_CLEARED(2851),

	/** A request was quarantined, because servers crashed while handling it. */
	REQUEST_HELD_BACK(2852),

	/** A request was released from quarantine. */
	REQUEST_RELEASED(2853),

	/** A quarantined request was scheduled for a single probe execution. */
	REQUEST_ON_TRIAL(2854),

	/**
	 * Whether a backend server crashed is not known: this gateway may have lost its
	 * links, and no other one could be asked.
	 */
	LIVENESS_UNKNOWN(2855),

	/**
	 * The connection of a call broke while a server had it: the call, the segments of its
	 * prompt, and whether this counts as evidence of a crash.
	 */
	CALL_CUT_OFF(2856),

	/**
	 * Calls with these segments in their prompts are not sent any more, since servers
	 * crashed under them; several segments only where a prompt has them all.
	 */
	SEGMENTS_HELD_BACK(2857),

	/** Calls with these segments in their prompts are sent again. */
	SEGMENTS_RELEASED(2858),

	/**
	 * A backend server stated that it is leaving, or that it wants no requests for a
	 * while.
	 */
	SERVER_STATED(2872),

	/** The lasting speed of a backend server was learned or changed by a quarter. */
	SERVER_SPEED_CHANGED(2873),

	/** A gateway reported response times that no server can have. */
	SPEED_REPORT_INVALID(2874),

	/**
	 * What became of moving a run from a server that leaves: not copied, abandoned, or
	 * continued at another server.
	 */
	RUN_MOVE(2880),

	/** This process was paused or its VM was suspended. */
	PAUSED(2840);

	private final int number;

	GatewayEvents(int number) {
		this.number = number;
	}

	@Override
	public int number() {
		return this.number;
	}

}
