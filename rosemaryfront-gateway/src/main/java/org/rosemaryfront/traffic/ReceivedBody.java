package org.rosemaryfront.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;

/** What was received of the body of one response of a server, and how it is framed. */
final class ReceivedBody {

	private static final String EVENT_STREAM = "text/event-stream";

	private final ResponseFraming framing;

	private final boolean eventStream;

	private final boolean eventExpected;

	private final EventScanner events = new EventScanner();

	private long bytes;

	private ReceivedBody(ResponseFraming framing, boolean eventStream, boolean eventExpected) {
		this.framing = framing;
		this.eventStream = eventStream;
		this.eventExpected = eventExpected;
	}

	/**
	 * Creates the record of a body of which nothing was received.
	 * @param head the head of the response
	 * @param streaming whether a success is a stream of events unless the head says
	 * otherwise
	 * @param eventExpected whether a stream has at least one event
	 * @return the record
	 */
	static ReceivedBody of(HttpResponse head, boolean streaming, boolean eventExpected) {
		boolean success = head.status().codeClass() == HttpStatusClass.SUCCESS
				&& !head.status().equals(HttpResponseStatus.NO_CONTENT);
		String type = head.headers().get(HttpHeaderNames.CONTENT_TYPE, streaming ? EVENT_STREAM : "");
		boolean eventStream = success && type.regionMatches(true, 0, EVENT_STREAM, 0, EVENT_STREAM.length());
		return new ReceivedBody(ResponseFraming.of(head), eventStream, eventExpected);
	}

	/**
	 * Records bytes of the body.
	 * @param received the bytes, which are not consumed
	 * @return how many of them precede the end of the last event that is complete now; 0
	 * if none was completed
	 */
	int add(ByteBuf received) {
		this.bytes += received.readableBytes();
		int complete = 0;
		if (this.eventStream) {
			int start = received.readerIndex();
			for (int i = start; i < received.writerIndex(); i++) {
				if (this.events.accept(received.getByte(i))) {
					complete = i + 1 - start;
				}
			}
		}
		return complete;
	}

	/**
	 * Returns whether the server broke the body off although it seems complete. A stream
	 * that ends with its connection between two events cannot be told from a whole one.
	 * @return true for a stream that ends inside an event or has none
	 */
	boolean isBrokenOff() {
		boolean eventMissing = this.eventStream && this.eventExpected && this.framing == ResponseFraming.CONNECTION
				&& this.events.count() == 0;
		return eventMissing || openEventBytes() > 0;
	}

	/**
	 * Returns the number of complete events received.
	 * @return the number, 0 for other bodies
	 */
	long events() {
		return this.events.count();
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
