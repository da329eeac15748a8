package org.rosemaryfront.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import org.rosemaryfront.entry.AttemptTraffic.AdoptedAttempt;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.peer.proto.Handoff;
import org.rosemaryfront.peer.proto.HandoffReply;
import org.rosemaryfront.problems.ProblemDocument;
import org.rosemaryfront.serving.ServingEvent;

/**
 * Hands the requests of a stopping process over to its peers.
 *
 * <p>
 * Guards against two holders of one request, which would show as an answer generated
 * twice: a peer's reply can be lost after it accepted, and the next peer gets the request
 * too. Every try therefore carries a higher epoch than the one before, callers are led to
 * the highest, and the other holder gives up when nobody reads from it.
 */
final class HandoffSender {

	private static final int CONCURRENT = 8;

	private static final int EPOCH_RANDOM_BITS = 20;

	private final StreamTable streams;

	private final AttemptTraffic traffic;

	private final DecisionRing decisions;

	private final EntryMetrics metrics;

	private final Consumer<ServingEvent> control;

	private final Supplier<List<String>> peers;

	private final Send send;

	HandoffSender(StreamTable streams, AttemptTraffic traffic, DecisionRing decisions, EntryMetrics metrics,
			Consumer<ServingEvent> control, Supplier<List<String>> peers, Send send) {
		this.streams = streams;
		this.traffic = traffic;
		this.decisions = decisions;
		this.metrics = metrics;
		this.control = control;
		this.peers = peers;
		this.send = send;
	}

	/**
	 * Hands over every request that is open, or ended without its caller having it all.
	 * @param limit the limit of one try at one peer
	 * @return when every request was tried
	 */
	Mono<Void> handOverAll(Duration limit) {
		if (this.peers.get().isEmpty()) {
			return Mono.empty();
		}
		List<AnswerStream> held = this.streams.all()
			.stream()
			.filter(HandoffSender::wanted)
			.sorted(Comparator.comparing((AnswerStream stream) -> !stream.isOpen()))
			.toList();
		return Flux.fromIterable(held).flatMap((stream) -> handOver(stream, limit), CONCURRENT).then();
	}

	// A caller that knows the identifier may come back for the problem of a failed
	// answer; any other caller has read it on its connection.
	private static boolean wanted(AnswerStream stream) {
		return stream.isOpen() || stream.ending()
			.filter((last) -> last instanceof AnswerEvent.Finished || stream.canResume())
			.isPresent();
	}

	private Mono<Void> handOver(AnswerStream stream, Duration limit) {
		Optional<AdoptedAttempt> attempt = this.traffic.release(stream.request().id());
		Optional<List<String>> tokens = stream.freeze();
		if (tokens.isEmpty()) {
			return Mono.empty();
		}
		List<String> order = new ArrayList<>(this.peers.get());
		Collections.shuffle(order);
		Function<Integer, Handoff> attemptAt = (i) -> handoff(stream, tokens.get(), attempt, i);
		return tryPeers(stream, order, attemptAt, 0, limit).doOnNext((taken) -> {
			if (taken) {
				movedAway(stream);
			}
			else {
				keep(stream);
			}
		}).then();
	}

	private Mono<Boolean> tryPeers(AnswerStream stream, List<String> order, Function<Integer, Handoff> handoff, int i,
			Duration limit) {
		if (i == order.size()) {
			return Mono.just(false);
		}
		String peer = order.get(i);
		return this.send.handOff(peer, handoff.apply(i))
			.timeout(limit)
			.onErrorResume((failure) -> Mono.just(HandoffReply.newBuilder().setReason(String.valueOf(failure)).build()))
			.flatMap((reply) -> {
				if (reply.getAccepted()) {
					EventLog.info(ServingEvents.REQUEST_HANDED_OVER, "request", stream.request().id(), "peer", peer,
							"tokens", stream.size());
					this.decisions.add(stream.request().id(), "handed over peer=" + peer);
					return Mono.just(true);
				}
				EventLog.info(ServingEvents.HANDOVER_REFUSED, "request", stream.request().id(), "peer", peer, "reason",
						reply.getReason());
				return tryPeers(stream, order, handoff, i + 1, limit);
			});
	}

	private void movedAway(AnswerStream stream) {
		this.metrics.handedOver();
		this.traffic.forgetMoved(stream.request().id());
		this.control.accept(new ServingEvent.RequestAbandoned(stream.request().id()));
		stream.moved();
	}

	private void keep(AnswerStream stream) {
		EventLog.warn(ServingEvents.HANDOVER_FAILED, "request", stream.request().id());
		stream.thaw();
		this.traffic.resume(stream.request().id());
	}

	private static Handoff handoff(AnswerStream stream, List<String> tokens, Optional<AdoptedAttempt> attempt, int i) {
		AcceptedRequest request = stream.request();
		long remaining = Math.max(0, request.spec().answerDeadlineNanos() - System.nanoTime());
		Handoff.Builder handoff = Handoff.newBuilder()
			.setRequest(request.id().value())
			.setOrganisation(request.organisation())
			.setBody(ByteString.copyFrom(request.call().body()))
			.setPath(request.call().form().path())
			.addAllTokens(tokens)
			.setStreamed(request.call().streamed())
			.setAnswerRemainingMillis(TimeUnit.NANOSECONDS.toMillis(remaining))
			.setEpoch(laterEpoch(request.epoch(), i));
		attempt.ifPresent((running) -> handoff.setAttempt(running.stream().value())
			.setServer(running.server().value())
			.setServerAddress(running.address()));
		stream.ending().ifPresent((last) -> {
			switch (last) {
				case AnswerEvent.Finished finished -> handoff.setComplete(true).setFinishReason(finished.reason());
				case AnswerEvent.Failed failed -> handoff.setComplete(true)
					.setProblem(ProblemDocument.of(failed.problem(), request.id().value()).toString());
				case AnswerEvent.Heartbeat _, AnswerEvent.Moved _, AnswerEvent.Token _ -> {
				}
			}
		});
		return handoff.build();
	}

	// Every try counts up; the random part keeps apart two holders that hand the same
	// request over at the same count.
	private static long laterEpoch(long epoch, int tries) {
		long count = (epoch >>> EPOCH_RANDOM_BITS) + 1 + tries;
		return count << EPOCH_RANDOM_BITS | ThreadLocalRandom.current().nextInt(1 << EPOCH_RANDOM_BITS);
	}

	/** Sends one hand-off. */
	@FunctionalInterface
	interface Send {

		/**
		 * Sends a request to a peer.
		 * @param peer the peer's address
		 * @param handoff the request
		 * @return its reply
		 */
		Mono<HandoffReply> handOff(String peer, Handoff handoff);

	}

}
