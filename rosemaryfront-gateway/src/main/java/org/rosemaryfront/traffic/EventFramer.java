package org.rosemaryfront.traffic;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

/**
 * Holds back the incomplete event at the end of a stream of server-sent events, and
 * records the identifier of the last one forwarded.
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

	private Optional<String> lastId = Optional.empty();

	private boolean eventExpected = true;

	EventFramer(ByteBufAllocator allocator) {
		this.buffer = allocator.buffer();
	}

	/**
	 * Adds received bytes.
	 * @param bytes the bytes; released by this method
	 * @param completeBytes how many of them precede the end of the last event that is
	 * complete now; 0 if none was completed
	 * @return all events that are complete now, possibly none
	 */
	ByteBuf add(ByteBuf bytes, int completeBytes) {
		int held = (completeBytes > 0) ? this.buffer.readableBytes() + completeBytes : 0;
		this.buffer.writeBytes(bytes);
		bytes.release();
		if (held == 0) {
			return this.buffer.alloc().buffer(0);
		}
		ByteBuf events = this.buffer.readBytes(held);
		this.buffer.discardSomeReadBytes();
		recordLastId(events);
		this.eventExpected = false;
		return events;
	}

	/** Discards the incomplete event of a failed attempt. */
	void discardIncomplete() {
		this.eventExpected |= this.buffer.isReadable();
		this.buffer.clear();
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
