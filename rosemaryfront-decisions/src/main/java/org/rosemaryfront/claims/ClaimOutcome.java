package org.rosemaryfront.claims;

import java.util.Collections;
import java.util.Map;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The answer of a backend server as it is kept for repeats.
 *
 * @param status the HTTP status
 * @param headers the headers of interest, in lower case
 * @param body the body in Base64, empty when it is not kept
 * @param bodyKept whether the body is kept; a body over the limit is not
 */
public record ClaimOutcome(int status, SortedMap<String, String> headers, String body, boolean bodyKept) {

	public ClaimOutcome {
		headers = Collections.unmodifiableSortedMap(new TreeMap<>(headers));
		Objects.requireNonNull(body, "body is null");
	}

	// -- factories

	/**
	 * An answer whose body is kept.
	 * @param status the HTTP status
	 * @param headers the headers of interest, in lower case
	 * @param body the body in Base64
	 * @return the outcome
	 */
	public static ClaimOutcome of(int status, Map<String, String> headers, String body) {
		return new ClaimOutcome(status, new TreeMap<>(headers), body, true);
	}

	/**
	 * An answer whose body is over the limit.
	 * @param status the HTTP status
	 * @param headers the headers of interest, in lower case
	 * @return the outcome
	 */
	public static ClaimOutcome withoutBody(int status, Map<String, String> headers) {
		return new ClaimOutcome(status, new TreeMap<>(headers), "", false);
	}

}
