package org.rosemaryfront.limits;

import java.util.List;
import java.util.OptionalDouble;

/**
 * What a backend server states in a response about the rate of requests that it takes
 * from all gateways together.
 */
public sealed interface StatedLimit {

	/**
	 * Creates the statement of a server that takes any number of requests.
	 * @return no limit
	 */
	static StatedLimit none() {
		return new None();
	}

	/**
	 * Creates a stated limit.
	 * @param requests the requests per second, not negative
	 * @return the limit
	 */
	static StatedLimit perSecond(double requests) {
		return new PerSecond(requests);
	}

	/**
	 * Creates the statement of a response that says nothing about the server's limit.
	 * @return no statement
	 */
	static StatedLimit unknown() {
		return new Unknown();
	}

	/**
	 * Parses the values of a header.
	 * @param values the values, each a decimal number of requests per second
	 * @return the lowest valid limit, none without values, unreadable if no value is
	 * valid
	 */
	static StatedLimit parse(List<String> values) {
		if (values.isEmpty()) {
			return none();
		}
		OptionalDouble lowest = values.stream()
			.map(String::trim)
			.filter(Decimal::isValid)
			.mapToDouble(Double::parseDouble)
			.min();
		return lowest.isPresent() ? perSecond(lowest.getAsDouble())
				: new Unreadable(Decimal.shortened(values.getFirst()));
	}

	/** The server takes any number of requests. */
	record None() implements StatedLimit {
	}

	/**
	 * The server takes a limited number of requests.
	 *
	 * @param requests the requests per second from all gateways together
	 */
	record PerSecond(double requests) implements StatedLimit {
	}

	/** The response does not tell whether the server has a limit. */
	record Unknown() implements StatedLimit {
	}

	/**
	 * The limit cannot be parsed, so that the server may have any limit.
	 *
	 * @param text the beginning of the value
	 */
	record Unreadable(String text) implements StatedLimit {
	}

}
