package org.rosemaryfront.traffic;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;

/** Buffers the chunks of a body until it is forwarded. */
final class BodyBuffer {

	private final List<ByteBuf> chunks = new ArrayList<>();

	private int size;

	/**
	 * Adds a chunk.
	 * @param chunk the chunk, which is released with the others
	 */
	void add(ByteBuf chunk) {
		this.chunks.add(chunk);
		this.size += chunk.readableBytes();
	}

	int size() {
		return this.size;
	}

	/**
	 * Returns retained duplicates of all chunks, so that they can be sent while they stay
	 * buffered.
	 * @return the chunks, to be released by the caller
	 */
	List<ByteBuf> duplicates() {
		return this.chunks.stream().map(ByteBuf::retainedDuplicate).toList();
	}

	/**
	 * Removes and returns all chunks.
	 * @return the chunks, to be released by the caller
	 */
	List<ByteBuf> takeAll() {
		List<ByteBuf> all = List.copyOf(this.chunks);
		this.chunks.clear();
		this.size = 0;
		return all;
	}

	void release() {
		takeAll().forEach(ByteBuf::release);
	}

}
