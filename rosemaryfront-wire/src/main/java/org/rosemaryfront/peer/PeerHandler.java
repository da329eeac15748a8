package org.rosemaryfront.peer;

import java.util.Optional;

import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.VmId;
import org.rosemaryfront.peer.proto.Handoff;
import org.rosemaryfront.peer.proto.HandoffReply;
import org.rosemaryfront.peer.proto.ResultRead;
import org.rosemaryfront.peer.proto.ResultTokens;

/**
 * What a process does with what its peers tell and ask. Called on threads of the
 * {@link PeerNode}; a method must return at once and must not block.
 */
public interface PeerHandler {

	/**
	 * A configuration of a higher revision than any before is in force.
	 * @param configuration the configuration
	 */
	void configurationApplied(Configuration configuration);

	/**
	 * A peer announced that a backend server is leaving; told once a VM.
	 * @param vm the VM
	 * @param remainingMillis the time left, in milliseconds, negative when unknown
	 */
	void departureLearned(VmId vm, long remainingMillis);

	/**
	 * A leaving peer hands a request over. The same request with the same epoch may
	 * arrive twice, because an answer can be lost with its connection; it must be
	 * accepted again without a second effect.
	 * @param handoff the request
	 * @return whether it was accepted
	 */
	default Mono<HandoffReply> handoffArrived(Handoff handoff) {
		return Mono.just(HandoffReply.newBuilder().setReason("takes no requests").build());
	}

	/**
	 * Whether this process holds a request of an organisation.
	 * @param request the request
	 * @param organisation the name of the organisation that asks
	 * @return the epoch of the request here, empty when it is not held here or belongs to
	 * another organisation
	 */
	default Optional<Long> holds(String request, String organisation) {
		return Optional.empty();
	}

	/**
	 * Streams the tokens of a request held here from an offset on.
	 * @param read the request, its organisation and the offset
	 * @return the tokens as they come, completed after the last one
	 */
	default Flux<ResultTokens> read(ResultRead read) {
		return Flux.error(new IllegalStateException("holds no requests"));
	}

}
