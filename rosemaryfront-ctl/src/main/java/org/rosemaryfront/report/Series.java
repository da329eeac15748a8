package org.rosemaryfront.report;

import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.DoubleBinaryOperator;

/**
 * Values by second, of several names, for one plot.
 */
final class Series {

	private final Map<String, TreeMap<Long, Double>> lines = new LinkedHashMap<>();

	/** What stands in a second of which a line says nothing; null for a gap. */
	private final Double missing;

	private Series(Double missing) {
		this.missing = missing;
	}

	// -- factories

	/**
	 * Counts: a second of which nothing is said had none.
	 * @return an empty series
	 */
	static Series counts() {
		return new Series(0.0);
	}

	/**
	 * Measured values: a second of which nothing is said is not known.
	 * @return an empty series
	 */
	static Series measured() {
		return new Series(null);
	}

	/**
	 * Puts a value into its second.
	 * @param line the name of the line
	 * @param second when
	 * @param value the value
	 * @param merge what becomes of two values of one second
	 */
	void put(String line, double second, double value, DoubleBinaryOperator merge) {
		this.lines.computeIfAbsent(line, (_) -> new TreeMap<>())
			.merge((long) Math.floor(second), value, merge::applyAsDouble);
	}

	/**
	 * Adds to the count of a second.
	 * @param line the name of the line
	 * @param second when
	 */
	void count(String line, double second) {
		put(line, second, 1, Double::sum);
	}

	/**
	 * Drops lines beyond a number, those with the smallest sums first.
	 * @param most the lines kept
	 */
	void keepLargest(int most) {
		List<String> dropped = this.lines.keySet()
			.stream()
			.sorted(Comparator.comparingDouble(this::sum).reversed())
			.skip(most)
			.toList();
		dropped.forEach(this.lines::remove);
	}

	private double sum(String line) {
		return this.lines.get(line).values().stream().mapToDouble(Double::doubleValue).sum();
	}

	boolean isEmpty() {
		return this.lines.isEmpty();
	}

	Map<String, TreeMap<Long, Double>> lines() {
		return this.lines;
	}

	/**
	 * The seconds that any line has.
	 * @return the seconds in order
	 */
	long[] seconds() {
		return this.lines.values()
			.stream()
			.flatMapToLong((line) -> line.keySet().stream().mapToLong(Long::longValue))
			.sorted()
			.distinct()
			.toArray();
	}

	/**
	 * The values of a line.
	 * @param line its name
	 * @param seconds the seconds
	 * @return a value for each, null where it is not known
	 */
	Double[] values(String line, long[] seconds) {
		TreeMap<Long, Double> values = this.lines.get(line);
		return Arrays.stream(seconds)
			.mapToObj((second) -> values.getOrDefault(second, this.missing))
			.toArray(Double[]::new);
	}

}
