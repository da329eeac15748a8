package org.rosemaryfront.standin.engine;

/**
 * What a stand-in engine can do. Times are in nanoseconds.
 *
 * @param slots the greatest number of streams in a step
 * @param queueLimit the greatest number of streams waiting
 * @param memoryBlocks the KV memory, in blocks of 32 tokens, prefix cache and running
 * streams together
 * @param stepBaseNanos the time of a step with nothing in it
 * @param stepStreamNanos the added time for each stream that generates
 * @param prefillTokenNanos the added time for each prompt token
 * @param prefillChunkTokens the greatest number of prompt tokens in a step
 * @param transferTokenNanos the time to export one token's KV cache
 * @param importHoldNanos how long an imported context waits for its stream
 * @param retainNanos how long an ended stream can be attached to
 * @param loadNanos the time to load a model or adapter once its weights are here
 * @param loadReportNanos the time between two load reports
 * @param cacheEventDelayNanos how late a cache event becomes visible
 * @param cacheEventLoss the share of cache events that are lost, 0 to 1
 * @param fencingChecked whether an order with an older fencing number is refused
 */
public record EngineParameters(int slots, int queueLimit, int memoryBlocks, long stepBaseNanos, long stepStreamNanos,
		long prefillTokenNanos, int prefillChunkTokens, long transferTokenNanos, long importHoldNanos, long retainNanos,
		long loadNanos, long loadReportNanos, long cacheEventDelayNanos, double cacheEventLoss,
		boolean fencingChecked) {

	/** The length of a block, in tokens. */
	public static final int BLOCK_TOKENS = 32;

	private static final long MICRO = 1_000L;

	private static final long MILLI = 1_000_000L;

	// -- factories

	/**
	 * An engine on one accelerator: 16 slots, 12 ms for the smallest step, 40 000 prompt
	 * tokens a second, memory for 64 000 tokens.
	 * @return the parameters
	 */
	public static EngineParameters standard() {
		return new EngineParameters(16, 64, 2_000, 12 * MILLI, 250 * MICRO, 25 * MICRO, 512, 10 * MICRO, 30_000 * MILLI,
				30_000 * MILLI, 500 * MILLI, 500 * MILLI, 200 * MILLI, 0.01, true);
	}

	/**
	 * A fast engine for tests across processes: steps of a millisecond.
	 * @return the parameters
	 */
	public static EngineParameters fast() {
		return new EngineParameters(16, 64, 2_000, MILLI, 20 * MICRO, 2 * MICRO, 512, MICRO, 30_000 * MILLI,
				30_000 * MILLI, 50 * MILLI, 100 * MILLI, 20 * MILLI, 0.01, true);
	}

	// -- changes

	/**
	 * Sets whether orders with an older fencing number are refused.
	 * @param checked whether they are
	 * @return the changed parameters
	 */
	public EngineParameters withFencingChecked(boolean checked) {
		return new EngineParameters(this.slots, this.queueLimit, this.memoryBlocks, this.stepBaseNanos,
				this.stepStreamNanos, this.prefillTokenNanos, this.prefillChunkTokens, this.transferTokenNanos,
				this.importHoldNanos, this.retainNanos, this.loadNanos, this.loadReportNanos, this.cacheEventDelayNanos,
				this.cacheEventLoss, checked);
	}

	/**
	 * Sets the KV memory.
	 * @param blocks the memory, in blocks
	 * @return the changed parameters
	 */
	public EngineParameters withMemoryBlocks(int blocks) {
		return new EngineParameters(this.slots, this.queueLimit, blocks, this.stepBaseNanos, this.stepStreamNanos,
				this.prefillTokenNanos, this.prefillChunkTokens, this.transferTokenNanos, this.importHoldNanos,
				this.retainNanos, this.loadNanos, this.loadReportNanos, this.cacheEventDelayNanos, this.cacheEventLoss,
				this.fencingChecked);
	}

	/**
	 * Sets how many streams run and wait.
	 * @param running the slots
	 * @param waiting the limit of the queue
	 * @return the changed parameters
	 */
	public EngineParameters withSlots(int running, int waiting) {
		return new EngineParameters(running, waiting, this.memoryBlocks, this.stepBaseNanos, this.stepStreamNanos,
				this.prefillTokenNanos, this.prefillChunkTokens, this.transferTokenNanos, this.importHoldNanos,
				this.retainNanos, this.loadNanos, this.loadReportNanos, this.cacheEventDelayNanos, this.cacheEventLoss,
				this.fencingChecked);
	}

}
