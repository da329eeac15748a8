package org.rosemaryfront.serving;

import java.util.List;

/**
 * Which prompt blocks a backend server is believed to have in its prefix cache. A hint
 * only: cache events come late and with gaps, and the table forgets a block when another
 * takes its place. How far the hints came true scales them.
 */
final class PrefixHints {

	/** The blocks remembered, about what a backend server caches; a power of two. */
	private static final int SIZE = 2_048;

	/** The weight of the newest outcome. */
	private static final double NEWEST = 0.1;

	/** Hints are never trusted less, so that they can prove true again. */
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

	// Events before these may be missing, so nothing that is not named is changed.
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

	// The number of leading blocks believed to be cached; a block is only kept with those
	// before it, so the deepest one tells.
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
