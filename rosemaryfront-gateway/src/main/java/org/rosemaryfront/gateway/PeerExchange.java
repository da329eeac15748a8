package org.rosemaryfront.gateway;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;

import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.fleet.Fleet.Confirmation;
import org.rosemaryfront.gateway.proto.GatewayReport;
import org.rosemaryfront.gateway.proto.StreamMessages;
import org.rosemaryfront.paths.Carrier;
import org.rosemaryfront.peer.Addresses;
import org.rosemaryfront.peer.UdpSocket;
import org.rosemaryfront.peer.UdpSocket.Datagram;

/**
 * Exchanges reports and messages about streams with the other gateways. Used on the
 * control thread, except that the socket's event loop receives, and sends messages about
 * streams.
 */
final class PeerExchange implements AutoCloseable {

	/** The interval between reads of received reports; no longer than a tick. */
	private static final Duration READ_INTERVAL = Duration.ofMillis(50);

	/**
	 * Gateways that have reported before but are not live are sent one of this many
	 * reports.
	 */
	private static final int UNRESPONSIVE_REPORT_INTERVAL = 4;

	/**
	 * The fractional parts of its multiples are spread evenly over the unit interval, for
	 * any number of multiples.
	 */
	private static final double GOLDEN_RATIO_CONJUGATE = 0.618_033_988_749_895;

	/**
	 * The first byte of a datagram with messages about streams. No report begins with it,
	 * so that a gateway that does not know such messages drops them as unreadable.
	 */
	static final byte STREAM_MESSAGES = 0x07;

	private static final byte[] EMPTY = {};

	private static final int MAX_PORT = 65_535;

	private final String self;

	private final int start;

	private final UdpSocket socket;

	private final Map<String, Peer> peers = new HashMap<>();

	private int number;

	/** The last report without its confirmation; empty before the first report. */
	private byte[] lastReport = EMPTY;

	private PeerExchange(String self, int start, UdpSocket socket) {
		this.self = self;
		this.start = start;
		this.socket = socket;
	}

	/**
	 * Opens the socket.
	 * @param loop the event loop of the socket
	 * @param address the address that receives reports
	 * @param self the name of this gateway
	 * @param start identifies this start of the gateway
	 * @param receiver receives what other gateways send, on the event loop
	 * @return the exchange
	 */
	static PeerExchange open(EventLoop loop, InetSocketAddress address, String self, int start, Receiver receiver) {
		UdpSocket socket = UdpSocket.openPaced(loop, address, READ_INTERVAL,
				(from, bytes) -> receive(from, bytes, receiver));
		return new PeerExchange(self, start, socket);
	}

	// -- sending

	/**
	 * Adds a gateway listed in the table service, or updates its address.
	 * @param gateway the name of the gateway
	 * @param address the address that receives its reports
	 */
	void addPeer(String gateway, InetSocketAddress address) {
		if (!gateway.equals(this.self)) {
			this.peers.computeIfAbsent(gateway, (_) -> new Peer()).address = address;
		}
	}

	/**
	 * Returns the number of the next report.
	 * @return the number, starting at 1
	 */
	int nextNumber() {
		return this.number + 1;
	}

	/**
	 * Sends a report to the other gateways.
	 * @param report the report, without its sender
	 * @param isLive tests whether a gateway is live
	 * @param confirmation returns the confirmation to include in the report to a gateway
	 */
	void broadcast(GatewayReport.Builder report, Predicate<String> isLive,
			Function<String, Optional<Confirmation>> confirmation) {
		this.number++;
		this.lastReport = report.setGateway(this.self)
			.setStart(this.start)
			.setNumber(this.number)
			.build()
			.toByteArray();
		boolean includesUnresponsive = this.number % UNRESPONSIVE_REPORT_INTERVAL == 1;
		List<Datagram> datagrams = new ArrayList<>();
		this.peers.forEach((gateway, peer) -> {
			if (includesUnresponsive || !peer.hasReported || isLive.test(gateway)) {
				datagrams.add(datagram(peer, confirmation.apply(gateway)));
			}
		});
		Collections.rotate(datagrams, firstIndex(this.number, datagrams.size()));
		this.socket.send(datagrams);
	}

	// A slow link drops the end of a burst. Each report therefore starts at another
	// gateway, so that the dropped end is far from those of the previous reports.
	private static int firstIndex(int number, int count) {
		double product = number * GOLDEN_RATIO_CONJUGATE;
		return (int) ((product - Math.floor(product)) * count);
	}

	/**
	 * Sends the last report again to a gateway that waits for its confirmation.
	 * @param gateway the name of a gateway that a report was received from
	 * @param confirmation the confirmation to include
	 * @return false if no report has been sent yet
	 */
	boolean resend(String gateway, Optional<Confirmation> confirmation) {
		if (this.lastReport.length == 0) {
			return false;
		}
		this.socket.send(List.of(datagram(this.peers.get(gateway), confirmation)));
		return true;
	}

