package org.rosemaryfront.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;

/** What was received of the body of one response of a server, and how it is framed. */
final class ReceivedBody {

	private static final String EVENT_STREAM = "text/event-stream";

	private final ResponseFraming framing;

	private final boolean eventStream;

	private final EventScanner events = new EventScanner();

	private long bytes;

	private ReceivedBody(ResponseFraming framing, boolean eventStream) {
		this.framing = framing;
		this.eventStream = eventStream;
	}

	/**
	 * Creates the record of a body of which nothing was received.
	 * @param head the head of the response
	 * @param streaming whether a stream of events is expected unless the head says
	 * otherwise
	 * @return the record
	 */
	static ReceivedBody of(HttpResponse head, boolean streaming) {
		String type = head.headers().get(HttpHeaderNames.CONTENT_TYPE, streaming ? EVENT_STREAM : "");
		return new ReceivedBody(ResponseFraming.of(head),
				type.regionMatches(true, 0, EVENT_STREAM, 0, EVENT_STREAM.length()));
	}

	/**
	 * Records bytes of the body.
	 * @param received the bytes, which are not consumed
	 */
	void add(ByteBuf received) {
		this.bytes += received.readableBytes();
		if (this.eventStream) {
			received.forEachByte((next) -> {
				this.events.accept(next);
				return true;
			});
		}
	}

	boolean isEventStream() {
		return this.eventStream;
	}

	ResponseFraming framing() {
		return this.framing;
	}

	long bytes() {
		return this.bytes;
	}

	/**
	 * Returns the number of bytes received of an incomplete event.
	 * @return the number, 0 between two events and for other bodies
	 */
	long openEventBytes() {
		return this.events.openBytes();
	}

}
