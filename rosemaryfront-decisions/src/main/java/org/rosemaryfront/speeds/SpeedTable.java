package org.rosemaryfront.speeds;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.rosemaryfront.dispatch.BackendServer.Incarnation;

/**
 * How fast the known runs of servers are, learned from the calls of all gateways.
 *
 * <p>
 * Each run has a lasting speed, relative to the median of its service, and possibly a
 * slow phase, which is believed only while its measurements are young. There are no fast
 * phases: a server that responds too fast for a short time would attract calls that it
 * cannot run. Confined to one thread.
 */
public final class SpeedTable {

	/** The bound of a single ratio, as a factor in both directions. */
	private static final double MAX_RATIO = 5;

	private static final double MAX_LOG_RATIO = Math.log(MAX_RATIO);

	/** The rounding of reported sums that a valid mean may exceed its bound by. */
	private static final double LOG_RATIO_TOLERANCE = 0.01;

	/** The most calls that one report may tell of a server. */
	private static final int MAX_REPORTED_CALLS = 100_000;

	/**
	 * The standard deviation of the natural logarithm of the ratio of a single call at a
	 * server of known speed.
	 */
	private static final double CALL_DEVIATION = 0.4;

	/** The standard deviation of the natural logarithm of the speeds of servers. */
	private static final double SERVER_DEVIATION = 0.5;

	/** The weight of knowing nothing, as a number of calls. */
	private static final double PRIOR_CALLS = Math.pow(CALL_DEVIATION / SERVER_DEVIATION, 2);

	/** The time in which a measurement loses most of its weight, by scale. */
	private static final long LASTING_NANOS = TimeUnit.SECONDS.toNanos(30);

	private static final long PHASE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

	/** The maximum weight of past measurements, as a number of calls, by scale. */
	private static final double LASTING_CALLS = 32;

	private static final double PHASE_CALLS = 3;

	/** The standard errors that an excess must have to count as a slow phase. */
	private static final double PHASE_ERRORS = 0.5;

	/** The calls from which a server counts for the median and its changes are told. */
	private static final double KNOWN_CALLS = 4;

	/**
	 * The known servers from which their median is used rather than the expected time.
	 */
	private static final int MIN_MEDIAN_SERVERS = 3;

	private static final long MEDIAN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

	/** The change of a lasting speed that is told, as a logarithm of the factor. */
	private static final double TOLD_CHANGE = Math.log(1.25);

	private final Map<Incarnation, Row> rows = new HashMap<>();

	private final Map<String, Median> medians = new HashMap<>();

	private SpeedTable() {
	}

	/**
	 * Creates a table that knows no server.
	 * @return the table
	 */
	public static SpeedTable empty() {
		return new SpeedTable();
	}

	/**
	 * Records a call of this gateway.
	 * @param server the run of the server
	 * @param service its service
	 * @param ratio the measured time divided by the time expected of a typical server of
	 * the service; ignored if not positive and finite
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void record(Incarnation server, String service, double ratio, long nowNanos) {
		if (!(ratio > 0) || !Double.isFinite(ratio)) {
			return;
		}
		double logRatio = Math.clamp(Math.log(ratio), -MAX_LOG_RATIO, MAX_LOG_RATIO);
		Row row = row(server, service, nowNanos);
		row.add(1, logRatio, nowNanos);
		row.unreportedCalls++;
		row.unreportedSum += logRatio;
	}

	/**
	 * Returns the measurements of this gateway since the last call of this method.
	 * @return the samples to report
	 */
	public List<SpeedSample> takeSamples() {
		List<SpeedSample> samples = new ArrayList<>();
		this.rows.forEach((server, row) -> {
			if (row.unreportedCalls > 0) {
				samples.add(new SpeedSample(server, row.unreportedCalls, row.unreportedSum));
				row.unreportedCalls = 0;
				row.unreportedSum = 0;
			}
		});
		return samples;
	}

	/**
	 * Records the measurements of another gateway.
	 * @param sample the measurements
	 * @param service the service of the server
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return false if the sample is invalid and was ignored
	 */
	public boolean receive(SpeedSample sample, String service, long nowNanos) {
		double mean = sample.logRatioSum() / sample.calls();
		boolean valid = sample.calls() > 0 && sample.calls() <= MAX_REPORTED_CALLS
				&& Math.abs(mean) <= MAX_LOG_RATIO + LOG_RATIO_TOLERANCE;
		if (valid) {
			row(sample.server(), service, nowNanos).add(sample.calls(), mean, nowNanos);
		}
		return valid;
	}

	/**
	 * Returns the speed of a server.
	 * @param server the run of the server
	 * @param service its service
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the speed relative to the median of the known servers of the service
	 */
	public ServerSpeed speed(Incarnation server, String service, long nowNanos) {
		Row row = this.rows.get(server);
		if (row == null) {
			return new ServerSpeed(1, SERVER_DEVIATION, 0, Long.MAX_VALUE);
		}
		double deviation = CALL_DEVIATION / Math.sqrt(row.lasting.weight(nowNanos) + PRIOR_CALLS);
		return new ServerSpeed(timeFactor(server, service, nowNanos), deviation, row.calls,
				nowNanos - row.lasting.updatedNanos);
	}

