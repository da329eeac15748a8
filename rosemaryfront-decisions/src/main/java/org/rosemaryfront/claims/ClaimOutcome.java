package org.rosemaryfront.claims;

import java.util.Collections;
import java.util.Map;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Response of a backend server as stored for repeats.
 *
 * @param status the HTTP status
 * @param headers the stored headers, with names in lower case
 * @param body the body in Base64, empty when it is not stored
 * @param bodyKept whether the body is stored; a body over the size limit is not
 */
public record ClaimOutcome(int status, SortedMap<String, String> headers, String body, boolean bodyKept) {

	public ClaimOutcome {
		headers = Collections.unmodifiableSortedMap(new TreeMap<>(headers));
		Objects.requireNonNull(body, "body is null");
	}

	// -- factories

	/**
	 * Creates an outcome with its body.
	 * @param status the HTTP status
	 * @param headers the stored headers, with names in lower case
	 * @param body the body in Base64
	 * @return the outcome
	 */
	public static ClaimOutcome of(int status, Map<String, String> headers, String body) {
		return new ClaimOutcome(status, new TreeMap<>(headers), body, true);
	}

	/**
	 * Creates an outcome whose body is over the size limit.
	 * @param status the HTTP status
	 * @param headers the stored headers, with names in lower case
	 * @return the outcome
	 */
	public static ClaimOutcome withoutBody(int status, Map<String, String> headers) {
		return new ClaimOutcome(status, new TreeMap<>(headers), "", false);
	}

}
