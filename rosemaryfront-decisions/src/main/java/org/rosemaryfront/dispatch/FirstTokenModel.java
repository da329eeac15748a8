package org.rosemaryfront.dispatch;

import java.util.Arrays;
import java.util.List;

/**
 * How long servers of a service take to the first token of a call, learned from calls.
 *
 * <p>
 * The time grows with the prompt tokens that the server has to read until then, with the
 * calls that run beside it, and with the pairs of tokens that a long prompt makes the
 * engine look at. The rates are those of a linear regression that forgets, with start
 * values that count as some calls.
 */
public final class FirstTokenModel {

	/**
	 * Start values, cautious ones: what nothing is known of is slower than the engines
	 * seen so far, which read 66 to 94 tokens in a millisecond and answer a short prompt
	 * within 20 to 60.
	 */
	private static final double[] START = { 30, 1 / 60.0, 0.5, 0.5 };

	/** How many calls the start values count as. */
	private static final double START_WEIGHT = 30;

	/** What is usual of each cause, so that the start values weigh alike for all. */
	private static final double[] USUAL = { 1, 4_000, 8, 10 };

	/** What a call counts after one more has come: some 500 calls count. */
	private static final double KEPT = 0.998;

	/** One call counts at most as so much slower, or faster, than expected. */
	private static final double MOST = 4;

	/** From so many calls on, what was learned is worth more than the start values. */
	private static final int LEARNED_CALLS = 60;

	/** No rate of a process that is sound is as great, in milliseconds. */
	private static final double MOST_RATE = 10_000;

	private static final int CAUSES = START.length;

	private final double[][] products = new double[CAUSES][CAUSES];

	private final double[] sums = new double[CAUSES];

	private double[] start = START.clone();

	private double[] rates = START.clone();

	private long calls;

	/**
	 * Learns from a call.
	 * @param work what the server had to do until its first token
	 * @param millis the time that it took, in milliseconds
	 */
	public void learn(Work work, double millis) {
		double expected = expectedMillis(work);
		double bounded = Math.clamp(millis, expected / MOST, expected * MOST);
		double[] causes = work.causes();
		// A time far off weighs by its size, not by its square.
		double weight = 1 / Math.max(1, expected);
		for (int i = 0; i < CAUSES; i++) {
			for (int j = 0; j < CAUSES; j++) {
				this.products[i][j] = this.products[i][j] * KEPT + weight * causes[i] * causes[j];
			}
			this.sums[i] = this.sums[i] * KEPT + weight * causes[i] * bounded;
		}
		this.calls++;
		this.rates = solved();
	}

	/**
	 * The time to expect.
	 * @param work what the server has to do
	 * @return the time in milliseconds
	 */
	public double expectedMillis(Work work) {
		double[] causes = work.causes();
		double millis = 0;
		for (int i = 0; i < CAUSES; i++) {
			millis += this.rates[i] * causes[i];
		}
		return millis;
	}

	/**
	 * How fast servers read prompts beside their other work: a usual prompt's tokens over
	 * the time that its tokens and pairs take. Of both together the calls tell more than
	 * of either: by the tokens alone the speed learned from calm seconds swung between 37
	 * and 158 tokens, where the engines read 66.
	 * @return the tokens read in a millisecond
	 */
	public double tokensPerMilli() {
		return USUAL[1] / (USUAL[1] * this.rates[1] + USUAL[3] * this.rates[3]);
	}

	// -- what processes tell one another

	/**
	 * What was learned, for a process that has not.
	 * @return the rates, empty as long as they rest on few calls
	 */
	public List<Double> learned() {
		return (this.calls < LEARNED_CALLS) ? List.of() : Arrays.stream(this.rates).boxed().toList();
	}

	/**
	 * Takes what another process has learned in place of the start values, as long as
	 * this one knows little itself.
	 * @param learned the rates of the other process
	 */
	public void adopt(List<Double> learned) {
		boolean usable = learned.size() == CAUSES && learned.stream().allMatch((rate) -> rate > 0 && rate < MOST_RATE);
		if (usable && this.calls < LEARNED_CALLS) {
			this.start = learned.stream().mapToDouble(Double::doubleValue).toArray();
			this.rates = solved();
		}
	}

	// The rates with the least squared error, drawn to the start values, and none below a
	// tenth of its start value: nothing that a server does takes no time.
	private double[] solved() {
		double[][] left = new double[CAUSES][];
		double[] right = this.sums.clone();
		for (int i = 0; i < CAUSES; i++) {
			left[i] = this.products[i].clone();
			double weight = START_WEIGHT * USUAL[i] * USUAL[i] / (USUAL[1] * this.start[1]);
			left[i][i] += weight;
			right[i] += weight * this.start[i];
		}
		double[] solution = eliminate(left, right);
		for (int i = 0; i < CAUSES; i++) {
			solution[i] = Math.max(this.start[i] / 10, solution[i]);
		}
		return solution;
	}

	// Gauss; the matrix is positive definite, since the start values are in its diagonal.
	private static double[] eliminate(double[][] left, double[] right) {
		for (int pivot = 0; pivot < CAUSES; pivot++) {
			for (int row = pivot + 1; row < CAUSES; row++) {
				double factor = left[row][pivot] / left[pivot][pivot];
				for (int column = pivot; column < CAUSES; column++) {
					left[row][column] -= factor * left[pivot][column];
				}
				right[row] -= factor * right[pivot];
			}
		}
		double[] solution = new double[CAUSES];
		for (int row = CAUSES - 1; row >= 0; row--) {
			double known = right[row];
			for (int column = row + 1; column < CAUSES; column++) {
				known -= left[row][column] * solution[column];
			}
			solution[row] = known / left[row][row];
		}
		return solution;
	}

	/**
	 * What a server does until the first token of a call.
	 *
	 * @param tokens the prompt tokens that it reads, of the call and of those before it
	 * @param calls the calls that run there
	 * @param pairs the pairs of tokens that the call makes it look at, in millions
	 */
	public record Work(double tokens, int calls, double pairs) {

		/**
		 * The work for a call.
		 * @param ahead the prompt tokens of calls before it
		 * @param unread the prompt tokens of its own that are to be read
		 * @param prompt all tokens of its prompt
		 * @param calls the calls that run there
		 * @return the work
		 */
		public static Work of(long ahead, long unread, long prompt, int calls) {
			return new Work(ahead + unread, calls, unread * (prompt - unread / 2.0) / 1e6);
		}

		private double[] causes() {
			return new double[] { 1, this.tokens, this.calls, this.pairs };
		}

	}

}
