package org.rosemaryfront.traffic;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

/**
 * Cuts a stream of server-sent events into whole events and knows the last that went out.
 *
 * <p>
 * A server may stop in the middle of an event. Were its first half passed on, the run
 * that goes on elsewhere would send the whole event again behind it.
 */
final class EventFramer {

	private static final String ID_FIELD = "id:";

	private final ByteBuf held;

	private Optional<String> lastId = Optional.empty();

	EventFramer(ByteBufAllocator allocator) {
		this.held = allocator.buffer();
	}

	/**
	 * Takes bytes.
	 * @param bytes the bytes; released here
	 * @return all events that are whole now, possibly none
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

	/** Forgets the half event of a run that broke off. */
	void dropHalf() {
		this.held.clear();
	}

	/**
	 * What is left behind the last whole event.
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

	// The index behind the last blank line, or the reader's index when there is none.
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
