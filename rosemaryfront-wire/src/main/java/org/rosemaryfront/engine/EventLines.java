package org.rosemaryfront.engine;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import io.netty.buffer.ByteBuf;

/** Cuts the bytes of a stream into lines and reads the events in them. */
final class EventLines {

	private static final int FIRST_SIZE = 512;

	private static final int LONGEST_LINE = 1 << 20;

	private byte[] bytes = new byte[FIRST_SIZE];

	private int length;

	List<EngineEvent> feed(ByteBuf chunk) throws IOException {
		int scanned = this.length;
		append(chunk);
		List<EngineEvent> events = new ArrayList<>();
		int start = 0;
		for (int i = scanned; i < this.length; i++) {
			if (this.bytes[i] == '\n') {
				if (i > start) {
					events.add(EngineJson.readEvent(this.bytes, start, i - start));
				}
				start = i + 1;
			}
		}
		System.arraycopy(this.bytes, start, this.bytes, 0, this.length - start);
		this.length -= start;
		return events;
	}

	private void append(ByteBuf chunk) throws IOException {
		int added = chunk.readableBytes();
		if (this.length + added > LONGEST_LINE) {
			throw new IOException("a line is longer than " + LONGEST_LINE + " bytes");
		}
		if (this.length + added > this.bytes.length) {
			this.bytes = Arrays.copyOf(this.bytes, Math.max(this.length + added, 2 * this.bytes.length));
		}
		chunk.readBytes(this.bytes, this.length, added);
		this.length += added;
	}

}
