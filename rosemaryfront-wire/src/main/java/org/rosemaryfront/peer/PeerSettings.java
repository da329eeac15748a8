package org.rosemaryfront.peer;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;

import io.netty.handler.ssl.SslContext;

import org.rosemaryfront.membership.MemberId;
import org.rosemaryfront.model.VmId;

/**
 * How a process takes part among its peers.
 *
 * <pre>
 * PeerSettings settings = PeerSettings.of(vm, "tn-north", "tunis-a", PeerSettings.ENTRY, "127.0.0.1", 0);
 * </pre>
 *
 * @param vm the VM it runs on
 * @param region the region; datagrams of other regions are dropped
 * @param zone its availability zone
 * @param role {@link #ENTRY} or {@link #CONTROLLER}
 * @param host the address to listen on, an IP number
 * @param port the port for TCP and UDP, 0 to let the system choose
 * @param timing the limits and intervals
 * @param tls the TLS contexts of the frames over TCP, empty for plain TCP
 */
public record PeerSettings(VmId vm, String region, String zone, String role, String host, int port, PeerTiming timing,
		Optional<Tls> tls) {

	/** The role of an entry process. */
	public static final String ENTRY = MemberId.ENTRY;

	/** The role of a controller process. */
	public static final String CONTROLLER = MemberId.CONTROLLER;

	public PeerSettings {
		Objects.requireNonNull(vm, "vm is null");
		Objects.requireNonNull(region, "region is null");
		Objects.requireNonNull(zone, "zone is null");
		Objects.requireNonNull(role, "role is null");
		Objects.requireNonNull(host, "host is null");
		Objects.requireNonNull(timing, "timing is null");
		Objects.requireNonNull(tls, "tls is null");
	}

	// -- factories

	/**
	 * Settings with the default timing and without TLS.
	 * @param vm the VM it runs on
	 * @param region the region
	 * @param zone its availability zone
	 * @param role {@link #ENTRY} or {@link #CONTROLLER}
	 * @param host the address to listen on, an IP number
	 * @param port the port for TCP and UDP, 0 to let the system choose
	 * @return the settings
	 */
	public static PeerSettings of(VmId vm, String region, String zone, String role, String host, int port) {
		return new PeerSettings(vm, region, zone, role, host, port, PeerTiming.standard(), Optional.empty());
	}

	// -- changes

	/**
	 * The same with another timing.
	 * @param other the limits and intervals
	 * @return the changed settings
	 */
	public PeerSettings withTiming(PeerTiming other) {
		return new PeerSettings(this.vm, this.region, this.zone, this.role, this.host, this.port, other, this.tls);
	}

	/**
	 * The same with TLS on the frames over TCP. The suppliers are asked for each
	 * connection, so that reloaded keys take effect.
	 * @param server the context of the listener; mutual when it requires a client
	 * certificate
	 * @param client the context of connections to peers
	 * @return the changed settings
	 */
	public PeerSettings withTls(Supplier<SslContext> server, Supplier<SslContext> client) {
		return new PeerSettings(this.vm, this.region, this.zone, this.role, this.host, this.port, this.timing,
				Optional.of(new Tls(server, client)));
	}

	/**
	 * The TLS contexts of the frames over TCP.
	 *
	 * @param server the context of the listener
	 * @param client the context of connections to peers
	 */
	public record Tls(Supplier<SslContext> server, Supplier<SslContext> client) {

		public Tls {
			Objects.requireNonNull(server, "server is null");
			Objects.requireNonNull(client, "client is null");
		}

	}

}
