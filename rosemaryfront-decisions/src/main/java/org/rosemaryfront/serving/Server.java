package org.rosemaryfront.serving;

import java.util.LinkedHashMap;
import java.util.Map;

import com.dynatrace.hash4j.hashing.Hashing;

import org.rosemaryfront.model.AttemptId;
import org.rosemaryfront.model.VmId;

/** A row of {@link ServerTable}. */
final class Server {

	/** The weight of the newest pace. */
	private static final double PACE_NEWEST = 0.02;

	/** How long a measured pace is believed without news, in nanoseconds. */
	private static final double PACE_MEMORY_NANOS = 30e9;

	final VmId id;

	final String pool;

	final String zone;

	String address;

	Phase phase = Phase.LIVE;

	/** When it is expected to vanish, {@link Long#MAX_VALUE} when unknown. */
	long goneAtNanos = Long.MAX_VALUE;

	/** Streams of this process that run there, oldest first. */
	final Map<AttemptId, Attempt> attempts = new LinkedHashMap<>();

	/** The pseudo-random number that places it on the ring, the same everywhere. */
	final long hash;

	final PrefixHints hints = new PrefixHints();

	final ServerLoad load = new ServerLoad();

	/** No new work before this time, after a failure there. */
	long avoidUntilNanos = Long.MIN_VALUE;

	/** It is known to be full until then, in nanoseconds. */
	long fullUntilNanos = Long.MIN_VALUE;

	/** The time between tokens of its streams, in nanoseconds, 0 before the first. */
	double tokenNanos;

	/** When that was last measured. */
	long measuredNanos;

	/** Failures since the last success. */
	int failures;

	/** When its KV export is free for another stream of this process. */
	long exportFreeNanos = Long.MIN_VALUE;

	Server(VmId id, String pool, String zone, String address) {
		this.id = id;
		this.pool = pool;
		this.zone = zone;
		this.address = address;
		this.hash = Hashing.wyhashFinal4().hashCharsToLong(id.value());
	}

	// The streams that run there by now, those of other processes as last reported.
	double streams() {
		return this.attempts.size() + this.load.others();
	}

	void paced(int tokens, long nanos, long nowNanos) {
		double pace = (double) nanos / tokens;
		this.tokenNanos = (this.tokenNanos > 0) ? this.tokenNanos + PACE_NEWEST * (pace - this.tokenNanos) : pace;
		this.measuredNanos = nowNanos;
	}

	// The time between tokens; without news it fades back to the usual, so that a server
	// that was eased off is tried again.
	double tokenNanos(long nowNanos, double usualNanos) {
		double known = (this.tokenNanos > 0) ? Math.exp((this.measuredNanos - nowNanos) / PACE_MEMORY_NANOS) : 0;
		return usualNanos + known * (this.tokenNanos - usualNanos);
	}

	boolean live() {
		return this.phase == Phase.LIVE;
	}

	/** Where a backend server stands; it only moves forward. */
	enum Phase {

		// It takes new work.
		LIVE,

		// It takes no new work and finishes what it has.
		LEAVING,

		/** It vanished. */
		GONE

	}

}
