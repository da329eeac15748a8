package org.rosemaryfront.entry;

import java.util.Objects;

import org.rosemaryfront.model.RequestId;
import org.rosemaryfront.serving.RequestSpec;

/**
 * A caller's request that passed authentication and validation.
 *
 * @param id the identifier, unguessable
 * @param organisation the organisation that it belongs to
 * @param call what was asked
 * @param spec what the decisions know of it
 * @param acceptedNanos when it came, on the monotonic clock
 * @param createdSeconds when it came, in seconds since 1970, for the answer's document
 * @param epoch tells the holders of one request apart: the highest epoch holds it
 */
record AcceptedRequest(RequestId id, String organisation, CompletionCall call, RequestSpec spec, long acceptedNanos,
		long createdSeconds, long epoch) {

	AcceptedRequest {
		Objects.requireNonNull(id, "id is null");
		Objects.requireNonNull(organisation, "organisation is null");
		Objects.requireNonNull(call, "call is null");
		Objects.requireNonNull(spec, "spec is null");
	}

}
