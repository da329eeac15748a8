package org.rosemaryfront.standin.engine;

import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/** Gives streams their KV memory, computes their contexts and counts what that took. */
final class StreamContexts {

	private final KvMemory memory;

	private final ImportedContexts imports;

	private final EngineCounters.Mutable counters;

	private Predicate<Long> firstInFleet = (_) -> true;

	StreamContexts(KvMemory memory, ImportedContexts imports, EngineCounters.Mutable counters) {
		this.memory = memory;
		this.imports = imports;
		this.counters = counters;
	}

	void countAgainst(Set<Long> blocks) {
		this.firstInFleet = blocks::add;
	}

	// Takes the memory for a whole stream, or none when it does not fit.
	boolean start(long now, EngineStream stream) {
		int found = this.memory.prefix(stream.order.blocks().subList(0, stream.fullBlocks(stream.promptTokens)));
		List<Long> prefix = stream.order.blocks().subList(0, found);
		prefix.forEach(this.memory::use);
		int needed = stream.blocks() - found;
		if (!this.memory.reserve(now, needed - this.imports.reserved(stream))) {
			this.memory.release(prefix);
			return false;
		}
		int importedTokens = this.imports.takeOver(stream);
		stream.held.addAll(prefix);
		stream.reserved = needed;
		stream.prefilled = Math.max(importedTokens, found * EngineParameters.BLOCK_TOKENS);
		this.counters.cached += (importedTokens > 0) ? 0 : stream.prefilled;
		return true;
	}

	void prefill(long now, EngineStream stream) {
		int before = stream.prefilled;
		stream.prefilled += stream.chunk;
		this.counters.prefilled += stream.chunk;
		int again = Math.max(0, stream.prefilled - Math.max(before, stream.promptTokens));
		this.counters.recomputed += again;
		this.counters.recomputedInFleet += again;
		for (int i = stream.held.size(); i < stream.fullBlocks(stream.prefilled); i++) {
			computeBlock(now, stream, stream.order.blocks().get(i));
		}
		stream.chunk = 0;
	}

	private void computeBlock(long now, EngineStream stream, Long block) {
		if (this.memory.computedBefore(block)) {
			this.counters.recomputed += EngineParameters.BLOCK_TOKENS;
		}
		if (!this.firstInFleet.test(block)) {
			this.counters.recomputedInFleet += EngineParameters.BLOCK_TOKENS;
		}
		this.memory.compute(now, block);
		stream.held.add(block);
		stream.reserved--;
	}

	void release(EngineStream stream) {
		this.memory.unreserve(stream.reserved);
		this.memory.release(stream.held);
		stream.reserved = 0;
		stream.held.clear();
	}

}
