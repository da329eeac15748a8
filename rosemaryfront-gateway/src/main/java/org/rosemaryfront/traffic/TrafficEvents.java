package org.rosemaryfront.traffic;

import org.rosemaryfront.events.EventCode;

/** Events of calls that pass through a gateway. */
public enum TrafficEvents implements EventCode {

	/** A caller's request was refused before it became a call. */
	REQUEST_REFUSED(2701),

	/**
	 * A call was assigned to a backend server; the fields give the basis of the choice.
	 */
	CALL_DISPATCHED(2702),

	/** A call could not be sent to a backend server or failed there. */
	CALL_FAILED(2703),

	/** A call ended with a response to its caller. */
	CALL_ANSWERED(2704),

	/**
	 * A call was refused before it ran, or its deadline passed before its response
	 * started.
	 */
	CALL_REFUSED(2705),

	/** The caller disconnected before its response was complete. */
	CALLER_LEFT(2706),

	/** A response was aborted after its start had been sent to the caller. */
	ANSWER_BROKEN(2707),

	/**
	 * A backend server sent bytes that belong to no call in progress; its connection was
	 * closed.
	 */
	STRAY_ANSWER(2708),

	/** A connection failed in a way that no other event reports. */
	CONNECTION_FAILED(2709),

	/** A stream was resumed at another backend server within the same response. */
	STREAM_RESUMED(2710),

	/** A call waits for a server that has a limit, because all servers have one. */
	CALL_WAITING(2711),

	/** A call was sent to a backend server through another gateway. */
	CALL_TUNNELLED(2712),

	/** A call of another gateway is carried to a backend server. */
	CALL_CARRIED(2713),

	/** A call of another gateway, or a server for its calls, was refused. */
	TUNNEL_REFUSED(2714),

	/** Another gateway did not carry calls to a backend server. */
	CARRIER_FAILED(2715),

	/**
	 * A backend server is not reached over the own links, although another gateway
	 * reaches it.
	 */
	PATH_LOST(2716),

	/** A backend server is reached over the own links again. */
	PATH_REGAINED(2717),

	/** A connection of another gateway failed or sent what is no frame of a tunnel. */
	TUNNEL_FAILED(2718),

	/** A caller takes up a stream that an earlier call began. */
	STREAM_TAKEN_UP(2719),

	/**
	 * What was found of the version that began a stream that a caller takes up; it goes
	 * on at that version only. If none was found, why, and after how many milliseconds
	 * one may be.
	 */
	STREAM_ORIGIN(2720),

	/**
	 * The thread of all connections became overloaded, or is no longer; while it is, new
	 * connections are closed before anything is read from them.
	 */
	OVERLOAD_CHANGED(2721),

	/**
	 * Requests and responses of all calls took as much memory as they may: the calls of
	 * those that held most had to hold less.
	 */
	MEMORY_BOUND_REACHED(2722),

	/** A call had to hold less, or was ended, because the memory bound was reached. */
	CALL_RELEASED(2723),

	/**
	 * How late the threads of this gateway were since the last such event, and how the
	 * calls that it received fared meanwhile.
	 */
	THREAD_DELAYS(2724);

	private final int number;

	TrafficEvents(int number) {
		this.number = number;
	}

	@Override
	public int number() {
		return this.number;
	}

}
