package org.rosemaryfront.program;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.events.ProgramEvents;

/**
 * The one thread that owns the control state of a program.
 *
 * <p>
 * Other threads post work; the thread runs it in order and then the systems, at the
 * latest after the tick interval. A {@link RuntimeException} in one piece of work is
 * logged and does not end the thread. An {@link Error} ends the process with
 * {@link Program#FAILED}, since a process without its control thread would look alive and
 * decide nothing.
 *
 * <pre>
 * try (ControlLoop loop = ControlLoop.start("control", Duration.ofMillis(5), this::tick)) {
 *     loop.post((now) -> tables.accept(event, now));
 * }
 * </pre>
 */
public final class ControlLoop implements AutoCloseable {

	private static final int BATCH = 256;

	private final LinkedBlockingQueue<Work> work = new LinkedBlockingQueue<>();

	private final AtomicReference<Thread> thread = new AtomicReference<>();

	private final long tickNanos;

	private final Consumer<Long> tick;

	/** Called on the thread before it ends by an error. */
	private final Runnable onError;

	private volatile boolean closed;

	/** How long the oldest work of the last batch had waited. */
	private volatile long lagNanos;

	private ControlLoop(long tickNanos, Consumer<Long> tick, Runnable onError) {
		this.tickNanos = tickNanos;
		this.tick = tick;
		this.onError = onError;
	}

	// -- factories

	/**
	 * Starts a control thread.
	 * @param name the name of the thread
	 * @param interval the greatest time between two ticks
	 * @param tick runs the systems at the given time, {@link System#nanoTime}
	 * @return the running loop
	 */
	public static ControlLoop start(String name, Duration interval, Consumer<Long> tick) {
		return start((work) -> new Thread(work, name), interval, tick);
	}

	/**
	 * Starts a control thread.
	 * @param threads creates the thread
	 * @param interval the greatest time between two ticks
	 * @param tick runs the systems at the given time, {@link System#nanoTime}
	 * @return the running loop
	 */
	public static ControlLoop start(ThreadFactory threads, Duration interval, Consumer<Long> tick) {
		return start(threads, interval, tick, ControlLoop::endProcess);
	}

	static ControlLoop start(ThreadFactory threads, Duration interval, Consumer<Long> tick, Runnable onError) {
		Objects.requireNonNull(tick, "tick is null");
		ControlLoop loop = new ControlLoop(interval.toNanos(), tick, onError);
		Thread thread = threads.newThread(loop::run);
		loop.thread.set(thread);
		thread.start();
		return loop;
	}

	// -- work

	/**
	 * Posts work for the control thread; never blocks.
	 * @param task takes the time at which it runs, {@link System#nanoTime}
	 */
	public void post(Consumer<Long> task) {
		this.work.add(new Work(Objects.requireNonNull(task, "task is null"), System.nanoTime()));
	}

	/**
	 * How far the thread is behind what is posted.
	 * @return how long the oldest work of the last batch had waited, in nanoseconds; 0 if
	 * nothing was posted since the last tick
	 */
	public long lagNanos() {
		return this.lagNanos;
	}

	/**
	 * Ends the thread after the work posted so far.
	 */
	@Override
	public void close() {
		this.closed = true;
		post((_) -> {
		});
		Thread running = this.thread.get();
		if (running != Thread.currentThread()) {
			try {
				running.join(TimeUnit.SECONDS.toMillis(5));
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
	}

	// Without its control thread, the process cannot shut down gracefully.
	private static void endProcess() {
		EventLog.close();
		Runtime.getRuntime().halt(Program.FAILED);
	}

	private void run() {
		try {
			runUntilClosed();
		}
		catch (Error ex) {
			EventLog.error(ex, ProgramEvents.CONTROL_THREAD_FAILED, "cause", ex);
			this.onError.run();
		}
	}

	private void runUntilClosed() {
		long nextTick = System.nanoTime();
		while (!this.closed || !this.work.isEmpty()) {
			boolean worked = runBatch(nextTick - System.nanoTime());
			long now = System.nanoTime();
			if (worked || now - nextTick >= 0) {
				guarded(this.tick, now);
				nextTick = now + this.tickNanos;
			}
		}
	}

	private boolean runBatch(long waitNanos) {
		Work next = take(waitNanos);
		this.lagNanos = (next != null) ? System.nanoTime() - next.postedNanos : 0;
		int count = 0;
		while (next != null) {
			guarded(next.task, System.nanoTime());
			count++;
			next = (count < BATCH) ? this.work.poll() : null;
		}
		return count > 0;
	}

	private Work take(long waitNanos) {
		try {
			return this.work.poll(Math.max(0, waitNanos), TimeUnit.NANOSECONDS);
		}
		catch (InterruptedException ex) {
			this.closed = true;
			return null;
		}
	}

	private static void guarded(Consumer<Long> task, long now) {
		try {
			task.accept(now);
		}
		catch (RuntimeException ex) {
			EventLog.error(ex, ProgramEvents.CONTROL_WORK_FAILED, "cause", ex);
		}
	}

	/**
	 * Work that was posted.
	 *
	 * @param task the work
	 * @param postedNanos when it was posted
	 */
	private record Work(Consumer<Long> task, long postedNanos) {
	}

}
