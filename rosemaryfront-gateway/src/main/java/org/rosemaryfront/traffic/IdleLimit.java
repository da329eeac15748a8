package org.rosemaryfront.traffic;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import io.netty.handler.codec.http.HttpResponse;

/** How long connections to backend servers may be idle. */
final class IdleLimit {

	/** The limit for servers that announce none, in nanoseconds. */
	static final long DEFAULT_NANOS = TimeUnit.SECONDS.toNanos(20);

	/**
	 * How long before the server's own idle limit a connection is no longer used, in
	 * milliseconds. After that limit the server resets the connection, and a call sent
	 * then may have run.
	 */
	private static final long MARGIN_MILLIS = 1_200;

	private static final long MIN_MILLIS = 200;

	/** More digits are no limit that is ever reached. */
	private static final int MAX_DIGITS = 6;

	private static final String TIMEOUT = "timeout=";

	private IdleLimit() {
	}

	/**
	 * Returns the limit that a server announces in a response.
	 * @param head the head of the response
	 * @return the limit in nanoseconds, empty if it announces none
	 */
	static OptionalLong stated(HttpResponse head) {
		String value = head.headers().get("Keep-Alive", "");
		int index = value.indexOf(TIMEOUT);
		String digits = (index >= 0) ? value.substring(index + TIMEOUT.length()).split("[^0-9]", 2)[0] : "";
		if (digits.isEmpty() || digits.length() > MAX_DIGITS) {
			return OptionalLong.empty();
		}
		long millis = Math.max(MIN_MILLIS, TimeUnit.SECONDS.toMillis(Long.parseLong(digits)) - MARGIN_MILLIS);
		return OptionalLong.of(TimeUnit.MILLISECONDS.toNanos(millis));
	}

}
