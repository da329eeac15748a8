package org.rosemaryfront.moves;

import java.util.Comparator;
import java.util.OptionalLong;

/**
 * A run of a call at a server, as its gateway sees it.
 *
 * @param call the identifier of the call
 * @param priority the priority of the call, 0 for the most urgent
 * @param promptTokens the tokens of its prompt
 * @param madeTokens the tokens of the response that the caller has
 * @param maxTokens the maximum number of tokens of the response, empty if not stated
 * @param millisPerToken the time between two tokens; 0 while it is not known
 * @param gapMillis the longest pause between events that is still in time, in
 * milliseconds
 * @param resumable whether the stream may be resumed without its KV cache entries
 */
public record RunState(String call, int priority, long promptTokens, long madeTokens, OptionalLong maxTokens,
		double millisPerToken, long gapMillis, boolean resumable) {

	/**
	 * The order in which runs move: the most urgent first, of these the ones that are
	 * lost otherwise, of these the ones that take the least time.
	 */
	static final Comparator<RunState> BY_URGENCY = Comparator.comparingInt(RunState::priority)
		.thenComparing(RunState::resumable)
		.thenComparingLong(RunState::tokens)
		.thenComparing(RunState::call);

	/**
	 * Returns the size of the run's KV cache entries.
	 * @return the number of tokens
	 */
	public long tokens() {
		return this.promptTokens + this.madeTokens;
	}

	/**
	 * Returns the size of the run's KV cache entries at its end, as far as it is known.
	 * @return the number of tokens
	 */
	long tokensAtEnd() {
		return this.promptTokens + Math.max(this.madeTokens, this.maxTokens.orElse(0));
	}

	/**
	 * Returns whether the run is sure to end within a time.
	 * @param millis the time, in milliseconds
	 * @return false if its maximum or its pace is not known
	 */
	boolean endsWithin(double millis) {
		boolean known = this.maxTokens.isPresent() && this.millisPerToken > 0;
		return known && (this.maxTokens.getAsLong() - this.madeTokens) * this.millisPerToken <= millis;
	}

}
