package org.rosemaryfront.engine;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.LongAdder;

import io.netty.buffer.ByteBuf;

import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.model.AttemptId;

/**
 * Passes on the events of one attempt, each token once and in order.
 *
 * <p>
 * Guards against an answer that arrives late on a connection, or from an engine that
 * mixes streams up: it would show as words of another caller's answer. Nothing passes
 * that names another attempt, and a token passes only when it is the next one, so that a
 * mixed-up stream ends as a broken one and is resumed.
 */
final class StreamGuard {

	private final EventLines lines = new EventLines();

	private final AttemptId attempt;

	private final LongAdder dropped;

	private int next;

	private boolean ended;

	StreamGuard(AttemptId attempt, int next, LongAdder dropped) {
		this.attempt = attempt;
		this.next = next;
		this.dropped = dropped;
	}

	boolean ended() {
		return this.ended;
	}

	List<EngineEvent> feed(ByteBuf chunk) throws IOException {
		List<EngineEvent> events = this.lines.feed(chunk);
		List<EngineEvent> passed = new ArrayList<>(events.size());
		for (EngineEvent event : events) {
			if (!this.ended && belongs(event)) {
				passed.add(event);
			}
		}
		return passed;
	}

	private boolean belongs(EngineEvent event) throws IOException {
		if (!event.attempt().equals(this.attempt)) {
			return drop(event);
		}
		switch (event) {
			case EngineEvent.Token token -> {
				if (token.index() < this.next) {
					return drop(event);
				}
				if (token.index() > this.next) {
					throw new IOException("token " + token.index() + " came in place of " + this.next);
				}
				this.next++;
			}
			case EngineEvent.Done done -> {
				if (done.tokens() != this.next) {
					throw new IOException("the answer ends at " + done.tokens() + " after " + this.next + " tokens");
				}
				this.ended = true;
			}
			case EngineEvent.Stopped _ -> this.ended = true;
			case EngineEvent.Accepted _, EngineEvent.Heartbeat _ -> {
			}
		}
		return true;
	}

	private boolean drop(EngineEvent event) {
		this.dropped.increment();
		EventLog.warn(EngineClientEvents.ENGINE_EVENT_DROPPED, "attempt", this.attempt, "event", event);
		return false;
	}

}
