package org.rosemaryfront.serving;

import java.util.List;
import java.util.Objects;

import org.rosemaryfront.model.Resource.Priority;

/**
 * The properties of a caller's request to a model that the serving decisions use.
 *
 * @param organisation the name of the organisation
 * @param pool the name of the pool
 * @param model the name of the model or adapter
 * @param priority the priority class, which determines which requests go first
 * @param promptTokens the estimated length of the prompt, in tokens
 * @param maxTokens the maximum length of the answer, in tokens
 * @param prefixBlocks the chained hashes of the prompt's full blocks, first block first
 * @param firstTokenDeadlineNanos the deadline of the first token, on the monotonic clock,
 * in nanoseconds
 * @param betweenTokensNanos the maximum time between two tokens, in nanoseconds
 * @param answerDeadlineNanos the deadline of the last token, on the monotonic clock, in
 * nanoseconds
 */
public record RequestSpec(String organisation, String pool, String model, Priority priority, int promptTokens,
		int maxTokens, List<Long> prefixBlocks, long firstTokenDeadlineNanos, long betweenTokensNanos,
		long answerDeadlineNanos) {

	public RequestSpec {
		Objects.requireNonNull(organisation, "organisation is null");
		Objects.requireNonNull(pool, "pool is null");
		Objects.requireNonNull(model, "model is null");
		Objects.requireNonNull(priority, "priority is null");
		prefixBlocks = List.copyOf(prefixBlocks);
	}

}
