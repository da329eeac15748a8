package org.rosemaryfront.traffic;

import java.util.Locale;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

/** The metrics of calls. Times are in milliseconds. */
public final class TrafficMetrics {

	private static final int FIRST_SERVER_ERROR = 500;

	private final MetricRegistry registry = new MetricRegistry();

	private CallTally tally = CallTally.NONE;

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

	/**
	 * Returns the calls since the start, on the traffic thread.
	 * @return the calls
	 */
	CallTally tally() {
		return this.tally;
	}

	void received() {
		this.tally = this.tally.plusReceived();
	}

	void callerLeft() {
		this.tally = this.tally.plusLeft();
	}

	void answered(Call call, int status) {
		increment("calls.answered." + status);
		this.registry.histogram("calls.answer.millis." + call.route().kind()).update(millis(call));
		if (status >= FIRST_SERVER_ERROR) {
			count(call, "failed");
		}
	}

	void began(Call call) {
		long millis = millis(call);
		this.registry.histogram("calls.first.millis." + call.route().kind()).update(millis);
		boolean late = millis > call.route().targetMillis();
		this.tally = this.tally.plusBegun(late);
		if (late) {
			count(call, "late");
		}
	}

	void responseReceived(ResponseFraming framing) {
		increment("servers.responses.framed." + framing.name().toLowerCase(Locale.ROOT));
	}

	void broken(Call call) {
		increment("calls.broken");
		count(call, "broken");
	}

	void refused(Call call, int status) {
		this.tally = this.tally.plusRefused();
		refused(status);
		count(call, "refused");
	}

	/**
	 * Counts a request that was refused before its organisation and route were known.
	 * @param status the HTTP status
	 */
	void refused(int status) {
		increment("calls.refused." + status);
	}

	// Organisations are those of the configuration, so that their counters are bounded.
	private void count(Call call, String outcome) {
		call.organisation()
			.ifPresent((organisation) -> increment("organisations." + outcome + '.' + organisation.name()));
	}

	private static long millis(Call call) {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - call.receivedNanos());
	}

}
