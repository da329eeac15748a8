package org.rosemaryfront.streams;

/** What gateways tell one another about the origins of streams. */
public sealed interface OriginMessage {

	/**
	 * Returns the stream.
	 * @return the key
	 */
	StreamKey stream();

	/**
	 * Tells the origin of a stream to a gateway that keeps it.
	 *
	 * @param stream the stream
	 * @param origin its origin, known or ambiguous
	 * @param ageMillis how long ago an event of the stream was last known to be sent
	 */
	record Told(StreamKey stream, Origin origin, long ageMillis) implements OriginMessage {
	}

	/**
	 * Asks for the origin of a stream.
	 *
	 * @param stream the stream
	 * @param from the gateway that asks
	 */
	record Asked(StreamKey stream, String from) implements OriginMessage {
	}

	/**
	 * Answers with the origin of a stream.
	 *
	 * @param stream the stream
	 * @param from the gateway that answers
	 * @param origin what it knows
	 * @param knownMillis the time for which it knows all streams that it began or should
	 * have been told of, in milliseconds
	 */
	record Answered(StreamKey stream, String from, Origin origin, long knownMillis) implements OriginMessage {
	}

}
