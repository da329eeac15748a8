package org.rosemaryfront.report;

import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.DoubleBinaryOperator;

/**
 * The named lines of one plot, each with at most one value per second.
 */
final class Series {

	private final Map<String, TreeMap<Long, Double>> lines = new LinkedHashMap<>();

	/** The value of a line in a second without data; null for a gap. */
	private final Double missing;

	private Series(Double missing) {
		this.missing = missing;
	}

	// -- factories

	/**
	 * Creates a series of counts, in which a second without data has the value 0.
	 * @return an empty series
	 */
	static Series counts() {
		return new Series(0.0);
	}

	/**
	 * Creates a series of measured values, in which a second without data is a gap.
	 * @return an empty series
	 */
	static Series measured() {
		return new Series(null);
	}

	/**
	 * Adds a value to a line.
	 * @param line the name of the line
	 * @param second the time of the value in seconds, rounded down
	 * @param value the value
	 * @param merge the function that merges two values of the same second
	 */
	void put(String line, double second, double value, DoubleBinaryOperator merge) {
		this.lines.computeIfAbsent(line, (_) -> new TreeMap<>())
			.merge((long) Math.floor(second), value, merge::applyAsDouble);
	}

	/**
	 * Increments the count of a second.
	 * @param line the name of the line
	 * @param second the time of the event in seconds, rounded down
	 */
	void count(String line, double second) {
		put(line, second, 1, Double::sum);
	}

	/**
	 * Removes the lines with the smallest sums so that at most the given number remains.
	 * @param maxLines the maximum number of lines
	 */
	void keepLargest(int maxLines) {
		List<String> dropped = this.lines.keySet()
			.stream()
			.sorted(Comparator.comparingDouble(this::sum).reversed())
			.skip(maxLines)
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
	 * Returns the seconds in which at least one line has a value.
	 * @return the seconds in ascending order
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
	 * Returns the values of a line at the given seconds.
	 * @param line the name of the line
	 * @param seconds the seconds
	 * @return a value for each second, null for a gap
	 */
	Double[] values(String line, long[] seconds) {
		TreeMap<Long, Double> values = this.lines.get(line);
		return Arrays.stream(seconds)
			.mapToObj((second) -> values.getOrDefault(second, this.missing))
			.toArray(Double[]::new);
	}

}
