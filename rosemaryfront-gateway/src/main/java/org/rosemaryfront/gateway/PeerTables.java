package org.rosemaryfront.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.ChannelOption;
import io.netty.resolver.DefaultAddressResolverGroup;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.LoopResources;

import org.rosemaryfront.gateway.proto.TableRows;
import org.rosemaryfront.http.StrictClients;

/**
 * Reads tables from other gateways, for a gateway that the store rejects while it serves
 * the others: otherwise revoked keys and removed servers would stay in use there for as
 * long as the store rejects it.
 */
final class PeerTables {

	/** The timeout of a request; the next attempt may use another gateway. */
	private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(400);

	private static final int CONNECT_TIMEOUT_MILLIS = 200;

	private final HttpClient client;

	private final Supplier<List<InetSocketAddress>> peers;

	/**
	 * Creates a reader.
	 * @param loops the event loops of its requests
	 * @param peers supplies the addresses at which live gateways serve their tables
	 */
	PeerTables(LoopResources loops, Supplier<List<InetSocketAddress>> peers) {
		this.peers = peers;
		// The resolver must be set before runOn, which otherwise installs a DNS resolver.
		this.client = StrictClients.pooled()
			.resolver(DefaultAddressResolverGroup.INSTANCE)
			.runOn(loops, false)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
	}

	/**
	 * Requests a table from another gateway.
	 * @param table the name of the table
	 * @param knownVersion the version of the local copy
	 * @param preferred the address of a gateway known to have a newer copy, or empty to
	 * choose a live gateway at random
	 * @return the whole table, or empty if there is no live gateway or its copy is not
	 * newer; an error if that gateway does not respond
	 */
	Mono<TableRows> readNewer(String table, long knownVersion, Optional<InetSocketAddress> preferred) {
		return preferred.or(this::randomPeer).map((peer) -> readNewer(table, knownVersion, peer)).orElse(Mono.empty());
	}

	private Optional<InetSocketAddress> randomPeer() {
		List<InetSocketAddress> livePeers = this.peers.get();
		return livePeers.isEmpty() ? Optional.empty()
				: Optional.of(livePeers.get(ThreadLocalRandom.current().nextInt(livePeers.size())));
	}

	private Mono<TableRows> readNewer(String table, long knownVersion, InetSocketAddress peer) {
		return this.client.remoteAddress(() -> peer)
			.get()
			.uri(AdminServer.tablePath(table, knownVersion))
			.responseSingle((response, body) -> (response.status().code() == 200) ? body.asByteArray() : Mono.empty())
			.timeout(RESPONSE_TIMEOUT)
			.map(PeerTables::parse);
	}

	private static TableRows parse(byte[] bytes) {
		try {
			return TableRows.parseFrom(bytes);
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalArgumentException("cannot parse table rows: " + ex.getMessage(), ex);
		}
	}

}
