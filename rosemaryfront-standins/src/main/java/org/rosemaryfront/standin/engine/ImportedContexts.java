package org.rosemaryfront.standin.engine;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** KV caches that came from other engines and wait for their streams. */
final class ImportedContexts {

	private final Map<Long, Imported> imported = new LinkedHashMap<>();

	private final KvMemory memory;

	private final long holdNanos;

	ImportedContexts(KvMemory memory, long holdNanos) {
		this.memory = memory;
		this.holdNanos = holdNanos;
	}

	int take(long now, ExportedContext exported) {
		drop(this.imported.remove(exported.context()));
		int blocks = EngineStream.blocksOf(exported.tokens());
		if (!this.memory.reserve(now, blocks)) {
			return 0;
		}
		exported.blocks().forEach((block) -> this.memory.compute(now, block));
		this.imported.put(exported.context(), new Imported(exported.blocks(), blocks - exported.blocks().size(),
				exported.tokens(), now + this.holdNanos));
		return exported.tokens();
	}

	// The blocks that wait for a stream besides the shared prompt blocks.
	int reserved(EngineStream stream) {
		Imported context = this.imported.get(stream.answer.context());
		return (context != null) ? context.reserved() : 0;
	}

	// Hands the waiting blocks to a stream, which uses the shared ones already. Returns
	// the tokens that the stream need not compute
	int takeOver(EngineStream stream) {
		Imported context = this.imported.remove(stream.answer.context());
		if (context == null) {
			return 0;
		}
		this.memory.release(context.blocks());
		return Math.min(context.tokens(), stream.context());
	}

	void expire(long now) {
		this.imported.values().removeIf((context) -> {
			if (context.expiresAt() <= now) {
				drop(context);
				return true;
			}
			return false;
		});
	}

	long nextExpiry() {
		return this.imported.values().stream().mapToLong(Imported::expiresAt).min().orElse(Long.MAX_VALUE);
	}

	private void drop(Imported context) {
		if (context != null) {
			this.memory.unreserve(context.reserved());
			this.memory.release(context.blocks());
		}
	}

	private record Imported(List<Long> blocks, int reserved, int tokens, long expiresAt) {
	}

}
