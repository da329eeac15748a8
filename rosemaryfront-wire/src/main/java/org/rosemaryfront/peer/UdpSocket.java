package org.rosemaryfront.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;

/**
 * A UDP socket. What cannot be sent is lost, like any datagram.
 */
public final class UdpSocket implements AutoCloseable {

	/** The largest datagram that is taken, in bytes; the rest of a larger one is lost. */
	private static final int MOST_BYTES = 16_384;

	/** Datagrams read in one turn of the socket's thread. */
	private static final int MOST_AT_ONCE = 512;

	/** What the system keeps of datagrams that were not read yet, in bytes. */
	private static final int UNREAD_BYTES = 1 << 20;

	private final Channel channel;

	private UdpSocket(Channel channel) {
		this.channel = channel;
	}

	/**
	 * Opens a socket.
	 * @param group the threads of the socket
	 * @param address where datagrams arrive
	 * @param receiver takes the sender and the bytes of each, on the socket's thread
	 * @return the open socket
	 */
	public static UdpSocket open(EventLoopGroup group, InetSocketAddress address,
			BiConsumer<InetSocketAddress, byte[]> receiver) {
		return new UdpSocket(
				bootstrap(group, new Receiver(receiver, true)).bind(address).syncUninterruptibly().channel());
	}

	/**
	 * Opens a socket that is read at times only, all that came at once: with many
	 * senders, waking the thread for each datagram costs more than reading it.
	 * @param group the threads of the socket
	 * @param address where datagrams arrive
	 * @param pause the time between two readings
	 * @param receiver takes the sender and the bytes of each, on the socket's thread
	 * @return the open socket
	 */
	public static UdpSocket openPaced(EventLoopGroup group, InetSocketAddress address, Duration pause,
			BiConsumer<InetSocketAddress, byte[]> receiver) {
		Channel channel = bootstrap(group, new Receiver(receiver, false)).option(ChannelOption.SO_RCVBUF, UNREAD_BYTES)
			.bind(address)
			.syncUninterruptibly()
			.channel();
		Future<?> readings = channel.eventLoop()
			.scheduleWithFixedDelay(() -> channel.config().setAutoRead(true), 0, pause.toMillis(),
					TimeUnit.MILLISECONDS);
		channel.closeFuture().addListener((_) -> readings.cancel(false));
		return new UdpSocket(channel);
	}

	private static Bootstrap bootstrap(EventLoopGroup group, Receiver receiver) {
		return new Bootstrap().group(group)
			.channel(NioDatagramChannel.class)
			.option(ChannelOption.RECVBUF_ALLOCATOR,
					new FixedRecvByteBufAllocator(MOST_BYTES).maxMessagesPerRead(MOST_AT_ONCE))
			.handler(receiver);
	}

	/**
	 * Sends a datagram.
	 * @param to the receiver
	 * @param bytes what to send
	 */
	public void send(InetSocketAddress to, byte[] bytes) {
		this.channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), to));
	}

	/**
	 * Sends datagrams, all in one turn of the socket's thread.
	 * @param datagrams what to send
	 */
	public void send(List<Datagram> datagrams) {
		this.channel.eventLoop().execute(() -> {
			datagrams.forEach((datagram) -> this.channel.write(packet(datagram)));
			this.channel.flush();
		});
	}

	// In the memory that goes to the system, so that nothing is copied twice.
	private DatagramPacket packet(Datagram datagram) {
		ByteBuf bytes = this.channel.alloc().directBuffer(datagram.head().length + datagram.tail().length);
		return new DatagramPacket(bytes.writeBytes(datagram.head()).writeBytes(datagram.tail()), datagram.to());
	}

	@Override
	public void close() {
		this.channel.close().syncUninterruptibly();
	}

	/**
	 * What is sent to one receiver; what all receivers get stands in memory once.
	 *
	 * @param to the receiver
	 * @param head the first bytes
	 * @param tail the bytes behind them
	 */
	public record Datagram(InetSocketAddress to, byte[] head, byte[] tail) {
	}

	private static final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

		private final BiConsumer<InetSocketAddress, byte[]> receiver;

		/** Whether the next datagram is read as soon as it comes. */
		private final boolean atOnce;

		private Receiver(BiConsumer<InetSocketAddress, byte[]> receiver, boolean atOnce) {
			this.receiver = receiver;
			this.atOnce = atOnce;
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
			this.receiver.accept(packet.sender(), ByteBufUtil.getBytes(packet.content()));
		}

		@Override
		public void channelReadComplete(ChannelHandlerContext context) {
			context.channel().config().setAutoRead(this.atOnce);
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			// A closed port of a dead process is reported here; its silence tells.
		}

	}

}
