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

	private final ByteBuf buffer;

	private Optional<String> lastId = Optional.empty();

	EventFramer(ByteBufAllocator allocator) {
		this.buffer = allocator.buffer();
	}

	/**
	 * Adds received bytes.
	 * @param bytes the bytes; released by this method
	 * @return all events that are complete now, possibly none
	 */
	ByteBuf add(ByteBuf bytes) {
		this.buffer.writeBytes(bytes);
		bytes.release();
		int end = endOfLastEvent();
		if (end <= this.buffer.readerIndex()) {
			return this.buffer.alloc().buffer(0);
		}
		ByteBuf events = this.buffer.readBytes(end - this.buffer.readerIndex());
		this.buffer.discardSomeReadBytes();
		recordLastId(events);
		return events;
	}

	/** Discards the incomplete event of a failed attempt. */
	void discardIncomplete() {
		this.buffer.clear();
	}

	/**
	 * Returns and removes the bytes after the last complete event.
	 * @return the bytes, to be released by the caller
	 */
	ByteBuf takeRemaining() {
		return this.buffer.readBytes(this.buffer.readableBytes());
	}

	Optional<String> lastId() {
		return this.lastId;
	}

	void release() {
		this.buffer.release();
	}

	// Returns the index after the last blank line, or the reader index if there is none.
	private int endOfLastEvent() {
		int end = this.buffer.writerIndex();
		for (int i = end - 1; i > this.buffer.readerIndex(); i--) {
			if (this.buffer.getByte(i) == '\n') {
				int before = (this.buffer.getByte(i - 1) == '\r') ? i - 2 : i - 1;
				if (before >= this.buffer.readerIndex() && this.buffer.getByte(before) == '\n') {
					return i + 1;
				}
			}
		}
		return this.buffer.readerIndex();
	}

	private void recordLastId(ByteBuf events) {
		for (String line : events.toString(StandardCharsets.UTF_8).split("\n")) {
			if (line.startsWith(ID_FIELD)) {
				this.lastId = Optional.of(line.substring(ID_FIELD.length()).trim());
			}
		}
	}

}
