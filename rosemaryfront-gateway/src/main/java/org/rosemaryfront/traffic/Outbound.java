package org.rosemaryfront.traffic;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;

/** What a connection has not taken of the bytes that were written to it. */
final class Outbound {

	private Outbound() {
	}

	/**
	 * Returns the number of bytes that are held for a connection.
	 * @param channel the connection
	 * @return the number, with the overhead of each write; 0 for a closed connection
	 */
	static long pendingBytes(Channel channel) {
		ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
		return (pending != null) ? pending.totalPendingWriteBytes() : 0;
	}

}
