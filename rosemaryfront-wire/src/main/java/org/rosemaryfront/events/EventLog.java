package org.rosemaryfront.events;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

import org.tinylog.Logger;
import org.tinylog.provider.ProviderRegistry;

/**
 * Writes numbered events, one per line: {@code E2001 REQUEST_DISPATCHED request=r1
 * server=vm3}.
 *
 * <p>
 * Lines pass through a bounded queue to a writer thread. If the output is not read, or
 * lines are logged faster than they can be written, lines are dropped and counted; a
 * thread that logs never blocks on the output.
 *
 * <pre>
 * EventLog.info(ServingEvents.REQUEST_DISPATCHED, "request", request, "server", server);
 * </pre>
 */
public final class EventLog {

	/**
	 * The maximum number of queued lines: what a gateway logs in two seconds at maximum
	 * load. At about 200 bytes per line, the queue takes less than 1 MB.
	 */
	private static final int QUEUE_CAPACITY = 4_096;

	private static final long CLOSE_TIMEOUT_MILLIS = 1_000;

	private static final BlockingQueue<Runnable> QUEUE = new ArrayBlockingQueue<>(QUEUE_CAPACITY);

	/** The number of lines that are queued or being written. */
	private static final AtomicInteger UNWRITTEN = new AtomicInteger();

	private static final LongAdder DROPPED = new LongAdder();

	private static final ScopedValue<Boolean> DISCARDED = ScopedValue.newInstance();

	private static final AtomicBoolean WRITER_STARTED = new AtomicBoolean();

	private static volatile long reportedDropped;

	private EventLog() {
	}

	/**
	 * Logs an event of normal operation.
	 * @param code the event
	 * @param fields alternating field names and values
	 */
	public static void info(EventCode code, Object... fields) {
		String line = formatLine(code, fields);
		enqueue(() -> Logger.info(line));
	}

	/**
	 * Logs a failure that the system handles without an operator.
	 * @param code the event
	 * @param fields alternating field names and values
	 */
	public static void warn(EventCode code, Object... fields) {
		String line = formatLine(code, fields);
		enqueue(() -> Logger.warn(line));
	}

	/**
	 * Logs a failure that requires the attention of an operator.
	 * @param code the event
	 * @param fields alternating field names and values
	 */
	public static void error(EventCode code, Object... fields) {
		String line = formatLine(code, fields);
		enqueue(() -> Logger.error(line));
	}

	/**
	 * Logs a failure that requires the attention of an operator, with its stack trace.
	 * @param failure the failure
	 * @param code the event
	 * @param fields alternating field names and values
	 */
	public static void error(Throwable failure, EventCode code, Object... fields) {
		String line = formatLine(code, fields);
		enqueue(() -> Logger.error(failure, line));
	}

	/**
	 * Runs work whose events are not to be seen. They are formatted all the same, but
	 * neither written nor counted as dropped.
	 * @param work the work; threads that it starts log as usual
	 */
	public static void discardDuring(Runnable work) {
		ScopedValue.where(DISCARDED, true).run(work);
	}

	/**
	 * Returns the number of lines dropped since the start of the process.
	 * @return the count
	 */
	public static long dropped() {
		return DROPPED.sum();
	}

	/**
	 * Waits up to one second for the queued lines to be written, then shuts down the
	 * logging provider. Must be the last call of a program.
	 */
	public static void close() {
		try {
			long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CLOSE_TIMEOUT_MILLIS);
			while (UNWRITTEN.get() > 0 && deadline - System.nanoTime() > 0) {
				Thread.sleep(1);
			}
			ProviderRegistry.getLoggingProvider().shutdown();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void enqueue(Runnable line) {
		if (DISCARDED.isBound()) {
			return;
		}
		if (WRITER_STARTED.compareAndSet(false, true)) {
			Thread writer = new Thread(EventLog::runWriter, "log");
			writer.setDaemon(true);
			writer.start();
		}
		UNWRITTEN.incrementAndGet();
		if (!QUEUE.offer(line)) {
			UNWRITTEN.decrementAndGet();
			DROPPED.increment();
		}
	}

	private static void runWriter() {
		try {
			while (true) {
				QUEUE.take().run();
				UNWRITTEN.decrementAndGet();
				reportDropped();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void reportDropped() {
		long dropped = DROPPED.sum();
		if (dropped > reportedDropped && QUEUE.isEmpty()) {
			Logger.warn(formatLine(ProgramEvents.LOG_DROPPED, "lines", dropped - reportedDropped));
			reportedDropped = dropped;
		}
	}

	static String formatLine(EventCode code, Object... fields) {
		StringBuilder line = new StringBuilder().append('E').append(code.number()).append(' ').append(code.name());
		for (int i = 0; i + 1 < fields.length; i += 2) {
			line.append(' ').append(fields[i]).append('=').append(formatValue(fields[i + 1]));
		}
		return line.toString();
	}

	private static String formatValue(Object value) {
		String text = String.valueOf(value);
		boolean unquoted = !text.isEmpty();
		for (int i = 0; unquoted && i < text.length(); i++) {
			char c = text.charAt(i);
			unquoted = c > ' ' && c != '"';
		}
		return unquoted ? text : '"' + text.replace("\"", "'").replaceAll("[\\r\\n]+", " ") + '"';
	}

}
