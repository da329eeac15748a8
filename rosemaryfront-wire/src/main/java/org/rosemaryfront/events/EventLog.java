package org.rosemaryfront.events;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
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
	private static final int WAITING_LINES = 4_096;

	private static final long CLOSE_MILLIS = 1_000;

	private static final BlockingQueue<Runnable> WAITING = new ArrayBlockingQueue<>(WAITING_LINES);

	private static final LongAdder DROPPED = new LongAdder();

	private static final AtomicBoolean STARTED = new AtomicBoolean();

	private static volatile long reported;

	private EventLog() {
	}

	/**
	 * Logs an event of normal operation.
	 * @param code the event
	 * @param fields alternating field names and values
	 */
	public static void info(EventCode code, Object... fields) {
		String line = line(code, fields);
		write(() -> Logger.info(line));
	}

	/**
	 * Logs a failure that the system handles without an operator.
	 * @param code the event
	 * @param fields alternating field names and values
	 */
	public static void warn(EventCode code, Object... fields) {
		String line = line(code, fields);
		write(() -> Logger.warn(line));
	}

	/**
	 * Logs a failure that requires the attention of an operator.
	 * @param code the event
	 * @param fields alternating field names and values
	 */
	public static void error(EventCode code, Object... fields) {
		String line = line(code, fields);
		write(() -> Logger.error(line));
	}

	/**
	 * Logs a failure that requires the attention of an operator, with its stack trace.
	 * @param failure the failure
	 * @param code the event
	 * @param fields alternating field names and values
	 */
	public static void error(Throwable failure, EventCode code, Object... fields) {
		String line = line(code, fields);
		write(() -> Logger.error(failure, line));
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
			long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CLOSE_MILLIS);
			while (!WAITING.isEmpty() && until - System.nanoTime() > 0) {
				Thread.sleep(1);
			}
			ProviderRegistry.getLoggingProvider().shutdown();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void write(Runnable line) {
		if (STARTED.compareAndSet(false, true)) {
			Thread writer = new Thread(EventLog::writeAll, "log");
			writer.setDaemon(true);
			writer.start();
		}
		if (!WAITING.offer(line)) {
			DROPPED.increment();
		}
	}

	private static void writeAll() {
		try {
			while (true) {
				WAITING.take().run();
				reportDropped();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void reportDropped() {
		long dropped = DROPPED.sum();
		if (dropped > reported && WAITING.isEmpty()) {
			Logger.warn(line(ProgramEvents.LOG_DROPPED, "lines", dropped - reported));
			reported = dropped;
		}
	}

	static String line(EventCode code, Object... fields) {
		StringBuilder line = new StringBuilder().append('E').append(code.number()).append(' ').append(code.name());
		for (int i = 0; i + 1 < fields.length; i += 2) {
			line.append(' ').append(fields[i]).append('=').append(value(fields[i + 1]));
		}
		return line.toString();
	}

	private static String value(Object value) {
		String text = String.valueOf(value);
		boolean plain = !text.isEmpty();
		for (int i = 0; plain && i < text.length(); i++) {
			char c = text.charAt(i);
			plain = c > ' ' && c != '"';
		}
		return plain ? text : '"' + text.replace("\"", "'").replaceAll("[\\r\\n]+", " ") + '"';
	}

}
