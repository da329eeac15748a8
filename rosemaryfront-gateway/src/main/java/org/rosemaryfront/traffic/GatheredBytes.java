package org.rosemaryfront.traffic;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;

/**
 * The bytes of a body that are kept until they go out, in the pieces in which they came.
 */
final class GatheredBytes {

	private final List<ByteBuf> parts = new ArrayList<>();

	private int size;

	/**
	 * Keeps a piece.
	 * @param part the piece, released with the others
	 */
	void add(ByteBuf part) {
		this.parts.add(part);
		this.size += part.readableBytes();
	}

	int size() {
		return this.size;
	}

	/**
	 * All pieces once more, to be sent while they are kept.
	 * @return the pieces, to be released by the caller
	 */
	List<ByteBuf> copies() {
		return this.parts.stream().map(ByteBuf::retainedDuplicate).toList();
	}

	/**
	 * All pieces, which are no longer kept.
	 * @return the pieces, to be released by the caller
	 */
	List<ByteBuf> takeAll() {
		List<ByteBuf> all = List.copyOf(this.parts);
		this.parts.clear();
		this.size = 0;
		return all;
	}

	void release() {
		takeAll().forEach(ByteBuf::release);
	}

}
