package org.rosemaryfront.dispatch;

/**
 * Divides the connections that a server accepts among the gateways. Half of them are
 * divided evenly, so that each gateway can begin at once; the other half by the calls in
 * progress, since a load balancer can send most callers of an availability zone to one
 * gateway.
 */
public final class ConnectionShares {

	/**
	 * The fraction of a server's limit that all gateways together use, so that gateways
	 * that have not learned of each other yet stay below the limit.
	 */
	private static final double USED_FRACTION = 0.8;

	private static final double EVEN_FRACTION = 0.5;

	/** A gateway can use a second connection while one of them ends. */
	private static final int MIN_CONNECTIONS = 2;

	private ConnectionShares() {
	}

	/**
	 * Returns the connections to one server that a gateway may open.
	 * @param limit the connections that the server accepts from all gateways
	 * @param gateways the number of gateways
	 * @param ownCalls the calls of the service in progress at this gateway
	 * @param allCalls the calls of the service in progress at all gateways
	 * @return the number of connections
	 */
	public static int connections(int limit, int gateways, int ownCalls, int allCalls) {
		double even = 1.0 / gateways;
		double byLoad = (allCalls > 0) ? Math.min(1, (double) ownCalls / allCalls) : even;
		double share = EVEN_FRACTION * even + (1 - EVEN_FRACTION) * byLoad;
		return Math.max(MIN_CONNECTIONS, (int) (limit * USED_FRACTION * share));
	}

}
