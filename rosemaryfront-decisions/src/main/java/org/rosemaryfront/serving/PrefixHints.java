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
	private static final int SIZE = 2_048;

	/** The smoothing factor of the accuracy. */
	private static final double NEWEST = 0.1;

	/** The minimum accuracy; hints stay in use so that the accuracy can recover. */
	private static final double LEAST_TRUST = 0.2;

	private long[] blocks = {};

	private double trust = 1;

	// -- changes

	void add(long block) {
		if (this.blocks.length == 0) {
			this.blocks = new long[SIZE];
		}
		this.blocks[place(block)] = block;
	}

	void addAll(long[] prompt) {
		for (long block : prompt) {
			add(block);
		}
	}

	// Earlier cache events may be missing, so blocks that are not listed stay unchanged.
	void reported(List<Long> added, List<Long> removed) {
		added.forEach(this::add);
		for (Long block : removed) {
			if (contains(block)) {
				this.blocks[place(block)] = 0;
			}
		}
	}

	void cameTrue(int predicted, int actual) {
		if (predicted > 0) {
			double share = Math.min(1, (double) actual / predicted);
			this.trust = Math.max(LEAST_TRUST, this.trust + NEWEST * (share - this.trust));
		}
	}

	// -- queries

	// Returns the expected number of leading blocks in the cache. The cache keeps a block
	// only together with the preceding blocks, so the deepest block found determines the
	// number.
	double cachedBlocks(long[] prompt) {
		return this.trust * believedBlocks(prompt);
	}

	int believedBlocks(long[] prompt) {
		if (this.blocks.length > 0) {
			for (int i = prompt.length - 1; i >= 0; i--) {
				if (contains(prompt[i])) {
					return i + 1;
				}
			}
		}
		return 0;
	}

	private boolean contains(long block) {
		return this.blocks.length > 0 && this.blocks[place(block)] == block;
	}

	private static int place(long block) {
		return (int) (block ^ (block >>> 32)) & (SIZE - 1);
	}

}
