package org.rosemaryfront.moves;

import org.rosemaryfront.dispatch.BackendServer;

/**
 * A server that may take over runs, with its room as last reported.
 *
 * @param server the server
 * @param freeSlots the slots that are not in use
 * @param freeTokens the tokens that its KV cache has room for
 */
public record MoveTarget(BackendServer server, int freeSlots, long freeTokens) {

	/**
	 * Returns whether a run may go on here.
	 * @param source the server of the run
	 * @return true for another server of the same version that stays
	 */
	boolean canContinue(BackendServer source) {
		return !this.server.leaving() && !this.server.id().equals(source.id())
				&& this.server.service().equals(source.service()) && this.server.version().equals(source.version());
	}

}
