package org.rosemaryfront.serving;

import com.dynatrace.hash4j.hashing.Hashing;

import org.rosemaryfront.model.RequestId;
import org.rosemaryfront.model.Resource.Priority;
import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.model.VmId;

/** A row of {@link RequestTable}. */
final class Request {

	/** What one slot counts for; a long answer takes no more slots than a short one. */
	static final long SLOT_TOKENS = 256;

	final RequestId id;

	final RequestSpec spec;

	final long arrivedNanos;

	/** The prompt's blocks. */
	final long[] blocks;

	/** Names organisation, model or adapter and the first prompt blocks. */
	final long key;

	/** Whether a peer accepted it first. */
	final boolean adopted;

	Phase phase = Phase.ARRIVED;

	int emittedTokens;

	/** The attempt that runs, null when none does. */
	Attempt attempt;

	Verdict verdict = Verdict.notRun();

	int dispatches;

	/** Times it was sent elsewhere because it waited in a queue. */
	int reroutes;

	/** Breakages since the last token. */
	int breakages;

	/** No dispatch before this time, in nanoseconds. */
	long notBeforeNanos;

	/** The server to avoid, because the last attempt failed there; null for none. */
	VmId avoid;

	/** The attempt whose server still has the KV cache, null when none has. */
	Attempt cacheSource;

	/** Whether it must be placed now, even over the depth bound. */
	boolean urgent;

	Request(RequestId id, RequestSpec spec, long arrivedNanos, int affinityBlocks, boolean adopted, int emittedTokens) {
		this.id = id;
		this.spec = spec;
		this.arrivedNanos = arrivedNanos;
		this.notBeforeNanos = arrivedNanos;
		this.blocks = spec.prefixBlocks().stream().mapToLong(Long::longValue).toArray();
		this.key = key(spec, this.blocks, affinityBlocks);
		this.adopted = adopted;
		this.emittedTokens = emittedTokens;
	}

	private static long key(RequestSpec spec, long[] blocks, int affinityBlocks) {
		int depth = Math.min(affinityBlocks, blocks.length);
		return Hashing.wyhashFinal4()
			.hashStream()
			.putString(spec.organisation())
			.putString(spec.model())
			.putLong((depth > 0) ? blocks[depth - 1] : 0)
			.getAsLong();
	}

	// Whether work on it was begun, here or at a peer, so that it must be finished.
	boolean begun() {
		return this.adopted || this.dispatches > 0;
	}

	boolean chat() {
		return this.spec.priority() == Priority.CHAT;
	}

	// The tokens that a backend server must have computed before the next one.
	int contextTokens() {
		return this.spec.promptTokens() + this.emittedTokens;
	}

	// The tokens that the request holds against its organisation's share.
	long weightTokens() {
		return Math.min(SLOT_TOKENS, this.spec.maxTokens());
	}

	/** Where a request stands. */
	enum Phase {

		// Not yet admitted.
		ARRIVED,

		// Admitted, waits for a backend server.
		WAITING,

		/** An attempt runs. */
		RUNNING

	}

}
