package org.rosemaryfront.serving;

import com.dynatrace.hash4j.hashing.Hashing;

import org.rosemaryfront.model.RequestId;
import org.rosemaryfront.model.Resource.Priority;
import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.model.VmId;

/** A caller's request; a row of {@link RequestTable}. */
final class Request {

	/**
	 * The tokens that one slot counts for in the share of an organisation. A request is
	 * charged for at most one slot, because a long answer takes no more slots than a
	 * short one.
	 */
	static final long SLOT_TOKENS = 256;

	final RequestId id;

	final RequestSpec spec;

	final long arrivedNanos;

	/** The chained hashes of the full blocks of the prompt. */
	final long[] blocks;

	/**
	 * The affinity key: a hash of the organisation, the model or adapter and the first
	 * prompt blocks.
	 */
	final long affinityKey;

	/** Whether a peer accepted the request and handed it over. */
	final boolean adopted;

	Phase phase = Phase.ARRIVED;

	int emittedTokens;

	/** The running attempt, or null. */
	Attempt attempt;

	Verdict verdict = Verdict.notRun();

	int dispatches;

	/** The number of times it was sent to another server because it waited in a queue. */
	int reroutes;

	/** Refusals and connection failures since the last token. */
	int failuresSinceToken;

	/** The earliest time of the next dispatch, on the monotonic clock, in nanoseconds. */
	long earliestDispatchNanos;

	/** The server to avoid because the last attempt failed there, or null. */
	VmId avoidedServer;

	/** The attempt whose server still has the KV cache, or null. */
	Attempt cacheSource;

	/** Whether the request must be dispatched now, before all others. */
	boolean urgent;

	Request(RequestId id, RequestSpec spec, long arrivedNanos, int affinityBlocks, boolean adopted, int emittedTokens) {
		this.id = id;
		this.spec = spec;
		this.arrivedNanos = arrivedNanos;
		this.earliestDispatchNanos = arrivedNanos;
		this.blocks = spec.prefixBlocks().stream().mapToLong(Long::longValue).toArray();
		this.affinityKey = affinityKey(spec, this.blocks, affinityBlocks);
		this.adopted = adopted;
		this.emittedTokens = emittedTokens;
	}

	private static long affinityKey(RequestSpec spec, long[] blocks, int affinityBlocks) {
		int keyBlocks = Math.min(affinityBlocks, blocks.length);
		return Hashing.wyhashFinal4()
			.hashStream()
			.putString(spec.organisation())
			.putString(spec.model())
			.putLong((keyBlocks > 0) ? blocks[keyBlocks - 1] : 0)
			.getAsLong();
	}

	// Whether work on the request was started, here or at a peer, so that it must be
	// finished.
	boolean isStarted() {
		return this.adopted || this.dispatches > 0;
	}

	boolean isChat() {
		return this.spec.priority() == Priority.CHAT;
	}

	// Returns the number of tokens that a backend server must have computed before the
	// next token.
	int contextTokens() {
		return this.spec.promptTokens() + this.emittedTokens;
	}

	// Returns the number of tokens charged to the share of the organisation.
	long chargedTokens() {
		return Math.min(SLOT_TOKENS, this.spec.maxTokens());
	}

	/** The processing phase of a request. */
	enum Phase {

		// Not admitted yet.
		ARRIVED,

		// Admitted and waiting for a backend server.
		WAITING,

		/** An attempt is running. */
		RUNNING

	}

}
