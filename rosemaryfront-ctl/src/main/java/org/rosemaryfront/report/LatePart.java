package org.rosemaryfront.report;

import java.util.EnumMap;
import java.util.Map;

/** The parts of a call's time, of which the longest is why it was late. */
enum LatePart {

	/** Until the call was first sent to a server: its request, limits, permits. */
	WAITED,

	/** Between the first and the last send to a server. */
	SENT_AGAIN,

	/** Until a connection to the server was free. */
	CONNECTION,

	/** At the server, about as long as expected: none had more room. */
	SERVERS_BUSY,

	/** At the server, much longer than expected. */
	SLOW_SERVER,

	/** A pause between events while one server wrote the stream. */
	PAUSE,

	/** A pause between events while the stream went on at another server. */
	MOVED;

	/**
	 * The ratio of the time at a server to the expected time above which the server was
	 * slow.
	 */
	private static final double SLOW_RATIO = 2;

	/**
	 * Returns why the first token, or the response, of a call was late.
	 * @param times the times of the call
	 * @return the longest part
	 */
	static LatePart ofFirstToken(Times times) {
		Map<LatePart, Double> parts = new EnumMap<>(LatePart.class);
		parts.put(WAITED, times.waitedMillis);
		parts.put(SENT_AGAIN, times.sentAgainMillis);
		parts.put(CONNECTION, times.connectionMillis);
		double atServer = times.firstMillis - times.waitedMillis - times.sentAgainMillis - times.connectionMillis;
		boolean slow = times.expectedMillis > 0 && atServer > SLOW_RATIO * times.expectedMillis;
		parts.put(slow ? SLOW_SERVER : SERVERS_BUSY, atServer);
		return parts.entrySet().stream().max(Map.Entry.comparingByValue()).orElseThrow().getKey();
	}

	/**
	 * The times of a call until its first token, in milliseconds.
	 *
	 * @param waitedMillis from its arrival until it was first sent to a server
	 * @param sentAgainMillis from the first choice of a server to the last one
	 * @param connectionMillis from the last choice of a server until it was sent there
	 * @param firstMillis from its arrival to the first token, or to the response
	 * @param expectedMillis the expected time at the last server; 0 if none was
	 */
	record Times(double waitedMillis, double sentAgainMillis, double connectionMillis, double firstMillis,
			double expectedMillis) {
	}

}
