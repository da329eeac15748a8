package org.rosemaryfront.entry;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.serving.ServingEvent;

/**
 * Looks after the held answers: heartbeats, callers that take nothing, requests that
 * nobody reads any more, and ended answers that have stayed long enough.
 */
final class StreamCare {

	/**
	 * How long a request goes on without a reader when its caller cannot come back, since
	 * it was never told the identifier; covers the moment before its first reader.
	 */
	private static final long UNRESUMABLE_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private final StreamTable streams;

	private final AttemptTraffic traffic;

	private final DecisionRing decisions;

	private final EntryMetrics metrics;

	private final Consumer<ServingEvent> control;

	private final long heartbeatNanos;

	private final long stallNanos;

	private final long graceNanos;

	StreamCare(StreamTable streams, AttemptTraffic traffic, DecisionRing decisions, EntryMetrics metrics,
			Consumer<ServingEvent> control, EntrySettings.Streams settings) {
		this.streams = streams;
		this.traffic = traffic;
		this.decisions = decisions;
		this.metrics = metrics;
		this.control = control;
		this.heartbeatNanos = TimeUnit.MILLISECONDS.toNanos(settings.heartbeatMillis());
		this.stallNanos = TimeUnit.MILLISECONDS.toNanos(settings.stallMillis());
		this.graceNanos = TimeUnit.MILLISECONDS.toNanos(settings.graceMillis());
	}

	/**
	 * Goes over all answers once; never blocks.
	 */
	void tick() {
		long now = System.nanoTime();
		for (AnswerStream stream : this.streams.all()) {
			stream.tick(now, this.heartbeatNanos, this.stallNanos);
			long grace = stream.canResume() ? this.graceNanos : UNRESUMABLE_GRACE_NANOS;
			if (stream.isOpen() && stream.idleNanos(now) > grace && stream.abandon()) {
				abandoned(stream);
			}
		}
		this.streams.expire(now);
		this.traffic.expire();
	}

	private void abandoned(AnswerStream stream) {
		EventLog.info(ServingEvents.REQUEST_ABANDONED, "request", stream.request().id(), "tokens", stream.size());
		this.decisions.add(stream.request().id(), "abandoned tokens=" + stream.size());
		this.metrics.abandoned();
		this.control.accept(new ServingEvent.RequestAbandoned(stream.request().id()));
	}

}
