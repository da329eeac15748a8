package org.rosemaryfront.standin.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.rosemaryfront.engine.EngineClient.StreamOrder;
import org.rosemaryfront.engine.EngineEvent;

/** A stream in a stand-in engine. */
final class EngineStream {

	/** Higher priority first, then the earlier arrival. */
	static final Comparator<EngineStream> BY_PRIORITY = Comparator
		.comparingInt((EngineStream stream) -> -stream.order.priority())
		.thenComparingLong((stream) -> stream.arrival);

	final StreamOrder order;

	final StandInAnswer answer;

	final long arrival;

	final long expiresAt;

	final int promptTokens;

	final int length;

	/** The prompt blocks that it uses, always a prefix of the order's blocks. */
	final List<Long> held = new ArrayList<>();

	/** Tokens of prompt and emitted answer whose KV cache exists. */
	int prefilled;

	/** The versions of model and adapter that it runs on. */
	List<String> versions = List.of();

	/** The place of the next token. */
	int next;

	int reserved;

	int chunk;

	EngineEvent.Accepted accepted;

	/** How it ended, null while it lives. */
	EngineEvent end;

	long endedAt;

	EngineStream(StreamOrder order, long arrival, long now) {
		this.order = order;
		this.answer = StandInAnswer.of(order.prompt(), order.model(), order.adapter());
		this.arrival = arrival;
		this.expiresAt = now + order.expiresAfter().toNanos();
		this.promptTokens = StandInAnswer.countTokens(order.prompt());
		this.length = this.answer.length(order.maxTokens());
		this.next = order.emitted().size();
	}

	// The memory that the whole stream needs, in blocks.
	int blocks() {
		int tokens = this.promptTokens + Math.max(this.order.maxTokens(), this.next);
		return blocksOf(tokens);
	}

	// The tokens that must be in the KV cache before it generates.
	int context() {
		return this.promptTokens + this.order.emitted().size();
	}

	int fullBlocks(int tokens) {
		int full = Math.min(tokens, this.promptTokens) / EngineParameters.BLOCK_TOKENS;
		return Math.min(full, this.order.blocks().size());
	}

	boolean generates() {
		return this.prefilled >= context();
	}

	int generated() {
		return this.next - this.order.emitted().size();
	}

	// All tokens whose KV cache exists.
	int cachedTokens() {
		return this.prefilled + generated();
	}

	static int blocksOf(int tokens) {
		return (tokens + EngineParameters.BLOCK_TOKENS - 1) / EngineParameters.BLOCK_TOKENS;
	}

}
