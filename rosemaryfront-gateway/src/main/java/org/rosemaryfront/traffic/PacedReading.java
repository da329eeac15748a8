package org.rosemaryfront.traffic;

import io.netty.channel.Channel;

/**
 * Whether a connection is read: its caller accepts more, and its last read did not have
 * so many parts that it waits for its turn, see {@link ReadPacing}.
 */
final class PacedReading {

	private final ReadPacing pacing;

	/** Whether the caller accepts more of the response. */
	private boolean wanted = true;

	private boolean awaitingTurn;

	private int partsOfRead;

	PacedReading(ReadPacing pacing) {
		this.pacing = pacing;
	}

	/** Records that a part of a response was decoded. */
	void partReceived() {
		this.partsOfRead++;
	}

	/**
	 * Lets the connection wait for its turn if the last read had very many parts.
	 * @param channel the connection
	 * @param nanos the time that the read took, in nanoseconds
	 */
	void readProcessed(Channel channel, long nanos) {
		int parts = this.partsOfRead;
		this.partsOfRead = 0;
		if (ReadPacing.isDue(parts) && !this.awaitingTurn && channel.isActive()) {
			awaitingTurn(channel, true);
			this.pacing.await(nanos, () -> awaitingTurn(channel, false));
		}
	}

	/**
	 * Sets whether the caller accepts more of the response.
	 * @param channel the connection
	 * @param accepted whether the connection is to be read
	 */
	void wanted(Channel channel, boolean accepted) {
		this.wanted = accepted;
		apply(channel);
	}

	private void awaitingTurn(Channel channel, boolean waits) {
		this.awaitingTurn = waits;
		apply(channel);
	}

	private void apply(Channel channel) {
		channel.config().setAutoRead(this.wanted && !this.awaitingTurn);
	}

}
