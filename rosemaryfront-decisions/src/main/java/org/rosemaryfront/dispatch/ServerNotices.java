package org.rosemaryfront.dispatch;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.rosemaryfront.dispatch.BackendServer.Incarnation;

/**
 * Which backend servers have said that they want no requests. Safe to use on any thread,
 * so that it can be asked right before a request is sent.
 */
public final class ServerNotices {

	/** Far more servers than are leaving at the same time. */
	private static final int MAX_LEAVING = 8_192;

	private final Set<Incarnation> leaving = ConcurrentHashMap.newKeySet();

	/**
	 * Records that a server is leaving, which is final for this run of it.
	 * @param server the run of the server
	 * @return whether this was not known
	 */
	public boolean recordLeaving(Incarnation server) {
		if (this.leaving.size() >= MAX_LEAVING) {
			this.leaving.remove(this.leaving.iterator().next());
		}
		return this.leaving.add(server);
	}

	/**
	 * Returns whether a server has said that it is leaving.
	 * @param server the run of the server
	 * @return true from then on
	 */
	public boolean isLeaving(Incarnation server) {
		return this.leaving.contains(server);
	}

	/**
	 * Returns whether a request may be sent to a server.
	 * @param server the run of the server
	 * @return false once it is leaving
	 */
	public boolean permits(Incarnation server) {
		return !isLeaving(server);
	}

}