	/**
	 * Sends messages about streams, at once if called on the event loop.
	 * @param to the address of another gateway
	 * @param messages the messages
	 */
	void send(InetSocketAddress to, StreamMessages messages) {
		byte[] bytes = new byte[1 + messages.getSerializedSize()];
		bytes[0] = STREAM_MESSAGES;
		try {
			CodedOutputStream out = CodedOutputStream.newInstance(bytes, 1, bytes.length - 1);
			messages.writeTo(out);
			out.flush();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		this.socket.send(to, bytes);
	}

	// Concatenated Protobuf messages decode as one merged message: the common part is
	// encoded once, and each report carries only the confirmation for its receiver.
	private Datagram datagram(Peer peer, Optional<Confirmation> confirmation) {
		return new Datagram(peer.address, this.lastReport, confirmation.map(PeerExchange::encode).orElse(EMPTY));
	}

	private static byte[] encode(Confirmation confirmation) {
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

	// -- receiving

	private static void receive(InetSocketAddress from, byte[] bytes, Receiver receiver) {
		try {
			if (bytes.length > 0 && bytes[0] == STREAM_MESSAGES) {
				receiver.streamMessages(from, StreamMessages.parseFrom(ByteBuffer.wrap(bytes, 1, bytes.length - 1)));
			}
			else {
				receiver.report(new ReceivedReport(from, decode(bytes)));
			}
		}
		catch (InvalidProtocolBufferException ex) {
			EventLog.warn(GatewayEvents.DATAGRAM_UNREADABLE, "from", from, "cause", ex.getMessage());
		}
	}

	// A port out of range cannot be turned into an address, each time that one is needed.
	private static GatewayReport decode(byte[] bytes) throws InvalidProtocolBufferException {
		GatewayReport report = GatewayReport.parseFrom(bytes);
		if (!isPort(report.getAdminPort()) || !isPort(report.getTunnelPort())) {
			throw new InvalidProtocolBufferException(
					"a port is out of range: " + report.getAdminPort() + ", " + report.getTunnelPort());
		}
		return report;
	}

	// A gateway that serves nothing at a port reports 0.
	private static boolean isPort(int port) {
		return port >= 0 && port <= MAX_PORT;
	}

	/**
	 * Updates the addresses of a report's sender.
	 * @param received the report
	 */
	void updateSender(ReceivedReport received) {
		Peer peer = this.peers.computeIfAbsent(received.report().getGateway(), (_) -> new Peer());
		peer.hasReported = true;
		peer.address = received.from();
		peer.adminPort = received.report().getAdminPort();
		peer.tunnelPort = received.report().getTunnelPort();
		peer.serversOutOfReach = received.report().getServersOutOfReach();
		peer.zone = received.report().getZone().isEmpty() ? peer.zone : received.report().getZone();
	}

	/**
	 * Returns the addresses at which live gateways serve their tables.
	 * @param isLive tests whether a gateway is live
	 * @return the addresses
	 */
	List<InetSocketAddress> tableAddresses(Predicate<String> isLive) {
		List<InetSocketAddress> addresses = new ArrayList<>();
		this.peers.forEach((gateway, peer) -> {
			if (peer.adminPort > 0 && isLive.test(gateway)) {
				addresses.add(new InetSocketAddress(peer.address.getAddress(), peer.adminPort));
			}
		});
		return addresses;
	}

	/**
	 * Returns the live gateways that can carry calls.
	 * @param isLive tests whether a gateway is live
	 * @return the gateways
	 */
	List<Carrier> carriers(Predicate<String> isLive) {
		List<Carrier> carriers = new ArrayList<>();
		this.peers.forEach((gateway, peer) -> {
			if (peer.tunnelPort > 0 && isLive.test(gateway)) {
				InetSocketAddress address = new InetSocketAddress(peer.address.getAddress(), peer.tunnelPort);
				carriers.add(new Carrier(gateway, Addresses.format(address), peer.zone, peer.serversOutOfReach));
			}
		});
		return carriers;
	}

	/**
	 * Returns the addresses that receive the reports of the other gateways, live or not.
	 * @return the addresses by name
	 */
	Map<String, InetSocketAddress> addresses() {
		return this.peers.entrySet()
			.stream()
			.collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, (entry) -> entry.getValue().address));
	}

	/**
	 * Returns the IP addresses of the other gateways, live or not.
	 * @return the addresses
	 */
	Set<InetAddress> gatewayAddresses() {
		return this.peers.values().stream().map((peer) -> peer.address.getAddress()).collect(Collectors.toSet());
	}

	@Override
	public void close() {
		this.socket.close();
	}

	/** Receives what other gateways send. Called on the event loop of the socket. */
	interface Receiver {

		/**
		 * Receives a report.
		 * @param report the report
		 */
		void report(ReceivedReport report);

		/**
		 * Receives messages about streams.
		 * @param from the address of the sender
		 * @param messages the messages
		 */
		default void streamMessages(InetSocketAddress from, StreamMessages messages) {
		}

	}

	/**
	 * A report and the address of its sender.
	 *
	 * @param from the address
	 * @param report the report
	 */
	record ReceivedReport(InetSocketAddress from, GatewayReport report) {
	}

	/** The addresses of another gateway. */
	private static final class Peer {

		private InetSocketAddress address;

		/** Whether a report of this gateway was ever received. */
		private boolean hasReported;

		/** The port that serves its tables; 0 before its first report was received. */
		private int adminPort;

		/** The port that accepts calls; 0 while it is unknown or there is none. */
		private int tunnelPort;

		private int serversOutOfReach;

		/** Its availability zone; empty while it is unknown. */
		private String zone = "";

	}

}