	/**
	 * Returns the time that a server takes, without how well it is known.
	 * @param server the run of the server
	 * @param service its service
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the time relative to the median of the known servers of the service
	 */
	public double timeFactor(Incarnation server, String service, long nowNanos) {
		Row row = this.rows.get(server);
		if (row == null) {
			return 1;
		}
		double lasting = row.lastingLog(median(service, nowNanos), nowNanos);
		return Math.exp(lasting + row.phaseLog(nowNanos));
	}

	/**
	 * Returns the servers whose lasting speed has changed considerably since it was last
	 * told.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the changes
	 */
	public List<SpeedChange> takeChanges(long nowNanos) {
		List<SpeedChange> changes = new ArrayList<>();
		this.rows.forEach((server, row) -> {
			double lasting = row.lastingLog(median(row.service, nowNanos), nowNanos);
			if (row.lasting.weight(nowNanos) >= KNOWN_CALLS && Math.abs(lasting - row.toldLog) > TOLD_CHANGE) {
				changes.add(new SpeedChange(server, row.service, Math.exp(row.toldLog), Math.exp(lasting), row.calls));
				row.toldLog = lasting;
			}
		});
		return changes;
	}

	/**
	 * Removes all servers but those that still exist.
	 * @param current the runs of the servers that exist
	 */
	public void retain(Set<Incarnation> current) {
		this.rows.keySet().retainAll(current);
		this.medians.clear();
	}

	private Row row(Incarnation server, String service, long nowNanos) {
		return this.rows.computeIfAbsent(server, (_) -> new Row(service, nowNanos));
	}

	private double median(String service, long nowNanos) {
		Median known = this.medians.get(service);
		if (known == null || nowNanos - known.computedNanos >= MEDIAN_INTERVAL_NANOS) {
			known = new Median(computeMedian(service, nowNanos), nowNanos);
			this.medians.put(service, known);
		}
		return known.logRatio;
	}

	private double computeMedian(String service, long nowNanos) {
		double[] means = this.rows.values()
			.stream()
			.filter((row) -> row.service.equals(service) && row.lasting.weight(nowNanos) >= KNOWN_CALLS)
			.mapToDouble((row) -> row.lasting.mean())
			.toArray();
		if (means.length < MIN_MEDIAN_SERVERS) {
			return 0;
		}
		Arrays.sort(means);
		return (means[(means.length - 1) / 2] + means[means.length / 2]) / 2;
	}

	/**
	 * A considerable change of the lasting speed of a server.
	 *
	 * @param server the run of the server
	 * @param service its service
	 * @param previousFactor the time that it took relative to a typical server, as last
	 * told
	 * @param timeFactor the time that it takes now
	 * @param calls the number of calls measured so far, of all gateways
	 */
	public record SpeedChange(Incarnation server, String service, double previousFactor, double timeFactor,
			long calls) {
	}

	private record Median(double logRatio, long computedNanos) {
	}

	private static final class Row {

		final String service;

		final FadingMean lasting;

		final FadingMean recent;

		long calls;

		int unreportedCalls;

		double unreportedSum;

		double toldLog;

		Row(String service, long nowNanos) {
			this.service = service;
			this.lasting = new FadingMean(LASTING_NANOS, LASTING_CALLS, nowNanos);
			this.recent = new FadingMean(PHASE_NANOS, PHASE_CALLS, nowNanos);
		}

		void add(int count, double meanLogRatio, long nowNanos) {
			this.calls += count;
			this.lasting.add(count, meanLogRatio, nowNanos);
			this.recent.add(count, meanLogRatio, nowNanos);
		}

		double lastingLog(double median, long nowNanos) {
			double weight = this.lasting.weight(nowNanos);
			return (this.lasting.mean() - median) * weight / (weight + PRIOR_CALLS);
		}

		// The excess over the lasting time, less a part of its standard error, which
		// grows
		// as the measurements age.
		double phaseLog(long nowNanos) {
			double error = CALL_DEVIATION / Math.sqrt(this.recent.weight(nowNanos));
			return Math.max(0, this.recent.mean() - this.lasting.mean() - PHASE_ERRORS * error);
		}

	}

	/** A mean whose samples lose weight by their age and by the number of later ones. */
	private static final class FadingMean {

		private final double nanos;

		private final double maxWeight;

		private double sum;

		private double weight;

		long updatedNanos;

		FadingMean(long nanos, double maxWeight, long nowNanos) {
			this.nanos = nanos;
			this.maxWeight = maxWeight;
			this.updatedNanos = nowNanos;
		}

		void add(int count, double mean, long nowNanos) {
			double added = Math.min(count, this.maxWeight);
			double kept = Math.min(weight(nowNanos), this.maxWeight - added);
			this.sum = mean() * kept + mean * added;
			this.weight = kept + added;
			this.updatedNanos = nowNanos;
		}

		double weight(long nowNanos) {
			return this.weight * Math.exp(-Math.max(0, nowNanos - this.updatedNanos) / this.nanos);
		}

		double mean() {
			return (this.weight > 0) ? this.sum / this.weight : 0;
		}

	}

}
