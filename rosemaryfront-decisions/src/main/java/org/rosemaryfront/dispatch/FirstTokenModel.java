package org.rosemaryfront.dispatch;

import java.util.Arrays;
import java.util.List;

/**
 * Predicts the time to first token of the servers of a service, fitted to measured calls.
 *
 * <p>
 * The time grows with the prompt tokens that the server has to prefill first, with the
 * number of concurrent calls, and with the number of token pairs that attention covers
 * for a long prompt. The coefficients come from a linear regression with exponential
 * forgetting, whose initial coefficients count as a fixed number of calls.
 */
public final class FirstTokenModel {

	/**
	 * Conservative initial coefficients: an unknown engine is assumed to be slower than
	 * the engines measured so far, which prefill 66 to 94 tokens per millisecond and
	 * respond to a short prompt within 20 to 60 ms.
	 */
	private static final double[] INITIAL_COEFFICIENTS = { 30, 1 / 60.0, 0.5, 0.5 };

	/** The weight of the initial coefficients, as a number of calls. */
	private static final double INITIAL_WEIGHT = 30;

	/**
	 * The typical value of each feature, used to give all initial coefficients equal
	 * weight.
	 */
	private static final double[] TYPICAL_FEATURES = { 1, 4_000, 8, 10 };

	/**
	 * The factor by which the weight of a call decays with each further call; about 500
	 * calls are effective.
	 */
	private static final double DECAY_FACTOR = 0.998;

	/**
	 * The bound of a single measurement relative to the expected time, as a factor in
	 * both directions.
	 */
	private static final double MAX_RATIO = 4;

	/**
	 * The number of calls from which the fitted coefficients are preferred to those of
	 * other processes.
	 */
	private static final int MIN_CALLS = 60;

	/**
	 * The number of calls from which an expected time is more than a conservative guess.
	 */
	private static final int MIN_CALLS_TO_BE_KNOWN = 20;

	/**
	 * The exclusive upper bound of a valid coefficient, in milliseconds per unit of its
	 * feature.
	 */
	private static final double MAX_COEFFICIENT = 10_000;

	private static final int FEATURE_COUNT = INITIAL_COEFFICIENTS.length;

	private final double[][] normalMatrix = new double[FEATURE_COUNT][FEATURE_COUNT];

	private final double[] normalVector = new double[FEATURE_COUNT];

	private double[] initialCoefficients = INITIAL_COEFFICIENTS.clone();

	private double[] coefficients = INITIAL_COEFFICIENTS.clone();

	private long measuredCalls;

	private boolean adopted;

	/**
	 * Updates the model with a measured call.
	 * @param work the work of the server until its first token
	 * @param millis the measured time to first token, in milliseconds
	 */
	public void update(Work work, double millis) {
		double expected = expectedMillis(work);
		double bounded = Math.clamp(millis, expected / MAX_RATIO, expected * MAX_RATIO);
		double[] features = work.features();
		// Weights a call by the inverse of the expected time, so that long times count
		// linearly instead of quadratically.
		double weight = 1 / Math.max(1, expected);
		for (int i = 0; i < FEATURE_COUNT; i++) {
			for (int j = 0; j < FEATURE_COUNT; j++) {
				this.normalMatrix[i][j] = this.normalMatrix[i][j] * DECAY_FACTOR + weight * features[i] * features[j];
			}
			this.normalVector[i] = this.normalVector[i] * DECAY_FACTOR + weight * features[i] * bounded;
		}
		this.measuredCalls++;
		this.coefficients = solve();
	}

	/**
	 * Returns the expected time to first token.
	 * @param work the work of the server
	 * @return the time in milliseconds
	 */
	public double expectedMillis(Work work) {
		double[] features = work.features();
		double millis = 0;
		for (int i = 0; i < FEATURE_COUNT; i++) {
			millis += this.coefficients[i] * features[i];
		}
		return millis;
	}

	/**
	 * Returns whether the expected times rest on calls of this or another process.
	 * @return false while the initial coefficients prevail
	 */
	public boolean isKnown() {
		return this.adopted || this.measuredCalls >= MIN_CALLS_TO_BE_KNOWN;
	}

	/**
	 * Returns how much longer a call waits for each token that is queued before it.
	 * @return the time in milliseconds
	 */
	public double millisPerToken() {
		return this.coefficients[1];
	}

