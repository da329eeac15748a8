package org.rosemaryfront.peer;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.BiConsumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;

/**
 * A UDP socket. What cannot be sent is lost, like any datagram.
 */
public final class UdpSocket implements AutoCloseable {

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
		return new UdpSocket(new Bootstrap().group(group)
			.channel(NioDatagramChannel.class)
			.handler(new Receiver(receiver))
			.bind(address)
			.syncUninterruptibly()
			.channel());
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

		private Receiver(BiConsumer<InetSocketAddress, byte[]> receiver) {
			this.receiver = receiver;
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
			this.receiver.accept(packet.sender(), ByteBufUtil.getBytes(packet.content()));
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			// A closed port of a dead process is reported here; its silence tells.
		}

	}

}
