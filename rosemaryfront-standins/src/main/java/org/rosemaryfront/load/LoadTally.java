package org.rosemaryfront.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

import org.rosemaryfront.load.LoadReport.Bookings;
import org.rosemaryfront.load.LoadReport.Percentiles;

/** The counts of a load run while it goes on. */
final class LoadTally {

	private static final long LONGEST_NANOS = TimeUnit.MINUTES.toNanos(10);

	private static final int DIGITS = 3;

	private static final double NANOS_PER_MILLI = 1e6;

	final LongAdder sent = new LongAdder();

	final LongAdder notSent = new LongAdder();

	final LongAdder accepted = new LongAdder();

	final LongAdder whole = new LongAdder();

	final LongAdder torn = new LongAdder();

	final LongAdder foreign = new LongAdder();

	final LongAdder unanswered = new LongAdder();

	final LongAdder unreachable = new LongAdder();

	final LongAdder resumed = new LongAdder();

	final LongAdder redirected = new LongAdder();

	final LongAdder tokens = new LongAdder();

	final Histogram firstToken = histogram();

	final Histogram betweenTokens = histogram();

	final Histogram wholeAnswer = histogram();

	final Histogram booking = histogram();

	private final Map<String, LongAdder> lostBy = new ConcurrentHashMap<>();

	private final List<LoadReport.Failure> failures = new ArrayList<>();

	private final Map<String, LongAdder> refused = new ConcurrentHashMap<>();

	void lost(String told) {
		this.lostBy.computeIfAbsent(told, (_) -> new LongAdder()).increment();
	}

	void failure(LoadReport.Failure failure) {
		synchronized (this.failures) {
			if (this.failures.size() < LoadReport.KEPT) {
				this.failures.add(failure);
			}
		}
	}

	void refused(String code) {
		this.refused.computeIfAbsent(code, (_) -> new LongAdder()).increment();
	}

	void verdict(AnswerCheck check) {
		switch (check.result()) {
			case WHOLE -> this.whole.increment();
			case TORN -> this.torn.increment();
			case FOREIGN -> this.foreign.increment();
		}
	}

	static void record(Histogram histogram, long nanos) {
		histogram.recordValue(Math.clamp(nanos, 0, LONGEST_NANOS));
	}

	LoadReport report(Bookings bookings, long nanos) {
		Map<String, Long> lost = sums(this.lostBy);
		return new LoadReport(this.sent.sum(), this.notSent.sum(), this.accepted.sum(), this.whole.sum(),
				this.torn.sum(), this.foreign.sum(), lost.values().stream().mapToLong(Long::longValue).sum(), lost,
				failures(), sums(this.refused), this.unanswered.sum(), this.unreachable.sum(), this.resumed.sum(),
				this.redirected.sum(), this.tokens.sum(), bookings, percentiles(this.firstToken),
				percentiles(this.betweenTokens), percentiles(this.wholeAnswer), percentiles(this.booking), nanos / 1e9);
	}

	private List<LoadReport.Failure> failures() {
		synchronized (this.failures) {
			return List.copyOf(this.failures);
		}
	}

	private static Map<String, Long> sums(Map<String, LongAdder> counts) {
		Map<String, Long> sums = new TreeMap<>();
		counts.forEach((name, count) -> sums.put(name, count.sum()));
		return sums;
	}

	private static Histogram histogram() {
		return new ConcurrentHistogram(1_000, LONGEST_NANOS, DIGITS);
	}

	private static Percentiles percentiles(Histogram histogram) {
		return new Percentiles(histogram.getTotalCount(), millis(histogram, 50), millis(histogram, 95),
				millis(histogram, 99), millis(histogram, 100));
	}

	private static double millis(Histogram histogram, double percentile) {
		return (histogram.getTotalCount() != 0) ? histogram.getValueAtPercentile(percentile) / NANOS_PER_MILLI : 0;
	}

}
