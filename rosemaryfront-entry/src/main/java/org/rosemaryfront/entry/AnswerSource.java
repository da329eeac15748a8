package org.rosemaryfront.entry;

import java.util.Objects;
import java.util.function.Supplier;

import reactor.core.publisher.Flux;

/**
 * An answer to be written to a caller, whether this process or a peer holds it.
 *
 * @param id the request's identifier
 * @param head what its documents name, known from the first event on
 * @param events its events from the offset wanted
 * @param includeUsage whether a stream ends with a usage event
 * @param offset the first token wanted
 */
record AnswerSource(String id, Supplier<CompletionDocuments.Head> head, Flux<AnswerEvent> events, boolean includeUsage,
		int offset) {

	AnswerSource {
		Objects.requireNonNull(id, "id is null");
		Objects.requireNonNull(head, "head is null");
		Objects.requireNonNull(events, "events is null");
	}

	/**
	 * An answer held here.
	 * @param stream the stream
	 * @param offset the first token wanted
	 * @return the source
	 */
	static AnswerSource of(AnswerStream stream, int offset) {
		AcceptedRequest request = stream.request();
		return new AnswerSource(request.id().value(), () -> CompletionDocuments.Head.of(request), stream.read(offset),
				request.call().includeUsage(), offset);
	}

}
