package org.rosemaryfront.traffic;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

/** The metrics of calls; times are in milliseconds. */
public final class TrafficMetrics {

	private final MetricRegistry registry = new MetricRegistry();

	/**
	 * The registry with all metrics.
	 * @return the registry
	 */
	public MetricRegistry registry() {
		return this.registry;
	}

	/**
	 * Adds a value that is read when it is asked for.
	 * @param name its name
	 * @param gauge reads it
	 */
	public void gauge(String name, Gauge<?> gauge) {
		this.registry.gauge(name, () -> gauge);
	}

	/**
	 * Counts something.
	 * @param name its name
	 */
	public void count(String name) {
		this.registry.counter(name).inc();
	}

	void answered(Call call, int status) {
		count("calls.answered." + status);
		this.registry.histogram("calls.answer.millis." + call.route().kind()).update(millis(call));
	}

	void began(Call call) {
		this.registry.histogram("calls.first.millis." + call.route().kind()).update(millis(call));
	}

	void broken() {
		count("calls.broken");
	}

	void refused(int status) {
		count("calls.refused." + status);
	}

	private static long millis(Call call) {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - call.arrivedNanos());
	}

}
