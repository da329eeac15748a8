package org.rosemaryfront.peer;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.VmId;
import org.rosemaryfront.peer.proto.Handoff;
import org.rosemaryfront.peer.proto.HandoffReply;
import org.rosemaryfront.peer.proto.ResultRead;
import org.rosemaryfront.peer.proto.ResultTokens;
import org.rosemaryfront.platform.CloudClient;
import org.rosemaryfront.platform.TableClient;

/**
 * A process among its peers; signatures only until the next commit.
 */
public final class PeerNode implements AutoCloseable {

	private PeerNode() {
	}

	/**
	 * Starts listening and joins the peers.
	 * @param settings how it takes part
	 * @param tables the table service, read only
	 * @param cloud the source of the VM list
	 * @param handler what the process does with what peers tell and ask
	 * @return the running node
	 */
	public static PeerNode start(PeerSettings settings, TableClient tables, CloudClient cloud, PeerHandler handler) {
		throw new UnsupportedOperationException();
	}

	/**
	 * The address of its listener.
	 * @return {@code host:port}, for TCP and UDP
	 */
	public String address() {
		throw new UnsupportedOperationException();
	}

	/**
	 * All members, this one included, by VM and role.
	 * @return the members that are alive, suspect or leaving, and those lately dead
	 */
	public List<MemberView> members() {
		throw new UnsupportedOperationException();
	}

	/**
	 * The configuration in force here.
	 * @return the configuration
	 */
	public Configuration configuration() {
		throw new UnsupportedOperationException();
	}

	/**
	 * Whether new work may be accepted under the configuration in force.
	 * @return true when a configuration is known and the table service or a peer was
	 * reached within the staleness limit
	 */
	public boolean fresh() {
		throw new UnsupportedOperationException();
	}

	/**
	 * Tells all peers that a backend server is leaving.
	 * @param vm the VM
	 * @param remainingMillis the time left, in milliseconds, negative when unknown
	 */
	public void announceDeparture(VmId vm, long remainingMillis) {
		throw new UnsupportedOperationException();
	}

	/**
	 * Sets what this process tells its peers of its use.
	 * @param tokensInFlight tokens in flight by organisation
	 */
	public void usage(Map<String, Long> tokensInFlight) {
		throw new UnsupportedOperationException();
	}

	/**
	 * What the peers use, estimated from their digests.
	 * @return tokens in flight by organisation, without this process
	 */
	public Map<String, Long> peerUsage() {
		throw new UnsupportedOperationException();
	}

	/**
	 * Hands a request over to a peer; sent again over a new connection when the first one
	 * broke.
	 * @param address the peer
	 * @param handoff the request
	 * @return its reply
	 */
	public Mono<HandoffReply> handOff(String address, Handoff handoff) {
		throw new UnsupportedOperationException();
	}

	/**
	 * Finds the peer that holds a request.
	 * @param request the request
	 * @param organisation the name of the organisation that asks
	 * @return the address of the holder with the highest epoch, empty when none holds it
	 */
	public Mono<Optional<String>> locate(String request, String organisation) {
		throw new UnsupportedOperationException();
	}

	/**
	 * Streams the tokens of a request from its holder.
	 * @param address the holder
	 * @param read the request, its organisation and the offset
	 * @return the tokens as they come
	 */
	public Flux<ResultTokens> read(String address, ResultRead read) {
		throw new UnsupportedOperationException();
	}

	/**
	 * Announces that this process is leaving; final.
	 */
	public void leave() {
		throw new UnsupportedOperationException();
	}

	/**
	 * Leaves and stops listening.
	 */
	@Override
	public void close() {
		throw new UnsupportedOperationException();
	}

}
