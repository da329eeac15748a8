package org.rosemaryfront.entry;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import reactor.core.publisher.FluxSink;

import org.rosemaryfront.events.EventLog;

/**
 * One reader of an answer: emits events as fast as its connection asks for them.
 */
final class AnswerReader {

	private final AnswerStream stream;

	private final FluxSink<AnswerEvent> sink;

	private final AtomicInteger pending = new AtomicInteger();

	private final AtomicBoolean heartbeatDue = new AtomicBoolean();

	private int position;

	private boolean ended;

	private volatile long emittedNanos = System.nanoTime();

	private volatile boolean starved;

	AnswerReader(AnswerStream stream, FluxSink<AnswerEvent> sink, int position) {
		this.stream = stream;
		this.sink = sink;
		this.position = position;
	}

	/**
	 * Emits what is there and asked for. Serialised: a call during another one makes that
	 * one go round again.
	 */
	void drain() {
		if (this.pending.getAndIncrement() != 0) {
			return;
		}
		int missed = 1;
		do {
			emitAvailable();
			missed = this.pending.addAndGet(-missed);
		}
		while (missed != 0);
	}

	/**
	 * Sends a heartbeat when one is due; gives up on a caller that takes nothing.
	 *
	 * <p>
	 * Guards against a connection that has gone silent for good: the caller's host no
	 * longer acknowledges anything, demand stays at zero while events wait, and the
	 * connection would hold its buffers until the end of the process.
	 * @param now the time on the monotonic clock, in nanoseconds
	 * @param heartbeatNanos the time without an event after which a heartbeat is due
	 * @param stallNanos the time without demand after which the reader is given up
	 */
	void tick(long now, long heartbeatNanos, long stallNanos) {
		long quiet = now - this.emittedNanos;
		if (this.starved && quiet > stallNanos) {
			EventLog.warn(ServingEvents.CALLER_STALLED, "request", this.stream.request().id());
			this.sink.error(new IllegalStateException("the caller takes nothing"));
		}
		else if (quiet > heartbeatNanos) {
			this.heartbeatDue.set(true);
			drain();
		}
	}

	private void emitAvailable() {
		while (!this.ended && !this.sink.isCancelled()) {
			Optional<AnswerEvent> next = next();
			if (next.isEmpty()) {
				this.starved = false;
				return;
			}
			if (this.sink.requestedFromDownstream() == 0) {
				this.starved = true;
				return;
			}
			emit(next.get());
		}
	}

	private Optional<AnswerEvent> next() {
		Optional<AnswerEvent> event = this.stream.eventAt(this.position);
		if (event.isEmpty() && this.heartbeatDue.get()) {
			return Optional.of(new AnswerEvent.Heartbeat());
		}
		return event;
	}

	private void emit(AnswerEvent event) {
		this.emittedNanos = System.nanoTime();
		this.heartbeatDue.set(false);
		this.starved = false;
		this.sink.next(event);
		switch (event) {
			case AnswerEvent.Token _ -> this.position++;
			case AnswerEvent.Heartbeat _ -> {
			}
			case AnswerEvent.Finished _, AnswerEvent.Failed _, AnswerEvent.Moved _ -> {
				this.ended = true;
				this.sink.complete();
			}
		}
	}

}
