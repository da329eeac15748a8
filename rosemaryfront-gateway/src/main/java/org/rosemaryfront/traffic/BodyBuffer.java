package org.rosemaryfront.traffic;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

/**
 * Buffers a body until it is forwarded. The bytes are copied together: a chunk of few
 * bytes would otherwise keep the whole buffer that it was received in.
 */
final class BodyBuffer {

	private static final int BLOCK_BYTES = 16_384;

	private final ByteBufAllocator allocator;

	private final List<ByteBuf> blocks = new ArrayList<>();

	private int size;

	BodyBuffer(ByteBufAllocator allocator) {
		this.allocator = allocator;
	}

	/**
	 * Adds a chunk.
	 * @param chunk the chunk, which is released by this method
	 */
	void add(ByteBuf chunk) {
		try {
			this.size += chunk.readableBytes();
			while (chunk.isReadable()) {
				ByteBuf block = blockFor(chunk.readableBytes());
				block.writeBytes(chunk, Math.min(chunk.readableBytes(), block.maxWritableBytes()));
			}
		}
		finally {
			chunk.release();
		}
	}

	private ByteBuf blockFor(int bytes) {
		if (this.blocks.isEmpty() || this.blocks.getLast().maxWritableBytes() == 0) {
			this.blocks.add(this.allocator.buffer(Math.min(bytes, BLOCK_BYTES), BLOCK_BYTES));
		}
		return this.blocks.getLast();
	}

	int size() {
		return this.size;
	}

	/**
	 * Returns the memory in use.
	 * @return the capacity of all blocks, in bytes
	 */
	long capacity() {
		return this.blocks.stream().mapToLong(ByteBuf::capacity).sum();
	}

	/**
	 * Returns retained duplicates of the body, so that it can be sent while it stays
	 * buffered. Nothing may be added after that.
	 * @return the body in blocks, to be released by the caller
	 */
	List<ByteBuf> duplicates() {
		return this.blocks.stream().map(ByteBuf::retainedDuplicate).toList();
	}

	/**
	 * Removes and returns the body.
	 * @return the body in blocks, to be released by the caller
	 */
	List<ByteBuf> takeAll() {
		List<ByteBuf> all = List.copyOf(this.blocks);
		this.blocks.clear();
		this.size = 0;
		return all;
	}

	void release() {
		takeAll().forEach(ByteBuf::release);
	}

}
