package org.rosemaryfront.traffic;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

/**
 * Splits a stream of server-sent events into complete events and records the identifier
 * of the last one forwarded.
 *
 * <p>
 * A server may fail in the middle of an event. If the first half were forwarded, the
 * server that resumes the stream would send the whole event after it.
 */
final class EventFramer {

	private static final String ID_FIELD = "id:";

	private final ByteBuf held;

	private Optional<String> lastId = Optional.empty();

	EventFramer(ByteBufAllocator allocator) {
		this.held = allocator.buffer();
	}

	/**
	 * Adds received bytes.
	 * @param bytes the bytes; released by this method
	 * @return all events that are complete now, possibly none
	 */
	ByteBuf add(ByteBuf bytes) {
		this.held.writeBytes(bytes);
		bytes.release();
		int end = lastBlankLine();
		if (end <= this.held.readerIndex()) {
			return this.held.alloc().buffer(0);
		}
		ByteBuf whole = this.held.readBytes(end - this.held.readerIndex());
		this.held.discardSomeReadBytes();
		noteLastId(whole);
		return whole;
	}

	/** Discards the incomplete event of a failed attempt. */
	void dropHalf() {
		this.held.clear();
	}

	/**
	 * Returns and removes the bytes after the last complete event.
	 * @return the bytes, to be released by the caller
	 */
	ByteBuf rest() {
		return this.held.readBytes(this.held.readableBytes());
	}

	Optional<String> lastId() {
		return this.lastId;
	}

	void release() {
		this.held.release();
	}

	// Returns the index after the last blank line, or the reader index if there is none.
	private int lastBlankLine() {
		int end = this.held.writerIndex();
		for (int i = end - 1; i > this.held.readerIndex(); i--) {
			if (this.held.getByte(i) == '\n') {
				int before = (this.held.getByte(i - 1) == '\r') ? i - 2 : i - 1;
				if (before >= this.held.readerIndex() && this.held.getByte(before) == '\n') {
					return i + 1;
				}
			}
		}
		return this.held.readerIndex();
	}

	private void noteLastId(ByteBuf whole) {
		for (String line : whole.toString(StandardCharsets.UTF_8).split("\n")) {
			if (line.startsWith(ID_FIELD)) {
				this.lastId = Optional.of(line.substring(ID_FIELD.length()).trim());
			}
		}
	}

}
