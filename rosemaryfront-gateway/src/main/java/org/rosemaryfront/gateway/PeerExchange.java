package org.rosemaryfront.gateway;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;

import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;

import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.fleet.Fleet.Confirmation;
import org.rosemaryfront.gateway.proto.GatewayReport;
import org.rosemaryfront.peer.UdpSocket;
import org.rosemaryfront.peer.UdpSocket.Datagram;

/**
 * Carries reports between this gateway and the others. Used on the control thread, but
 * for the socket.
 */
final class PeerExchange implements AutoCloseable {

	/** The time between two readings of what the others told; no longer than a tick. */
	private static final Duration READ_PAUSE = Duration.ofMillis(50);

	/** Gateways that were heard and do not live get one report of so many. */
	private static final int REPORTS_PER_KNOCK = 4;

	/** Its multiples are spread evenly between whole numbers, however many there are. */
	private static final double GOLDEN_SECTION = 0.618_033_988_749_895;

	private static final byte[] NOTHING = {};

	private final String self;

	private final int start;

	private final UdpSocket socket;

	private final Map<String, Peer> peers = new HashMap<>();

	private int number;

	/** The last report without what it confirms; empty before the first. */
	private byte[] last = NOTHING;

	private PeerExchange(String self, int start, UdpSocket socket) {
		this.self = self;
		this.start = start;
		this.socket = socket;
	}

	/**
	 * Opens the socket.
	 * @param loop the thread of the socket
	 * @param address where reports arrive
	 * @param self the name of this gateway
	 * @param start tells starts of this gateway apart
	 * @param receiver takes each report, on the socket's thread
	 * @return the exchange
	 */
	static PeerExchange open(EventLoop loop, InetSocketAddress address, String self, int start,
			Consumer<Heard> receiver) {
		UdpSocket socket = UdpSocket.openPaced(loop, address, READ_PAUSE,
				(from, bytes) -> received(from, bytes, receiver));
		return new PeerExchange(self, start, socket);
	}

	// -- sending

	/**
	 * Notes a gateway that the table service names.
	 * @param gateway its name
	 * @param address where its reports arrive
	 */
	void found(String gateway, InetSocketAddress address) {
		if (!gateway.equals(this.self)) {
			this.peers.computeIfAbsent(gateway, (_) -> new Peer()).address = address;
		}
	}

	/**
	 * The number of the report that goes out next.
	 * @return from 1 up
	 */
	int nextNumber() {
		return this.number + 1;
	}

	/**
	 * Tells all gateways.
	 * @param report what to tell, without the sender
	 * @param living whether a gateway lives
	 * @param confirmation what the report to a gateway confirms
	 */
	void tell(GatewayReport.Builder report, Predicate<String> living,
			Function<String, Optional<Confirmation>> confirmation) {
		this.number++;
		this.last = report.setGateway(this.self).setStart(this.start).setNumber(this.number).build().toByteArray();
		boolean knocks = this.number % REPORTS_PER_KNOCK == 1;
		List<Datagram> datagrams = new ArrayList<>();
		this.peers.forEach((gateway, peer) -> {
			if (knocks || !peer.heard || living.test(gateway)) {
				datagrams.add(datagram(peer, confirmation.apply(gateway)));
			}
		});
		Collections.rotate(datagrams, first(this.number, datagrams.size()));
		this.socket.send(datagrams);
	}

	// A slow link loses the end of what is sent at once: it is another end each time, far
	// from those of the times before.
	private static int first(int number, int count) {
		double part = number * GOLDEN_SECTION;
		return (int) ((part - Math.floor(part)) * count);
	}

	/**
	 * Sends the last report once more to a gateway that waits for its confirmation.
	 * @param gateway the gateway, heard before
	 * @param confirmation what the report confirms
	 * @return false when there was no report yet
	 */
	boolean repeat(String gateway, Optional<Confirmation> confirmation) {
		if (this.last.length == 0) {
			return false;
		}
		this.socket.send(List.of(datagram(this.peers.get(gateway), confirmation)));
		return true;
	}

	// Two messages one behind the other are read as one: what is the same for all is
	// encoded once, and no report carries what it confirms to the others.
	private Datagram datagram(Peer peer, Optional<Confirmation> confirmation) {
		return new Datagram(peer.address, this.last, confirmation.map(PeerExchange::encoded).orElse(NOTHING));
	}

	private static byte[] encoded(Confirmation confirmation) {
		try {
			int size = CodedOutputStream.computeFixed32Size(GatewayReport.HEARD_START_FIELD_NUMBER,
					confirmation.start())
					+ CodedOutputStream.computeUInt32Size(GatewayReport.HEARD_NUMBER_FIELD_NUMBER,
							confirmation.number());
			byte[] bytes = new byte[size];
			CodedOutputStream out = CodedOutputStream.newInstance(bytes);
			out.writeFixed32(GatewayReport.HEARD_START_FIELD_NUMBER, confirmation.start());
			out.writeUInt32(GatewayReport.HEARD_NUMBER_FIELD_NUMBER, confirmation.number());
			return bytes;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	// -- hearing

	private static void received(InetSocketAddress from, byte[] bytes, Consumer<Heard> receiver) {
		try {
			receiver.accept(new Heard(from, GatewayReport.parseFrom(bytes)));
		}
		catch (InvalidProtocolBufferException ex) {
			EventLog.warn(GatewayEvents.DATAGRAM_UNREADABLE, "from", from, "cause", ex.getMessage());
		}
	}

	/**
	 * Notes where a report came from.
	 * @param heard the report
	 */
	void heard(Heard heard) {
		Peer peer = this.peers.computeIfAbsent(heard.report().getGateway(), (_) -> new Peer());
		peer.heard = true;
		peer.address = heard.from();
		peer.adminPort = heard.report().getAdminPort();
	}

	/**
	 * Where gateways serve the tables that they follow.
	 * @param living whether a gateway lives
	 * @return the addresses of those that live
	 */
	List<InetSocketAddress> tableAddresses(Predicate<String> living) {
		List<InetSocketAddress> addresses = new ArrayList<>();
		this.peers.forEach((gateway, peer) -> {
			if (peer.adminPort > 0 && living.test(gateway)) {
				addresses.add(new InetSocketAddress(peer.address.getAddress(), peer.adminPort));
			}
		});
		return addresses;
	}

	@Override
	public void close() {
		this.socket.close();
	}

	/**
	 * A report with its sender's address.
	 *
	 * @param from the address
	 * @param report the report
	 */
	record Heard(InetSocketAddress from, GatewayReport report) {
	}

	/** Where another gateway is reached. */
	private static final class Peer {

		private InetSocketAddress address;

		/** Whether a report of it ever came. */
		private boolean heard;

		/** Where it serves its tables; 0 before it was heard. */
		private int adminPort;

	}

}
