package org.rosemaryfront.rollout;

/** Decides from the calls of both versions whether the candidate version is worse. */
public interface RolloutEvaluator {

	/**
	 * Adds calls that have been counted since the previous invocation.
	 * @param route the route of the calls
	 * @param calls the numbers of calls
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void observe(String route, Tally calls, long nowNanos);

	/**
	 * Returns the verdict on the calls observed so far.
	 * @return the verdict; {@link Verdict#BAD} is final
	 */
	Verdict verdict();

	/** The result of the comparison of both versions. */
	enum Verdict {

		/** The calls observed so far do not allow a decision. */
		OPEN,

		/** The candidate is not worse than the baseline, judging by the calls so far. */
		GOOD,

		/** A larger share of the candidate's calls fail or are slow. */
		BAD

	}

}
