package org.rosemaryfront.serving;

import org.rosemaryfront.model.Resource.Priority;

/**
 * Estimates the duration and size of work by exponentially weighted means over measured
 * answers, which start from the parameters.
 */
final class WorkEstimates {

	/** The smoothing factor of all means. */
	private static final double SMOOTHING_FACTOR = 0.05;

	/**
	 * The minimum number of computed tokens for a measurement; fewer tokens take the time
	 * of one engine step, whatever their number.
	 */
	private static final int MIN_COMPUTED_TOKENS = 256;

	/** The duration of an answer until one was measured, in nanoseconds. */
	private static final double INITIAL_ANSWER_NANOS = 2e9;

	private final double[] lengthFractions = { 1, 1 };

	private double tokenNanos;

	private final double[] answerNanosByPriority = { INITIAL_ANSWER_NANOS, INITIAL_ANSWER_NANOS };

	private double answerNanos = INITIAL_ANSWER_NANOS;

	private double prefillTokensPerSecond;

	WorkEstimates(ServingParameters parameters) {
		this.tokenNanos = parameters.tokenNanos();
		this.prefillTokensPerSecond = parameters.prefillTokensPerSecond();
	}

	// -- measurements

	void recordAnswer(Request request, long nanos) {
		this.answerNanos += SMOOTHING_FACTOR * (nanos - this.answerNanos);
		int priorityIndex = request.spec.priority().ordinal();
		this.answerNanosByPriority[priorityIndex] += SMOOTHING_FACTOR
				* (nanos - this.answerNanosByPriority[priorityIndex]);
		double lengthFraction = (double) request.emittedTokens / Math.max(1, request.spec.maxTokens());
		this.lengthFractions[priorityIndex] += SMOOTHING_FACTOR
				* (Math.min(1, lengthFraction) - this.lengthFractions[priorityIndex]);
	}

	void recordFirstToken(int computedTokens, long nanos) {
		if (computedTokens >= MIN_COMPUTED_TOKENS && nanos > 0) {
			double rate = computedTokens * 1e9 / nanos;
			this.prefillTokensPerSecond += SMOOTHING_FACTOR * (rate - this.prefillTokensPerSecond);
		}
	}

	void recordTokens(int count, long nanos) {
		this.tokenNanos += SMOOTHING_FACTOR * ((double) nanos / count - this.tokenNanos);
	}

	// -- estimates

	// Returns the expected number of tokens in the whole answer.
	double answerTokens(Request request) {
		return Math.max(request.emittedTokens + 1,
				this.lengthFractions[request.spec.priority().ordinal()] * request.spec.maxTokens());
	}

	double answerTokens(Priority priority, int maxTokens) {
		return this.lengthFractions[priority.ordinal()] * maxTokens;
	}

	// Returns the time to prefill tokens that are not cached, in nanoseconds.
	double prefillNanos(double tokens) {
		return tokens * 1e9 / this.prefillTokensPerSecond;
	}

	// Returns the time that an answer occupies a slot, in nanoseconds.
	double answerNanos() {
		return this.answerNanos;
	}

	double answerNanos(Priority priority) {
		return this.answerNanosByPriority[priority.ordinal()];
	}

	// Returns the duration of an engine step, in nanoseconds.
	double stepNanos() {
		return this.tokenNanos;
	}

	double tokenNanos() {
		return this.tokenNanos;
	}

}
