package org.rosemaryfront.traffic;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

/**
 * Collects a stream of server-sent events, holds back the incomplete one at its end, and
 * records the identifier of the last one taken.
 *
 * <p>
 * A server may fail in the middle of an event. If the first half were forwarded, the
 * server that resumes the stream would send the whole event after it.
 */
final class EventFramer {

	private static final Pattern LINE_END = Pattern.compile("\r\n|\r|\n");

	private static final String ID_FIELD = "id:";

	private static final String BYTE_ORDER_MARK = "\uFEFF";

	private final ByteBuf buffer;

	/** The number of bytes that precede the end of the last complete event. */
	private int completeBytes;

	private Optional<String> lastId = Optional.empty();

	private boolean eventExpected = true;

	EventFramer(ByteBufAllocator allocator) {
		this.buffer = allocator.buffer();
	}

	/**
	 * Adds received bytes.
	 * @param bytes the bytes; released by this method
	 * @param completed how many of them precede the end of the last event that is
	 * complete now; 0 if none was completed
	 */
	void add(ByteBuf bytes, int completed) {
		if (completed > 0) {
			this.completeBytes = this.buffer.readableBytes() + completed;
		}
		this.buffer.writeBytes(bytes);
		bytes.release();
	}

	/**
	 * Removes the events that are complete.
	 * @return the events, empty if there are none
	 */
	Optional<ByteBuf> takeComplete() {
		if (this.completeBytes == 0) {
			return Optional.empty();
		}
		ByteBuf events = this.buffer.readBytes(this.completeBytes);
		this.buffer.discardSomeReadBytes();
		this.completeBytes = 0;
		recordLastId(events);
		this.eventExpected = false;
		return Optional.of(events);
	}

	/**
	 * Returns the number of bytes that are complete events.
	 * @return the number, 0 if none was completed since they were taken
	 */
	int completeBytes() {
		return this.completeBytes;
	}

	/**
	 * Returns the memory in use.
	 * @return the capacity of the buffer, in bytes
	 */
	long capacity() {
		return this.buffer.capacity();
	}

	/** Discards what was not taken, the incomplete event of a failed attempt. */
	void discardIncomplete() {
		this.eventExpected |= this.buffer.isReadable();
		this.buffer.clear();
		this.completeBytes = 0;
	}

	/**
	 * Returns whether a server that resumes the stream has at least one event to send.
	 * @return false if the last event forwarded may be that of the whole stream
	 */
	boolean isEventExpected() {
		return this.eventExpected;
	}

	Optional<String> lastId() {
		return this.lastId;
	}

	void release() {
		this.buffer.release();
	}

	private void recordLastId(ByteBuf events) {
		for (String line : LINE_END.split(events.toString(StandardCharsets.UTF_8).replace(BYTE_ORDER_MARK, ""))) {
			if (line.startsWith(ID_FIELD)) {
				this.lastId = Optional.of(line.substring(ID_FIELD.length()).trim());
			}
		}
	}

}
