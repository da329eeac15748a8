package org.rosemaryfront.report;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * The nine deciles of a sample.
 *
 * @param values the deciles in ascending order, none for an empty sample
 * @param count the size of the sample
 */
record Deciles(List<Double> values, int count) {

	private static final int GROUPS = 10;

	/**
	 * Computes the deciles of a sample.
	 * @param sample the values, in any order
	 * @return the deciles
	 */
	static Deciles of(double[] sample) {
		double[] sorted = sample.clone();
		Arrays.sort(sorted);
		List<Double> values = (sorted.length == 0) ? List.of()
				: IntStream.range(1, GROUPS)
					.mapToObj((decile) -> sorted[decile * (sorted.length - 1) / GROUPS])
					.toList();
		return new Deciles(values, sorted.length);
	}

	@Override
	public String toString() {
		return this.values.stream()
			.map((value) -> String.format(Locale.ROOT, "%.2f", value))
			.collect(Collectors.joining(" "));
	}

}
