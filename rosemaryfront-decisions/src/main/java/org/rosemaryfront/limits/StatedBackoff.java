package org.rosemaryfront.limits;

import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

/**
 * How long a backend server states in a rejection that it wants no further requests from
 * the machine that it rejected.
 */
public sealed interface StatedBackoff {

	/**
	 * The longest backoff that is kept. After it, a request finds out whether the server
	 * still wants more.
	 */
	long MAX_MILLIS = TimeUnit.MINUTES.toMillis(10);

	/**
	 * Creates the statement of a server that wants no backoff.
	 * @return no backoff
	 */
	static StatedBackoff none() {
		return new None();
	}

	/**
	 * Creates the statement of a time.
	 * @param millis the time in milliseconds; 0 for no backoff
	 * @return the statement, at most the longest backoff that is kept
	 */
	static StatedBackoff ofMillis(long millis) {
		return (millis > 0) ? new For(Math.min(MAX_MILLIS, millis)) : none();
	}

	/**
	 * Parses the values of a header. A date, which the field's standard also allows, is
	 * unreadable, since the clocks of servers are not known.
	 * @param values the values, each a decimal number of seconds
	 * @return the longest valid backoff, none without values, unreadable if no value is
	 * valid
	 */
	static StatedBackoff parse(List<String> values) {
		if (values.isEmpty()) {
			return none();
		}
		OptionalDouble longest = values.stream()
			.map(String::trim)
			.filter(Decimal::isValid)
			.mapToDouble(Double::parseDouble)
			.max();
		if (longest.isEmpty()) {
			return new Unreadable(Decimal.shortened(values.getFirst()));
		}
		return ofMillis((long) Math.ceil(longest.getAsDouble() * 1_000));
	}

	/** The server wants no backoff. */
	record None() implements StatedBackoff {
	}

	/**
	 * The server wants a backoff.
	 *
	 * @param millis the time in milliseconds, positive
	 */
	record For(long millis) implements StatedBackoff {
	}

	/**
	 * The time cannot be parsed.
	 *
	 * @param text the beginning of the value
	 */
	record Unreadable(String text) implements StatedBackoff {
	}

}
