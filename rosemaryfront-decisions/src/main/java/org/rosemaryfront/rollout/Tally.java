package org.rosemaryfront.rollout;

/**
 * What came of the calls of one route since a process saw the order.
 *
 * @param fresh those of the new version
 * @param old those of the other versions
 */
public record Tally(Counts fresh, Counts old) {

	/** No calls. */
	public static final Tally NONE = new Tally(Counts.NONE, Counts.NONE);

	/**
	 * With one call more.
	 * @param isFresh whether the new version had it
	 * @param bad whether it failed or was slow
	 * @return the new counts
	 */
	public Tally with(boolean isFresh, boolean bad) {
		return isFresh ? new Tally(this.fresh.with(bad), this.old) : new Tally(this.fresh, this.old.with(bad));
	}

	/**
	 * What came since earlier counts of the same process.
	 * @param earlier the earlier counts
	 * @return the calls between them
	 */
	public Tally since(Tally earlier) {
		return new Tally(this.fresh.since(earlier.fresh), this.old.since(earlier.old));
	}

	/**
	 * Calls and how many of them were bad.
	 *
	 * @param calls all calls
	 * @param bad those that failed or were slow
	 */
	public record Counts(long calls, long bad) {

		/** No calls. */
		public static final Counts NONE = new Counts(0, 0);

		private Counts with(boolean oneBad) {
			return new Counts(this.calls + 1, this.bad + (oneBad ? 1 : 0));
		}

		private Counts since(Counts earlier) {
			return new Counts(Math.max(0, this.calls - earlier.calls), Math.max(0, this.bad - earlier.bad));
		}

		/**
		 * Those that were not bad.
		 * @return the count
		 */
		public long good() {
			return Math.max(0, this.calls - this.bad);
		}

	}

}
