package org.rosemaryfront.gateway;

import org.rosemaryfront.events.EventCode;

/** Events of what a gateway believes and of its duties. */
public enum GatewayEvents implements EventCode {

	/** A configuration came into force. */
	CONFIGURATION_IN_FORCE(2801),

	/** A configuration was not taken. */
	CONFIGURATION_REJECTED(2802),

	/** A backend server registered itself or changed its registration. */
	SERVER_REGISTERED(2803),

	/** The registration of a backend server ended. */
	SERVER_LAPSED(2804),

	/** A backend server gets no more calls. */
	SERVER_DROPPED(2805),

	/** The registration of a backend server cannot be read. */
	SERVER_UNREADABLE(2806),

	/** A registration that is older than the one known was passed over. */
	SERVER_OUTDATED(2807),

	/** The platform's table service does not answer. */
	STORE_LOST(2810),

	/** The platform's table service answers again. */
	STORE_REGAINED(2811),

	/** A table is read as a whole, since its changes are no longer kept. */
	TABLE_READ_ANEW(2812),

	/** A table came from another gateway, since the store does not answer here. */
	TABLE_FROM_PEER(2814),

	/** Another gateway did not answer the question for a table. */
	PEER_CALL_FAILED(2815),

	/** Who reads the tables of the store for this gateway changed. */
	TABLES_SHARED(2816),

	/** Changes came by another way than the question that waits for them at the store. */
	FEED_LOST(2817),

	/** An answer of the store was older than what is known, and proves nothing. */
	ANSWER_OUTDATED(2818),

	/** A row of our own could not be written or read; it is tried again. */
	ROW_CALL_FAILED(2813),

	/** This process holds the duties. */
	DUTIES_TAKEN(2820),

	/** This process no longer holds the duties. */
	DUTIES_LOST(2821),

	/** The use of a window was reported. */
	USAGE_REPORTED(2822),

	/** The use of a window could not be reported; it is tried again. */
	USAGE_NOT_REPORTED(2823),

	/** The time for a report of a window is over. */
	USAGE_GIVEN_UP(2824),

	/** The size of a service in an availability zone was ordered. */
	SIZE_ORDERED(2825),

	/** The size of a service could not be ordered. */
	SIZE_NOT_ORDERED(2826),

	/** Counts of a window came from other gateways in place of rows of the store. */
	USAGE_FROM_PEERS(2827),

	/** Another gateway was heard for the first time, or again. */
	PEER_HEARD(2830),

	/** Another gateway was not heard for a while. */
	PEER_SILENT(2831),

	/** A datagram cannot be read. */
	DATAGRAM_UNREADABLE(2832),

	/** Quotas are shared with other gateways than before. */
	QUOTA_SHARING(2833),

	/** A service is to be moved to another version of its servers. */
	ROLLOUT_ORDERED(2860),

	/** A roll-out is in another phase. */
	ROLLOUT_PHASE(2861),

	/** An order for a roll-out cannot be read. */
	ROLLOUT_UNREADABLE(2862),

	/** An order for a roll-out is gone. */
	ROLLOUT_WITHDRAWN(2863),

	/** The state of a roll-out was written for the operator. */
	ROLLOUT_STATE_WRITTEN(2864),

	/** A backend server crashed while it had a request. */
	CRASHED_UNDER_REQUEST(2850),

	/** A crash does not speak against a request any more. */
	CRASH_CLEARED(2851),

	/** A request is held back, since servers crashed under it. */
	REQUEST_HELD_BACK(2852),

	/** A request is no longer held back. */
	REQUEST_RELEASED(2853),

	/** A request that is held back was to be sent once, on trial. */
	REQUEST_ON_TRIAL(2854),

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
