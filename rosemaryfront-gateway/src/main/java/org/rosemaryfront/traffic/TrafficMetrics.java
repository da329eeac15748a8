package org.rosemaryfront.traffic;

import java.util.Locale;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

/** The metrics of calls. Times are in milliseconds. */
public final class TrafficMetrics {

	private final MetricRegistry registry = new MetricRegistry();

	/**
	 * Returns the registry of all metrics.
	 * @return the registry
	 */
	public MetricRegistry registry() {
		return this.registry;
	}

	/**
	 * Registers a gauge.
	 * @param name the name of the metric
	 * @param gauge reads the value
	 */
	public void gauge(String name, Gauge<?> gauge) {
		this.registry.gauge(name, () -> gauge);
	}

	/**
	 * Increments a counter.
	 * @param name the name of the metric
	 */
	public void increment(String name) {
		this.registry.counter(name).inc();
	}

	void answered(Call call, int status) {
		increment("calls.answered." + status);
		this.registry.histogram("calls.answer.millis." + call.route().kind()).update(millis(call));
	}

	void began(Call call) {
		this.registry.histogram("calls.first.millis." + call.route().kind()).update(millis(call));
	}

	void responseReceived(ResponseFraming framing) {
		increment("servers.responses.framed." + framing.name().toLowerCase(Locale.ROOT));
	}

	void broken() {
		increment("calls.broken");
	}

	void refused(int status) {
		increment("calls.refused." + status);
	}

	private static long millis(Call call) {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - call.receivedNanos());
	}

}
