package org.rosemaryfront.traffic;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;

/**
 * Limits the share of the traffic thread that connections take whose responses come in
 * very many small parts. Each of them waits for its turn to be read; all other
 * connections are read as before. Confined to the traffic thread.
 */
final class ReadPacing {

	/**
	 * The number of parts in one read from which on a connection waits. The events of a
	 * stream that was not read for a while are fewer in most cases.
	 */
	private static final int MANY_PARTS = 128;

	/** The time without such reads, as a multiple of the time that one took. */
	private static final int PAUSE_FACTOR = 3;

	private static final long MIN_PAUSE_NANOS = TimeUnit.MICROSECONDS.toNanos(100);

	private static final long MAX_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	private final EventLoop loop;

	private final Deque<Runnable> waiting = new ArrayDeque<>();

	private boolean scheduled;

	private volatile long awaitedCount;

	/** The time that such reads took since the last turn. */
	private long spentNanos;

	ReadPacing(EventLoop loop) {
		this.loop = loop;
	}

	/**
	 * Returns whether a connection has to wait before it is read again.
	 * @param parts the number of parts in the last read
	 * @return whether they were very many
	 */
	static boolean isDue(int parts) {
		return parts >= MANY_PARTS;
	}

	/**
	 * Returns how often a connection waited for its turn, on any thread.
	 * @return the count
	 */
	long awaitedCount() {
		return this.awaitedCount;
	}

	/**
	 * Lets a connection wait for its turn.
	 * @param readNanos the time that its last read took, in nanoseconds
	 * @param resume continues reading
	 */
	void await(long readNanos, Runnable resume) {
		this.awaitedCount = this.awaitedCount + 1;
		this.spentNanos += readNanos;
		this.waiting.add(resume);
		scheduleNext();
	}

	private void scheduleNext() {
		if (this.scheduled || this.waiting.isEmpty()) {
			return;
		}
		long pause = Math.clamp(PAUSE_FACTOR * this.spentNanos, MIN_PAUSE_NANOS, MAX_PAUSE_NANOS);
		this.spentNanos = 0;
		this.scheduled = true;
		this.loop.schedule(this::resumeNext, pause, TimeUnit.NANOSECONDS);
	}

	private void resumeNext() {
		this.scheduled = false;
		this.waiting.remove().run();
		scheduleNext();
	}

}
