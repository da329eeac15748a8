package org.rosemaryfront.routes;

/**
 * What a caller may send, and how long it may take.
 *
 * @param headerBytes the greatest size of a request's line and headers
 * @param bodyBytes the greatest size of a request's body
 * @param headerMillis the time for a request's headers, in milliseconds
 * @param idleMillis the time that a connection may stay without a request, in
 * milliseconds
 */
public record CallerLimits(int headerBytes, long bodyBytes, long headerMillis, long idleMillis) {

	/** In force while no configuration is known. */
	public static final CallerLimits INITIAL = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);

}
