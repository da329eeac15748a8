package org.rosemaryfront.standin.engine;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

import org.rosemaryfront.engine.EngineEvent;
import org.rosemaryfront.model.AttemptId;

/** A connection that is attached to a stream of an engine. */
final class StreamSubscriber {

	private static final long HEARTBEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	private final Sinks.Many<EngineEvent> sink = Sinks.many().unicast().onBackpressureBuffer();

	private final AttemptId attempt;

	private final Consumer<StreamSubscriber> onCancel;

	private long lastSent;

	private boolean ended;

	StreamSubscriber(AttemptId attempt, long now, Consumer<StreamSubscriber> onCancel) {
		this.attempt = attempt;
		this.onCancel = onCancel;
		this.lastSent = now;
	}

	boolean ended() {
		return this.ended;
	}

	Flux<EngineEvent> events() {
		return this.sink.asFlux().doOnCancel(() -> this.onCancel.accept(this));
	}

	void next(EngineEvent event, long now) {
		this.lastSent = now;
		this.sink.tryEmitNext(event);
		if (event instanceof EngineEvent.Done || event instanceof EngineEvent.Stopped) {
			this.ended = true;
			this.sink.tryEmitComplete();
		}
	}

	void heartbeat(long now) {
		if (now - this.lastSent >= HEARTBEAT_NANOS) {
			next(new EngineEvent.Heartbeat(this.attempt), now);
		}
	}

}
