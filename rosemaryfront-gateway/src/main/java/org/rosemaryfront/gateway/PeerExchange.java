package org.rosemaryfront.gateway;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;

import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.gateway.proto.GatewayReport;
import org.rosemaryfront.peer.UdpSocket;

/**
 * Tells the other gateways what this one uses, and hears it of them. Used on the control
 * thread, but for the socket.
 */
final class PeerExchange implements AutoCloseable {

	/** After this time without a report a gateway counts as gone, in nanoseconds. */
	private static final long SILENT_NANOS = TimeUnit.SECONDS.toNanos(3);

	private final String self;

	private final int start;

	private final UdpSocket socket;

	private final Map<String, Peer> peers = new HashMap<>();

	private int number;

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
		UdpSocket socket = UdpSocket.open(loop, address, (from, bytes) -> received(from, bytes, receiver));
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
	 * Tells all gateways.
	 * @param report what to tell, without the sender
	 * @return the number of the report
	 */
	int tell(GatewayReport.Builder report) {
		this.number++;
		byte[] bytes = report.setGateway(this.self).setStart(this.start).setNumber(this.number).build().toByteArray();
		for (Peer peer : this.peers.values()) {
			this.socket.send(peer.address, bytes);
		}
		return this.number;
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
	 * Takes a report.
	 * @param heard the report
	 * @param nowNanos the time
	 * @return whether it is news
	 */
	boolean accept(Heard heard, long nowNanos) {
		GatewayReport report = heard.report();
		if (report.getGateway().equals(this.self)) {
			return false;
		}
		Peer peer = this.peers.computeIfAbsent(report.getGateway(), (_) -> new Peer());
		boolean late = peer.start == report.getStart() && report.getNumber() - peer.number <= 0;
		if (late) {
			return false;
		}
		if (!peer.heard) {
			EventLog.info(GatewayEvents.PEER_HEARD, "gateway", report.getGateway(), "from", heard.from());
		}
		peer.address = heard.from();
		peer.start = report.getStart();
		peer.number = report.getNumber();
		peer.heard = !report.getLeaving();
		peer.heardNanos = nowNanos;
		peer.adminPort = report.getAdminPort();
		return true;
	}

	/**
	 * Forgets gateways that fell silent.
	 * @param nowNanos the time
	 * @return the gateways that fell silent since the last call
	 */
	List<String> silent(long nowNanos) {
		List<String> silent = this.peers.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().heard && nowNanos - entry.getValue().heardNanos >= SILENT_NANOS)
			.map(Map.Entry::getKey)
			.toList();
		for (String gateway : silent) {
			this.peers.get(gateway).heard = false;
			EventLog.info(GatewayEvents.PEER_SILENT, "gateway", gateway);
		}
		return silent;
	}

	/**
	 * The gateways that live as far as this one knows.
	 * @return the count, itself included
	 */
	int living() {
		return 1 + (int) this.peers.values().stream().filter((peer) -> peer.heard).count();
	}

	/**
	 * Where the gateways that live serve the tables that they follow.
	 * @return the addresses
	 */
	List<InetSocketAddress> tableAddresses() {
		return this.peers.values()
			.stream()
			.filter((peer) -> peer.heard && peer.adminPort > 0)
			.map((peer) -> new InetSocketAddress(peer.address.getAddress(), peer.adminPort))
			.toList();
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

	private static final class Peer {

		private InetSocketAddress address;

		private int start;

		private int number;

		private boolean heard;

		private long heardNanos;

		private int adminPort;

	}

}
