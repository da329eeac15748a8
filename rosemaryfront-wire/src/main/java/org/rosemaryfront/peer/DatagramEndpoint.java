package org.rosemaryfront.peer;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;

import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.membership.MembershipMessage;
import org.rosemaryfront.peer.proto.Datagram;

/**
 * The UDP socket of the membership.
 */
final class DatagramEndpoint implements AutoCloseable {

	private static final long LOG_SPACING_NANOS = TimeUnit.SECONDS.toNanos(10);

	private final Channel channel;

	private final String region;

	private DatagramEndpoint(Channel channel, String region) {
		this.channel = channel;
		this.region = region;
	}

	// -- factories

	static DatagramEndpoint open(EventLoopGroup group, InetSocketAddress address, String region,
			BiConsumer<String, MembershipMessage> receiver) {
		Channel channel = new Bootstrap().group(group)
			.channel(NioDatagramChannel.class)
			.handler(new Receiver(region, receiver))
			.bind(address)
			.syncUninterruptibly()
			.channel();
		return new DatagramEndpoint(channel, region);
	}

	// -- traffic

	/**
	 * Sends a message; one that cannot be sent is lost, like any datagram.
	 * @param address the receiver
	 * @param message the message
	 */
	void send(String address, MembershipMessage message) {
		try {
			InetSocketAddress to = Addresses.parse(address);
			byte[] bytes = DatagramCodec.encode(message, this.region).toByteArray();
			this.channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), to));
		}
		catch (IllegalArgumentException ex) {
			EventLog.warn(MembershipEvents.DATAGRAM_DROPPED, "to", address, "reason", ex.getMessage());
		}
	}

	@Override
	public void close() {
		this.channel.close().syncUninterruptibly();
	}

	private static final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

		private final String region;

		private final BiConsumer<String, MembershipMessage> receiver;

		private long lastLogAt = System.nanoTime() - LOG_SPACING_NANOS;

		private Receiver(String region, BiConsumer<String, MembershipMessage> receiver) {
			this.region = region;
			this.receiver = receiver;
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
			String from = Addresses.format(packet.sender());
			try {
				Datagram datagram = Datagram.parseFrom(ByteBufUtil.getBytes(packet.content()));
				if (DatagramCodec.belongsTo(datagram, this.region)) {
					this.receiver.accept(from, DatagramCodec.decode(datagram));
				}
				else {
					drop(from, "another region");
				}
			}
			catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
				drop(from, ex.getMessage());
			}
		}

		// Anyone can send datagrams; the log must not grow at their rate.
		private void drop(String from, String reason) {
			long now = System.nanoTime();
			if (now - this.lastLogAt >= LOG_SPACING_NANOS) {
				this.lastLogAt = now;
				EventLog.warn(MembershipEvents.DATAGRAM_DROPPED, "from", from, "reason", reason);
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			// A closed port of a dead peer is reported here; the probe finds it out.
		}

	}

}
