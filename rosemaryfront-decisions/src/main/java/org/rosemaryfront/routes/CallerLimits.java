package org.rosemaryfront.routes;

/**
 * Limits on the requests and connections of callers.
 *
 * @param headerBytes the maximum size of the request line and headers, in bytes
 * @param bodyBytes the maximum size of the request body, in bytes
 * @param headerMillis the time limit for receiving the headers of a request, in
 * milliseconds
 * @param idleMillis the time after which a connection without a request is closed, in
 * milliseconds
 */
public record CallerLimits(int headerBytes, long bodyBytes, long headerMillis, long idleMillis) {

	/** The limits in force until a configuration is loaded. */
	public static final CallerLimits INITIAL = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);

}
