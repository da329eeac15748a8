package org.rosemaryfront.entry;

import java.util.concurrent.atomic.AtomicBoolean;

import reactor.core.Disposable;
import reactor.core.Disposables;

import org.rosemaryfront.model.AttemptId;
import org.rosemaryfront.model.RequestId;
import org.rosemaryfront.model.VmId;

/**
 * An attempt and its connection to an engine.
 */
final class RunningAttempt {

	private final RequestId request;

	private final AttemptId id;

	private final AttemptId stream;

	private final VmId server;

	private final String address;

	private final long startedNanos;

	private final Disposable.Swap connection = Disposables.swap();

	private final AtomicBoolean reported = new AtomicBoolean();

	private volatile long lastTokenNanos;

	RunningAttempt(RequestId request, AttemptId id, AttemptId stream, VmId server, String address, long startedNanos) {
		this.request = request;
		this.id = id;
		this.stream = stream;
		this.server = server;
		this.address = address;
		this.startedNanos = startedNanos;
		this.lastTokenNanos = startedNanos;
	}

	/**
	 * Notes the connection; closes it when the attempt was disconnected meanwhile.
	 * @param opened the connection
	 */
	void connected(Disposable opened) {
		this.connection.update(opened);
	}

	/**
	 * Closes the connection; the engine's stream goes on.
	 */
	void disconnect() {
		this.reported.set(true);
		this.connection.dispose();
	}

	/**
	 * Claims the right to report how the attempt ended, so that it is reported once.
	 * @return whether nothing was reported before
	 */
	boolean claimReport() {
		return this.reported.compareAndSet(false, true);
	}

	boolean isReported() {
		return this.reported.get();
	}

	RequestId request() {
		return this.request;
	}

	AttemptId id() {
		return this.id;
	}

	/**
	 * The identifier under which the engine knows the stream.
	 * @return the first attempt of the stream
	 */
	AttemptId stream() {
		return this.stream;
	}

	VmId server() {
		return this.server;
	}

	String address() {
		return this.address;
	}

	long lastTokenNanos() {
		return this.lastTokenNanos;
	}

	void tokenAt(long now) {
		this.lastTokenNanos = now;
	}

	long startedNanos() {
		return this.startedNanos;
	}

}
