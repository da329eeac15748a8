package org.rosemaryfront.gateway;

import java.net.Socket;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

/** Draws the answers that servers give again when the next one on a connection is due. */
final class RepeatedAnswers {

	/** One of this many calls fails at each server. */
	private static final int FAILING_INTERVAL = 5;

	/** One of this many answers is given again. */
	private static final int REPEATED_INTERVAL = 4;

	private final Random random;

	/** The last call on each connection. */
	private final Map<Socket, String> lastCalls = new ConcurrentHashMap<>();

	RepeatedAnswers(long seed) {
		this.random = new Random(seed);
	}

	boolean isFailing(String call) {
		return call.hashCode() % FAILING_INTERVAL == 0;
	}

	/**
	 * Returns what is sent before the answer to a call.
	 * @param connection the connection
	 * @param call the call
	 * @return a success with or without the name of the call before it on the connection,
	 * or a part of one; mostly empty
	 */
	String before(Socket connection, String call) {
		String last = this.lastCalls.put(connection, call);
		synchronized (this.random) {
			if (last == null || this.random.nextInt(REPEATED_INTERVAL) > 0) {
				return "";
			}
			String name = this.random.nextBoolean() ? "Call: " + last + "\r\n" : "";
			String answer = "HTTP/1.1 200 OK\r\n" + name
					+ "Signature: s\r\nContent-Type: text/event-stream\r\nContent-Length: 11\r\n\r\ndata: old\n\n";
			return this.random.nextBoolean() ? answer : answer.substring(0, this.random.nextInt(answer.length()));
		}
	}

}
