package org.rosemaryfront.rollout;

/**
 * The calls of one route that a process has counted since it received the order.
 *
 * @param candidate the calls of the candidate version
 * @param baseline the calls of other versions
 */
public record Tally(Counts candidate, Counts baseline) {

	/** A tally without any calls. */
	public static final Tally NONE = new Tally(Counts.NONE, Counts.NONE);

	/**
	 * Returns the tally with one more call.
	 * @param isCandidate whether the candidate version served the call
	 * @param isFailing whether the call failed or was slow
	 * @return the new tally
	 */
	public Tally plus(boolean isCandidate, boolean isFailing) {
		return isCandidate ? new Tally(this.candidate.plus(isFailing), this.baseline)
				: new Tally(this.candidate, this.baseline.plus(isFailing));
	}

	/**
	 * Returns the calls that were added since an earlier tally of the same process.
	 * @param earlier the earlier tally
	 * @return the difference
	 */
	public Tally minus(Tally earlier) {
		return new Tally(this.candidate.minus(earlier.candidate), this.baseline.minus(earlier.baseline));
	}

	/**
	 * The number of calls, and how many of them failed or were slow.
	 *
	 * @param calls the number of all calls
	 * @param failing the number of calls that failed or were slow
	 */
	public record Counts(long calls, long failing) {

		/** Counts without any calls. */
		public static final Counts NONE = new Counts(0, 0);

		private Counts plus(boolean isFailing) {
			return new Counts(this.calls + 1, this.failing + (isFailing ? 1 : 0));
		}

		private Counts minus(Counts earlier) {
			return new Counts(Math.max(0, this.calls - earlier.calls), Math.max(0, this.failing - earlier.failing));
		}

		/**
		 * Returns the number of calls that neither failed nor were slow.
		 * @return the number of calls
		 */
		public long passing() {
			return Math.max(0, this.calls - this.failing);
		}

	}

}
