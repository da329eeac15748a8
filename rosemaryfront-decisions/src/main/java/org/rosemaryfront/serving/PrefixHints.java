package org.rosemaryfront.serving;

import java.util.List;

/**
 * The prompt blocks that a backend server probably has in its prefix cache. These are
 * only hints: cache events arrive late and with gaps, and a block is lost when another
 * block is stored at the same index. The measured accuracy of earlier hints scales the
 * expected number of cached blocks.
 */
final class PrefixHints {

	/**
	 * The number of blocks stored, about as many as a backend server caches; a power of
	 * two.
	 */
	private static final int CAPACITY = 2_048;

	/** The smoothing factor of the accuracy. */
	private static final double SMOOTHING_FACTOR = 0.1;

	/** The minimum accuracy; hints stay in use so that the accuracy can recover. */
	private static final double MIN_ACCURACY = 0.2;

	private long[] blocks = {};

	private double accuracy = 1;

	// -- changes

	void add(long block) {
		if (this.blocks.length == 0) {
			this.blocks = new long[CAPACITY];
		}
		this.blocks[index(block)] = block;
	}

	void addAll(long[] promptBlocks) {
		for (long block : promptBlocks) {
			add(block);
		}
	}

	// Earlier cache events may be missing, so blocks that are not listed stay unchanged.
	void applyCacheEvents(List<Long> added, List<Long> removed) {
		added.forEach(this::add);
		for (Long block : removed) {
			if (contains(block)) {
				this.blocks[index(block)] = 0;
			}
		}
	}

	void recordOutcome(int hintedTokens, int cachedTokens) {
		if (hintedTokens > 0) {
			double cachedFraction = Math.min(1, (double) cachedTokens / hintedTokens);
			this.accuracy = Math.max(MIN_ACCURACY, this.accuracy + SMOOTHING_FACTOR * (cachedFraction - this.accuracy));
		}
	}

	// -- queries

	// Returns the expected number of leading blocks in the cache. The cache keeps a block
	// only together with the preceding blocks, so the deepest block found determines the
	// number.
	double expectedBlocks(long[] promptBlocks) {
		return this.accuracy * hintedBlocks(promptBlocks);
	}

	int hintedBlocks(long[] promptBlocks) {
		if (this.blocks.length > 0) {
			for (int i = promptBlocks.length - 1; i >= 0; i--) {
				if (contains(promptBlocks[i])) {
					return i + 1;
				}
			}
		}
		return 0;
	}

	private boolean contains(long block) {
		return this.blocks.length > 0 && this.blocks[index(block)] == block;
	}

	private static int index(long block) {
		return (int) (block ^ (block >>> 32)) & (CAPACITY - 1);
	}

}
