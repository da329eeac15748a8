package org.rosemaryfront.entry;

import java.util.Locale;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;

import org.rosemaryfront.events.Invariants;
import org.rosemaryfront.model.ProblemCode;
import org.rosemaryfront.serving.ServingCommand.Mode;

/**
 * The metrics of an entry process; times are in microseconds.
 */
final class EntryMetrics {

	private final MetricRegistry registry = new MetricRegistry();

	private final Histogram firstToken = this.registry.histogram("serving.firstToken.micros");

	private final Histogram betweenTokens = this.registry.histogram("serving.betweenTokens.micros");

	private final Histogram queueing = this.registry.histogram("serving.queueing.micros");

	private final Histogram answer = this.registry.histogram("serving.answer.micros");

	private final Meter tokens = this.registry.meter("serving.tokens");

	private final Counter lateAnswers = this.registry.counter("serving.lateAnswersDropped");

	private EntryMetrics() {
	}

	/**
	 * Metrics that begin at zero.
	 * @return the metrics
	 */
	static EntryMetrics create() {
		EntryMetrics metrics = new EntryMetrics();
		metrics.gauge("invariants.broken", Invariants::broken);
		return metrics;
	}

	void abandoned() {
		this.registry.counter("serving.abandoned").inc();
	}

	void accepted() {
		this.registry.counter("serving.accepted").inc();
	}

	void dispatched(Mode mode) {
		this.registry.counter("serving.dispatched." + mode.getClass().getSimpleName().toLowerCase(Locale.ROOT)).inc();
	}

	void droppedLate() {
		this.lateAnswers.inc();
	}

	void finished(AcceptedRequest request) {
		this.answer.update(micros(System.nanoTime() - request.acceptedNanos()));
		this.registry.counter("serving.finished").inc();
	}

	void gauge(String name, Gauge<?> gauge) {
		this.registry.gauge(name, () -> gauge);
	}

	void handedOver() {
		this.registry.counter("serving.handedOver").inc();
	}

	void refused(ProblemCode code) {
		this.registry.counter("serving.refused." + code.code()).inc();
	}

	void token(AcceptedRequest request, RunningAttempt attempt, int index) {
		long now = System.nanoTime();
		this.tokens.mark();
		if (index == 0) {
			this.firstToken.update(micros(now - request.acceptedNanos()));
			this.queueing.update(micros(attempt.startedNanos() - request.acceptedNanos()));
		}
		else {
			this.betweenTokens.update(micros(now - attempt.lastTokenNanos()));
		}
		attempt.tokenAt(now);
	}

	MetricRegistry registry() {
		return this.registry;
	}

	private static long micros(long nanos) {
		return TimeUnit.NANOSECONDS.toMicros(nanos);
	}

}
