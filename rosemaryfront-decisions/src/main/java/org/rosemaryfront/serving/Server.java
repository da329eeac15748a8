package org.rosemaryfront.serving;

import java.util.LinkedHashMap;
import java.util.Map;

import com.dynatrace.hash4j.hashing.Hashing;

import org.rosemaryfront.model.AttemptId;
import org.rosemaryfront.model.VmId;

/** A backend server; a row of {@link ServerTable}. */
final class Server {

	/** The smoothing factor of the time between tokens. */
	private static final double TOKEN_TIME_SMOOTHING_FACTOR = 0.02;

	/**
	 * The time constant of the decay of a measured time between tokens without new
	 * measurements, in nanoseconds.
	 */
	private static final double TOKEN_TIME_DECAY_NANOS = 30e9;

	final VmId id;

	final String pool;

	final String zone;

	String address;

	Phase phase = Phase.LIVE;

	/** The expected termination time of its VM, {@link Long#MAX_VALUE} if unknown. */
	long terminationNanos = Long.MAX_VALUE;

	/** The attempts of this process that run there, oldest first. */
	final Map<AttemptId, Attempt> attempts = new LinkedHashMap<>();

	/**
	 * The hash that determines its positions on the hash ring, the same in all processes.
	 */
	final long hash;

	final PrefixHints hints = new PrefixHints();

	final ServerLoad load = new ServerLoad();

	/** The time until which it gets no new work because of a failure there. */
	long avoidUntilNanos = Long.MIN_VALUE;

	/** The time until which it is treated as full. */
	long fullUntilNanos = Long.MIN_VALUE;

	/**
	 * The smoothed time between tokens of its streams, in nanoseconds, 0 before the first
	 * measurement.
	 */
	double tokenNanos;

	/** The time at which the time between tokens was last measured. */
	long tokenTimeMeasuredNanos;

	/** The connection failures since the last accepted attempt. */
	int failures;

	/**
	 * The time from which its KV cache export is free for another stream of this process.
	 */
	long exportFreeNanos = Long.MIN_VALUE;

	Server(VmId id, String pool, String zone, String address) {
		this.id = id;
		this.pool = pool;
		this.zone = zone;
		this.address = address;
		this.hash = Hashing.wyhashFinal4().hashCharsToLong(id.value());
	}

	// Returns the number of streams that run there, those of other processes as last
	// reported.
	double streams() {
		return this.attempts.size() + this.load.otherStreams();
	}

	void recordTokens(int tokens, long nanos, long nowNanos) {
		double measuredTokenNanos = (double) nanos / tokens;
		this.tokenNanos = (this.tokenNanos > 0)
				? this.tokenNanos + TOKEN_TIME_SMOOTHING_FACTOR * (measuredTokenNanos - this.tokenNanos)
				: measuredTokenNanos;
		this.tokenTimeMeasuredNanos = nowNanos;
	}

	// Returns the time between tokens. Without new measurements it decays to the typical
	// value, so that a server that received less work is tried again.
	double tokenNanos(long nowNanos, double typicalNanos) {
		double weight = (this.tokenNanos > 0)
				? Math.exp((this.tokenTimeMeasuredNanos - nowNanos) / TOKEN_TIME_DECAY_NANOS) : 0;
		return typicalNanos + weight * (this.tokenNanos - typicalNanos);
	}

	boolean isLive() {
		return this.phase == Phase.LIVE;
	}

	/** The lifecycle phase of a backend server; it only moves forward. */
	enum Phase {

		// It accepts new work.
		LIVE,

		// It accepts no new work and finishes its streams.
		LEAVING,

		/** Its VM was terminated. */
		TERMINATED

	}

}
