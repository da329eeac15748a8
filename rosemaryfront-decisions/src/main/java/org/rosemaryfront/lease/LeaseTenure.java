package org.rosemaryfront.lease;

import java.util.OptionalLong;

/**
 * The tenures of one process across the generations of the table service: whether it held
 * the lease continuously, and when it may take a lease that has no row in the current
 * generation.
 */
final class LeaseTenure {

	/**
	 * The bits of a fencing number below the generation. Up to generation 2^21 fencing
	 * numbers are exact where numbers are stored as floating point.
	 */
	private static final int FENCE_BITS = 32;

	private long generation;

	/** The number of times that this process acquired the lease from another holder. */
	private long number;

	/**
	 * Whether this process held the lease when it learned of this generation, and no
	 * other process can have held it since.
	 */
	private boolean resuming;

	/**
	 * The time before which the lease is not acquired while it has no row in this
	 * generation.
	 */
	private OptionalLong vacantUntilNanos = OptionalLong.empty();

	long generation() {
		return this.generation;
	}

	long number() {
		return this.number;
	}

	/**
	 * Returns the number below all fencing numbers of the current generation.
	 * @return the number, higher than those of earlier generations
	 */
	long fenceBase() {
		return this.generation << FENCE_BITS;
	}

	/**
	 * Begins in a generation in which the lease may be acquired at once.
	 * @param firstGeneration the generation
	 */
	void beginIn(long firstGeneration) {
		this.generation = firstGeneration;
	}

	/**
	 * Continues in another generation.
	 * @param newGeneration the generation
	 * @param valid whether the lease that this process holds, or was resuming, is still
	 * valid
	 * @param untilNanos the end of the term of any other holder, on the monotonic clock
	 */
	void continueIn(long newGeneration, boolean valid, long untilNanos) {
		this.generation = newGeneration;
		this.resuming = valid;
		this.vacantUntilNanos = valid ? OptionalLong.empty() : OptionalLong.of(untilNanos);
	}

	/** Ends the tenure, because another process holds the lease or may hold it. */
	void interrupt() {
		this.resuming = false;
	}

	/**
	 * Records that the lease was acquired or renewed.
	 * @param held whether this process held it until then
	 */
	void acquired(boolean held) {
		this.number += (held || this.resuming) ? 0 : 1;
		this.resuming = false;
	}

	boolean isResuming() {
		return this.resuming;
	}

	/**
	 * Returns whether the lease may be acquired while it has no row.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return false while a holder of an earlier generation may still act
	 */
	boolean mayAcquireVacant(long nowNanos) {
		return this.vacantUntilNanos.isEmpty() || nowNanos - this.vacantUntilNanos.getAsLong() >= 0;
	}

}
