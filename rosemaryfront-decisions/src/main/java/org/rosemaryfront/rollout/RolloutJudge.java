package org.rosemaryfront.rollout;

/** Tells from calls of both versions whether the new one is worse. */
public interface RolloutJudge {

	/**
	 * Takes calls that ended since the last time.
	 * @param route their route
	 * @param calls what came of them
	 * @param nowNanos the time
	 */
	void observe(String route, Tally calls, long nowNanos);

	/**
	 * What is known by now.
	 * @return the verdict; a version that was found bad stays so
	 */
	Verdict verdict();

	/** What calls say of a new version. */
	enum Verdict {

		/** Too little is known. */
		OPEN,

		/** It is no worse than the old one, as far as the calls up to now say. */
		GOOD,

		/** It fails more calls, or is slow for more of them. */
		BAD

	}

}