	/**
	 * Returns the prefill rate of a server under load: the tokens of a typical prompt
	 * divided by the time that its tokens and token pairs take. Both coefficients
	 * together are more stable than either alone: from the token coefficient alone, the
	 * rate fitted to periods of low load varied between 37 and 158 tokens per millisecond
	 * for engines that prefill 66.
	 * @return the tokens prefilled per millisecond
	 */
	public double prefillTokensPerMilli() {
		return TYPICAL_FEATURES[1]
				/ (TYPICAL_FEATURES[1] * this.coefficients[1] + TYPICAL_FEATURES[3] * this.coefficients[3]);
	}

	// -- exchange between processes

	/**
	 * Returns the fitted coefficients, to be reported to processes without enough
	 * measurements.
	 * @return the coefficients, empty while they rest on too few calls
	 */
	public List<Double> fittedCoefficients() {
		return (this.measuredCalls < MIN_CALLS) ? List.of() : Arrays.stream(this.coefficients).boxed().toList();
	}

	/**
	 * Replaces the initial coefficients by those of another process, unless this process
	 * has enough measurements of its own.
	 * @param peerCoefficients the coefficients of the other process
	 */
	public void adoptCoefficients(List<Double> peerCoefficients) {
		boolean valid = peerCoefficients.size() == FEATURE_COUNT && peerCoefficients.stream()
			.allMatch((coefficient) -> coefficient > 0 && coefficient < MAX_COEFFICIENT);
		if (valid && this.measuredCalls < MIN_CALLS) {
			this.initialCoefficients = peerCoefficients.stream().mapToDouble(Double::doubleValue).toArray();
			this.coefficients = solve();
			this.adopted = true;
		}
	}

	// The least-squares coefficients, regularised towards the initial ones. None is less
	// than a tenth of its initial value, since no work takes zero time.
	private double[] solve() {
		double[][] matrix = new double[FEATURE_COUNT][];
		double[] vector = this.normalVector.clone();
		for (int i = 0; i < FEATURE_COUNT; i++) {
			matrix[i] = this.normalMatrix[i].clone();
			double weight = INITIAL_WEIGHT * TYPICAL_FEATURES[i] * TYPICAL_FEATURES[i]
					/ (TYPICAL_FEATURES[1] * this.initialCoefficients[1]);
			matrix[i][i] += weight;
			vector[i] += weight * this.initialCoefficients[i];
		}
		double[] solution = solveLinearSystem(matrix, vector);
		for (int i = 0; i < FEATURE_COUNT; i++) {
			solution[i] = Math.max(this.initialCoefficients[i] / 10, solution[i]);
		}
		return solution;
	}

	// Gaussian elimination without pivoting; the matrix is positive definite because the
	// regularisation adds positive values to its diagonal.
	private static double[] solveLinearSystem(double[][] matrix, double[] vector) {
		for (int pivot = 0; pivot < FEATURE_COUNT; pivot++) {
			for (int row = pivot + 1; row < FEATURE_COUNT; row++) {
				double factor = matrix[row][pivot] / matrix[pivot][pivot];
				for (int column = pivot; column < FEATURE_COUNT; column++) {
					matrix[row][column] -= factor * matrix[pivot][column];
				}
				vector[row] -= factor * vector[pivot];
			}
		}
		double[] solution = new double[FEATURE_COUNT];
		for (int row = FEATURE_COUNT - 1; row >= 0; row--) {
			double value = vector[row];
			for (int column = row + 1; column < FEATURE_COUNT; column++) {
				value -= matrix[row][column] * solution[column];
			}
			solution[row] = value / matrix[row][row];
		}
		return solution;
	}

	/**
	 * The work of a server until the first token of a call.
	 *
	 * @param tokens the prompt tokens that it prefills, of the call and of those queued
	 * before it
	 * @param calls the number of calls running at the server
	 * @param tokenPairs the token pairs that attention covers for the call, in millions
	 */
	public record Work(double tokens, int calls, double tokenPairs) {

		/**
		 * Returns the work for a call.
		 * @param queuedTokens the prompt tokens to prefill for calls queued before it
		 * @param uncachedTokens the uncached prompt tokens of the call
		 * @param promptTokens all prompt tokens of the call
		 * @param calls the number of calls running at the server
		 * @return the work
		 */
		public static Work of(long queuedTokens, long uncachedTokens, long promptTokens, int calls) {
			return new Work(queuedTokens + uncachedTokens, calls,
					uncachedTokens * (promptTokens - uncachedTokens / 2.0) / 1e6);
		}

		private double[] features() {
			return new double[] { 1, this.tokens, this.calls, this.tokenPairs };
		}

	}

}
