package org.rosemaryfront.events;

import org.tinylog.Logger;
import org.tinylog.provider.ProviderRegistry;

/**
 * Writes numbered events, one a line: {@code E2001 REQUEST_DISPATCHED request=r1
 * server=vm3}.
 *
 * <pre>
 * EventLog.info(ServingEvents.REQUEST_DISPATCHED, "request", request, "server", server);
 * </pre>
 */
public final class EventLog {

	private EventLog() {
	}

	/**
	 * Logs something that belongs to normal work.
	 * @param code the event
	 * @param fields names and values in turn
	 */
	public static void info(EventCode code, Object... fields) {
		Logger.info(() -> line(code, fields));
	}

	/**
	 * Logs a failure that the system handles.
	 * @param code the event
	 * @param fields names and values in turn
	 */
	public static void warn(EventCode code, Object... fields) {
		Logger.warn(() -> line(code, fields));
	}

	/**
	 * Logs a failure that a person must look at.
	 * @param code the event
	 * @param fields names and values in turn
	 */
	public static void error(EventCode code, Object... fields) {
		Logger.error(() -> line(code, fields));
	}

	/**
	 * Logs a failure that a person must look at, with its stack trace.
	 * @param failure the failure
	 * @param code the event
	 * @param fields names and values in turn
	 */
	public static void error(Throwable failure, EventCode code, Object... fields) {
		Logger.error(failure, () -> line(code, fields));
	}

	/**
	 * Writes what is still to be written and ends the log; the last call of a program.
	 */
	public static void close() {
		try {
			ProviderRegistry.getLoggingProvider().shutdown();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
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
		String text = String.valueOf(value).replace("\"", "'").replaceAll("[\\r\\n]+", " ");
		return (text.indexOf(' ') >= 0 || text.isEmpty()) ? "\"" + text + "\"" : text;
	}

}
