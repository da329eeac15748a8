package org.rosemaryfront.bench;

import org.rosemaryfront.engine.EngineEvent;
import org.rosemaryfront.model.AttemptId;
import org.rosemaryfront.model.RequestId;
import org.rosemaryfront.serving.ServingEvent.ConnectionFailure;

/** A connection that carries one stream from a runner to an entry process. */
final class Connection {

	/** The time without an event after which an entry calls a connection silent. */
	private static final long SILENCE_NANOS = 1_000 * VirtualTime.MILLI;

	final RequestId request;

	/** The attempt as the entry knows it. */
	final AttemptId attempt;

	private final Entry entry;

	private final VirtualTime time;

	private final long latencyNanos;

	private boolean closed;

	Connection(RequestId request, AttemptId attempt, Entry entry, VirtualTime time, long latencyNanos) {
		this.request = request;
		this.attempt = attempt;
		this.entry = entry;
		this.time = time;
		this.latencyNanos = latencyNanos;
	}

	void deliver(EngineEvent event) {
		if (!this.closed) {
			this.time.after(this.latencyNanos, () -> this.entry.received(this, event));
		}
	}

	void lost() {
		if (!this.closed) {
			this.closed = true;
			this.time.after(this.latencyNanos,
					() -> this.entry.broken(this.attempt, ConnectionFailure.CONNECTION_LOST));
		}
	}

	void silence() {
		if (!this.closed) {
			this.closed = true;
			this.time.after(SILENCE_NANOS, () -> this.entry.broken(this.attempt, ConnectionFailure.SILENT));
		}
	}

}
