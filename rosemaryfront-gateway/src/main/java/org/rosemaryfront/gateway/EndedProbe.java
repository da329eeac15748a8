package org.rosemaryfront.gateway;

import java.net.InetSocketAddress;
import java.net.PortUnreachableException;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioDatagramChannel;

/**
 * Finds out whether the process of another gateway has ended: the system of its VM then
 * says that nobody receives at its address. A gateway that is cut off or stands still
 * shows nothing. Confined to one event loop.
 */
final class EndedProbe {

	private static final long TIMEOUT_MILLIS = 500;

	/** Messages about streams, none of them; a running gateway does nothing with it. */
	private static final byte[] EMPTY_MESSAGES = { PeerExchange.STREAM_MESSAGES };

	private final EventLoop loop;

	private final Set<InetSocketAddress> open = new HashSet<>();

	EndedProbe(EventLoop loop) {
		this.loop = loop;
	}

	/**
	 * Sends a probe, unless one is under way.
	 * @param address the address at which the gateway receives reports
	 * @param ended called if the process has ended
	 */
	void send(InetSocketAddress address, Runnable ended) {
		if (!this.open.add(address)) {
			return;
		}
		ChannelFuture connected = new Bootstrap().group(this.loop)
			.channel(NioDatagramChannel.class)
			.handler(new Refusal(ended))
			.connect(address);
		Channel channel = connected.channel();
		channel.closeFuture().addListener((_) -> this.open.remove(address));
		connected.addListener((result) -> {
			ByteBuf message = Unpooled.wrappedBuffer(EMPTY_MESSAGES);
			if (result.isSuccess()) {
				channel.writeAndFlush(message);
			}
			else {
				message.release();
			}
		});
		this.loop.schedule((Runnable) channel::close, TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

	/** Waits for the word that nobody receives at an address. */
	private static final class Refusal extends ChannelInboundHandlerAdapter {

		private final Runnable ended;

		private Refusal(Runnable ended) {
			this.ended = ended;
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			if (cause instanceof PortUnreachableException) {
				this.ended.run();
			}
			context.close();
		}

	}

}
