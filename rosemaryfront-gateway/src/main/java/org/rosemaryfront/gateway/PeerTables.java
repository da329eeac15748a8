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
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.LoopResources;

import org.rosemaryfront.gateway.proto.TableRows;
import org.rosemaryfront.http.StrictClients;
import org.rosemaryfront.ports.RowStore.Transfer;

/**
 * Reads tables from other gateways, for a gateway that the store rejects while it serves
 * the others: otherwise revoked keys and removed servers would stay in use there for as
 * long as the store rejects it.
 */
final class PeerTables {

	/**
	 * The maximum time until the first and between two parts of a response; the next
	 * attempt may use another gateway.
	 */
	private static final Duration PART_TIMEOUT = Duration.ofMillis(400);

	/** The maximum time for which a table may arrive. */
	private static final Duration MAX_TRANSFER = Duration.ofSeconds(10);

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
			.responseTimeout(PART_TIMEOUT)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
	}

	/**
	 * Requests a table from another gateway.
	 * @param table the name of the table
	 * @param knownVersion the version of the local copy
	 * @param preferred the address of a gateway known to have a newer copy, or empty to
	 * choose a live gateway at random
	 * @param transfer observes the response
	 * @return the whole table, or empty if there is no live gateway or its copy is not
	 * newer; an error if that gateway does not respond
	 */
	Mono<TableRows> readNewer(String table, long knownVersion, Optional<InetSocketAddress> preferred,
			Transfer transfer) {
		return preferred.or(this::randomPeer)
			.map((peer) -> readNewer(table, knownVersion, peer, transfer))
			.orElse(Mono.empty());
	}

	private Optional<InetSocketAddress> randomPeer() {
		List<InetSocketAddress> livePeers = this.peers.get();
		return livePeers.isEmpty() ? Optional.empty()
				: Optional.of(livePeers.get(ThreadLocalRandom.current().nextInt(livePeers.size())));
	}

	private Mono<TableRows> readNewer(String table, long knownVersion, InetSocketAddress peer, Transfer transfer) {
		return this.client.remoteAddress(() -> peer)
			.get()
			.uri(AdminServer.tablePath(table, knownVersion))
			.response((response, body) -> (response.status().code() == 200) ? read(body, transfer) : Mono.empty())
			.next()
			.timeout(MAX_TRANSFER)
			.map(PeerTables::parse);
	}

	private static Mono<byte[]> read(ByteBufFlux body, Transfer transfer) {
		return ByteBufFlux.fromInbound(body.doOnNext((part) -> transfer.received(part.readableBytes())))
			.aggregate()
			.asByteArray();
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
