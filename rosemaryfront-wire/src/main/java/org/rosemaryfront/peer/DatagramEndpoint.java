package org.rosemaryfront.peer;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoopGroup;

import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.membership.MembershipMessage;
import org.rosemaryfront.peer.proto.Datagram;

/**
 * The UDP socket of the membership.
 */
final class DatagramEndpoint implements AutoCloseable {

	private static final long LOG_SPACING_NANOS = TimeUnit.SECONDS.toNanos(10);

	private final UdpSocket socket;

	private final String region;

	private DatagramEndpoint(UdpSocket socket, String region) {
		this.socket = socket;
		this.region = region;
	}

	// -- factories

	static DatagramEndpoint open(EventLoopGroup group, InetSocketAddress address, String region,
			BiConsumer<String, MembershipMessage> receiver) {
		Receiver datagrams = new Receiver(region, receiver);
		return new DatagramEndpoint(UdpSocket.open(group, address, datagrams::received), region);
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
			this.socket.send(to, DatagramCodec.encode(message, this.region).toByteArray());
		}
		catch (IllegalArgumentException ex) {
			EventLog.warn(MembershipEvents.DATAGRAM_DROPPED, "to", address, "reason", ex.getMessage());
		}
	}

	@Override
	public void close() {
		this.socket.close();
	}

	private static final class Receiver {

		private final String region;

		private final BiConsumer<String, MembershipMessage> receiver;

		private long lastLogAt = System.nanoTime() - LOG_SPACING_NANOS;

		private Receiver(String region, BiConsumer<String, MembershipMessage> receiver) {
			this.region = region;
			this.receiver = receiver;
		}

		private void received(InetSocketAddress sender, byte[] bytes) {
			String from = Addresses.format(sender);
			try {
				Datagram datagram = Datagram.parseFrom(bytes);
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

	}

}
