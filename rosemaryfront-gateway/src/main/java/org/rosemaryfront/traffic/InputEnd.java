package org.rosemaryfront.traffic;

import java.util.function.IntConsumer;
import java.util.function.LongConsumer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;

/**
 * Records how the input from a server ends and how long it is, for the handlers behind
 * it.
 *
 * <p>
 * The decoder of responses completes a response without length at any end of the
 * connection. Only that which the server sent shows that all bytes were received; a
 * connection also ends with a reset, a failed write or a decision of this gateway.
 */
final class InputEnd extends ChannelInboundHandlerAdapter {

	/** Receives the number of bytes of each read, before they are processed. */
	private final IntConsumer onReceived;

	/** Receives the time that it took to process a read, in nanoseconds. */
	private final LongConsumer onProcessed;

	private boolean closedByServer;

	private boolean failed;

	private long bytes;

	InputEnd(IntConsumer onReceived, LongConsumer onProcessed) {
		this.onReceived = onReceived;
		this.onProcessed = onProcessed;
	}

	/**
	 * Returns how many bytes were received on the connection.
	 * @return the number
	 */
	long bytes() {
		return this.bytes;
	}

	/**
	 * Returns whether the input ended before the server closed it.
	 * @return false while the connection is open and after a regular end
	 */
	boolean isFailure() {
		return this.failed;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
		int received = ((ByteBuf) message).readableBytes();
		this.bytes += received;
		this.onReceived.accept(received);
		long startNanos = System.nanoTime();
		super.channelRead(context, message);
		this.onProcessed.accept(System.nanoTime() - startNanos);
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
		this.closedByServer |= event instanceof ChannelInputShutdownEvent;
		super.userEventTriggered(context, event);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) throws Exception {
		this.failed |= !this.closedByServer;
		super.exceptionCaught(context, cause);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) throws Exception {
		this.failed |= !this.closedByServer;
		super.channelInactive(context);
	}

}
