package org.rosemaryfront.limits;

/**
 * What a backend server states about itself in the head of a response.
 *
 * @param limit the requests per second that it takes from all gateways together
 * @param rejectionLimit the rejections per second that it withstands
 * @param leaving whether it is leaving
 * @param backoff how long it wants no requests from the machine that it responds to
 */
public record ServerStatements(StatedLimit limit, StatedLimit rejectionLimit, StatedLeaving leaving,
		StatedBackoff backoff) {

	private static final ServerStatements UNKNOWN = new ServerStatements(StatedLimit.unknown(), StatedLimit.unknown(),
			StatedLeaving.NOT_STATED, StatedBackoff.none());

	/**
	 * Returns the statements of a response that says nothing about the server, such as
	 * that of another server.
	 * @return no statements
	 */
	public static ServerStatements unknown() {
		return UNKNOWN;
	}

}
