package org.rosemaryfront.entry;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import org.rosemaryfront.entry.CompletionDocuments.Head;
import org.rosemaryfront.model.RequestId;
import org.rosemaryfront.peer.proto.ResultRead;
import org.rosemaryfront.peer.proto.ResultTokens;
import org.rosemaryfront.problems.ProblemDocument;

/**
 * Finds the answer to a request for a caller that came back: here, else at the peer that
 * holds it with the highest epoch.
 */
final class ResultReader {

	private final StreamTable streams;

	private final Peers peers;

	ResultReader(StreamTable streams, Peers peers) {
		this.streams = streams;
		this.peers = peers;
	}

	/**
	 * Finds an answer.
	 * @param id the request's identifier
	 * @param organisation the organisation that asks; any other's request is not found
	 * @param offset the first token wanted
	 * @return the answer, empty when nobody holds it for this organisation
	 */
	Mono<AnswerSource> find(String id, String organisation, int offset) {
		return this.streams.find(new RequestId(id), organisation)
			.filter((stream) -> !stream.isMoved())
			.map((stream) -> Mono.just(AnswerSource.of(stream, offset)))
			.orElseGet(() -> remote(id, organisation, offset));
	}

	private Mono<AnswerSource> remote(String id, String organisation, int offset) {
		return this.peers.locate(id, organisation)
			.flatMap(Mono::justOrEmpty)
			.map((holder) -> source(id, offset, this.peers.read(holder,
					ResultRead.newBuilder().setRequest(id).setOrganisation(organisation).setOffset(offset).build())));
	}

	private static AnswerSource source(String id, int offset, Flux<ResultTokens> frames) {
		AtomicReference<Head> head = new AtomicReference<>(new Head(id, "", 0, 0));
		Flux<AnswerEvent> events = frames
			.doOnNext((frame) -> head
				.set(new Head(id, frame.getModel(), frame.getCreatedSeconds(), frame.getPromptTokens())))
			.concatMapIterable((frame) -> events(frame).toList())
			.onErrorResume((_) -> Mono.empty())
			.concatWithValues(new AnswerEvent.Moved())
			.takeUntil((event) -> event instanceof AnswerEvent.Finished || event instanceof AnswerEvent.Failed);
		return new AnswerSource(id, head::get, events, false, offset);
	}

	private static Stream<AnswerEvent> events(ResultTokens frame) {
		Stream<AnswerEvent> tokens = IntStream.range(0, frame.getTokensCount())
			.mapToObj((i) -> new AnswerEvent.Token(frame.getOffset() + i, frame.getTokens(i)));
		if (!frame.getProblem().isEmpty()) {
			return Stream.concat(tokens, Stream.of(new AnswerEvent.Failed(ProblemDocument.read(frame.getProblem()))));
		}
		if (frame.getComplete()) {
			return Stream.concat(tokens, Stream.of(new AnswerEvent.Finished(frame.getFinishReason())));
		}
		return (frame.getTokensCount() > 0) ? tokens : Stream.of(new AnswerEvent.Heartbeat());
	}

	/** Reads answers that peers hold. */
	interface Peers {

		/**
		 * Finds the holder of a request.
		 * @param request the request
		 * @param organisation the organisation that asks
		 * @return the address of the holder with the highest epoch, empty when there is
		 * none
		 */
		Mono<Optional<String>> locate(String request, String organisation);

		/**
		 * Reads an answer from its holder.
		 * @param address the holder
		 * @param read the request, its organisation and the offset
		 * @return the tokens as they come
		 */
		Flux<ResultTokens> read(String address, ResultRead read);

	}

}
