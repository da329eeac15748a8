package org.rosemaryfront.entry;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import org.rosemaryfront.entry.AttemptTraffic.AdoptedAttempt;
import org.rosemaryfront.entry.CompletionCall.Form;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.model.AttemptId;
import org.rosemaryfront.model.RequestId;
import org.rosemaryfront.model.RosemaryException;
import org.rosemaryfront.model.VmId;
import org.rosemaryfront.peer.proto.Handoff;
import org.rosemaryfront.peer.proto.HandoffReply;
import org.rosemaryfront.peer.proto.ResultRead;
import org.rosemaryfront.peer.proto.ResultTokens;
import org.rosemaryfront.problems.ProblemDocument;
import org.rosemaryfront.serving.ServingEvent;

/**
 * Takes requests over from leaving peers, and lets peers read the answers held here.
 */
final class HandoffReceiver {

	private static final HandoffReply ACCEPTED = HandoffReply.newBuilder().setAccepted(true).build();

	private final RequestIntake intake;

	private final StreamTable streams;

	private final AttemptTraffic traffic;

	private final DecisionRing decisions;

	private final Consumer<ServingEvent> control;

	private final Supplier<ProcessPhase> phase;

	HandoffReceiver(RequestIntake intake, StreamTable streams, AttemptTraffic traffic, DecisionRing decisions,
			Consumer<ServingEvent> control, Supplier<ProcessPhase> phase) {
		this.intake = intake;
		this.streams = streams;
		this.traffic = traffic;
		this.decisions = decisions;
		this.control = control;
		this.phase = phase;
	}

	// -- hand-off

	/**
	 * Takes a request over. Idempotent: the same request with the same epoch is accepted
	 * again without a second effect, since the first reply can be lost.
	 * @param handoff the request
	 * @return the reply
	 */
	Mono<HandoffReply> take(Handoff handoff) {
		return Mono.fromSupplier(() -> {
			if (this.phase.get() != ProcessPhase.SERVING) {
				return refused("leaving");
			}
			try {
				return adopt(handoff);
			}
			catch (RosemaryException ex) {
				return refused(ex.problem().detail());
			}
		});
	}

	private HandoffReply adopt(Handoff handoff) {
		RequestId id = new RequestId(handoff.getRequest());
		Optional<AnswerStream> present = this.streams.find(id);
		if (present.isPresent() && present.get().request().epoch() >= handoff.getEpoch()) {
			return (present.get().request().epoch() == handoff.getEpoch()) ? ACCEPTED
					: refused("held under a later epoch");
		}
		CompletionCall call = CompletionParser.parse(Form.ofPath(handoff.getPath()), handoff.getBody().toByteArray());
		Optional<AcceptedRequest> request = this.intake.adopt(id, handoff.getOrganisation(), call,
				Duration.ofMillis(handoff.getAnswerRemainingMillis()), handoff.getEpoch());
		if (request.isEmpty()) {
			return refused("the organisation or its model is unknown here");
		}
		take(AnswerStream.adopted(request.get(), List.copyOf(handoff.getTokensList())), handoff);
		return ACCEPTED;
	}

	private void take(AnswerStream stream, Handoff handoff) {
		RequestId id = stream.request().id();
		Optional<AnswerStream> replaced = this.streams.put(stream);
		if (replaced.filter((other) -> other == stream).isPresent()) {
			return;
		}
		replaced.ifPresent((earlier) -> {
			earlier.moved();
			this.traffic.forgetMoved(id);
			this.control.accept(new ServingEvent.RequestAbandoned(id));
		});
		EventLog.info(ServingEvents.REQUEST_ADOPTED, "request", id, "tokens", stream.size(), "epoch",
				stream.request().epoch(), "complete", handoff.getComplete());
		this.decisions.add(id, "adopted tokens=" + stream.size() + " epoch=" + stream.request().epoch());
		if (handoff.getComplete()) {
			end(stream, handoff);
			return;
		}
		if (!handoff.getAttempt().isEmpty()) {
			this.traffic.adopt(id, new AdoptedAttempt(new AttemptId(handoff.getAttempt()),
					new VmId(handoff.getServer()), handoff.getServerAddress()));
		}
		this.control.accept(new ServingEvent.RequestAdopted(id, stream.request().spec(), stream.size()));
	}

	private static void end(AnswerStream stream, Handoff handoff) {
		if (handoff.getProblem().isEmpty()) {
			stream.finishAdopted(handoff.getFinishReason());
		}
		else {
			stream.fail(ProblemDocument.read(handoff.getProblem()));
		}
	}

	private static HandoffReply refused(String reason) {
		return HandoffReply.newBuilder().setReason(reason).build();
	}

	// -- results

	/**
	 * Whether a request is held here for an organisation.
	 * @param request the request
	 * @param organisation the name of the organisation that asks
	 * @return its epoch here, empty when it is not held here
	 */
	Optional<Long> holds(String request, String organisation) {
		return this.streams.find(new RequestId(request), organisation)
			.filter((stream) -> !stream.isMoved())
			.map((stream) -> stream.request().epoch());
	}

	/**
	 * Streams an answer to a peer.
	 * @param read the request, its organisation and the offset
	 * @return the tokens as they come; frames without a token are heartbeats
	 */
	Flux<ResultTokens> read(ResultRead read) {
		return Flux.defer(() -> this.streams.find(new RequestId(read.getRequest()), read.getOrganisation())
			.map((stream) -> stream.read(read.getOffset())
				.takeWhile((event) -> !(event instanceof AnswerEvent.Moved))
				.map((event) -> frame(stream, event)))
			.orElseGet(Flux::empty));
	}

	private static ResultTokens frame(AnswerStream stream, AnswerEvent event) {
		AcceptedRequest request = stream.request();
		ResultTokens.Builder frame = ResultTokens.newBuilder()
			.setModel(request.call().model())
			.setPromptTokens(request.spec().promptTokens())
			.setStreamed(request.call().streamed())
			.setCreatedSeconds(request.createdSeconds());
		switch (event) {
			case AnswerEvent.Token token -> frame.setOffset(token.index()).addTokens(token.text());
			case AnswerEvent.Finished finished -> frame.setComplete(true).setFinishReason(finished.reason());
			case AnswerEvent.Failed failed ->
				frame.setProblem(ProblemDocument.of(failed.problem(), request.id().value()).toString());
			case AnswerEvent.Heartbeat _, AnswerEvent.Moved _ -> {
			}
		}
		return frame.build();
	}

}
