package org.rosemaryfront.standin.engine;

import java.util.List;

/**
 * The KV cache of a stream on its way to another engine.
 *
 * @param context names prompt, model and adapter, {@link StandInAnswer#context}
 * @param blocks the full prompt blocks that it has
 * @param tokens all tokens that it has
 * @param readyAt when the transfer ends at the source's bandwidth, in the source's time
 */
public record ExportedContext(long context, List<Long> blocks, int tokens, long readyAt) {

	public ExportedContext {
		blocks = List.copyOf(blocks);
	}

}
