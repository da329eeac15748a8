package org.rosemaryfront.serving;

import java.util.LinkedHashMap;
import java.util.Map;

import com.dynatrace.hash4j.hashing.Hashing;

import org.rosemaryfront.model.AttemptId;
import org.rosemaryfront.model.VmId;

/** A row of {@link ServerTable}. */
final class Server {

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
	long avoidUntilNanos;

	/** Failures since the last success. */
	int failures;

	/** When its KV export is free for another stream of this process. */
	long exportFreeNanos;

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
