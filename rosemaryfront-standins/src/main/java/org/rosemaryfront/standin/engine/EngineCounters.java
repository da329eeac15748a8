package org.rosemaryfront.standin.engine;

/**
 * Token counts of a stand-in engine since it booted.
 *
 * @param generated tokens generated
 * @param prefilled tokens of prompts and emitted answers that were computed
 * @param cached prompt tokens found in the prefix cache
 * @param imported tokens whose KV cache came from another engine
 * @param recomputed tokens computed again: emitted tokens of resumed streams, and prompt
 * blocks that this engine had computed before and evicted
 * @param recomputedInFleet the same, but prompt blocks count that any engine of the fleet
 * had computed before
 * @param wasted tokens generated for streams that were cancelled
 * @param streams streams taken
 * @param done streams whose answer is whole
 * @param refused streams refused
 */
public record EngineCounters(long generated, long prefilled, long cached, long imported, long recomputed,
		long recomputedInFleet, long wasted, long streams, long done, long refused) {

	static final EngineCounters ZERO = new EngineCounters(0, 0, 0, 0, 0, 0, 0, 0, 0, 0);

	/**
	 * Adds the counts of another engine.
	 * @param other the other counts
	 * @return the sum
	 */
	public EngineCounters plus(EngineCounters other) {
		return new EngineCounters(this.generated + other.generated, this.prefilled + other.prefilled,
				this.cached + other.cached, this.imported + other.imported, this.recomputed + other.recomputed,
				this.recomputedInFleet + other.recomputedInFleet, this.wasted + other.wasted,
				this.streams + other.streams, this.done + other.done, this.refused + other.refused);
	}

	/** The counts while they grow. */
	static final class Mutable {

		long generated;

		long prefilled;

		long cached;

		long imported;

		long recomputed;

		long recomputedInFleet;

		long wasted;

		long streams;

		long done;

		long refused;

		EngineCounters snapshot() {
			return new EngineCounters(this.generated, this.prefilled, this.cached, this.imported, this.recomputed,
					this.recomputedInFleet, this.wasted, this.streams, this.done, this.refused);
		}

	}

}
