package org.rosemaryfront.entry;

import java.io.IOException;
import java.nio.channels.ClosedChannelException;

import reactor.netty.channel.AbortedException;

/**
 * Recognises failures that only mean that the caller went away.
 */
final class AbortedRequests {

	private AbortedRequests() {
	}

	/**
	 * Whether a failure means that the caller's connection is gone.
	 * @param failure the failure
	 * @return whether nobody is left to answer
	 */
	static boolean isAborted(Throwable failure) {
		return failure instanceof AbortedException || failure instanceof ClosedChannelException
				|| (failure instanceof IOException && AbortedException.isConnectionReset(failure));
	}

}
