package org.rosemaryfront.traffic;

import java.util.function.Consumer;

import org.rosemaryfront.streams.Origin;
import org.rosemaryfront.streams.StreamKey;

/**
 * Finds which version of a service began a stream, at any gateway. All methods are called
 * on the traffic thread.
 */
public interface StreamDirectory {

	/**
	 * Records which version began a stream. Called before the first event of a response
	 * is sent to the caller, so that the other gateways are told even if this one is
	 * killed right after.
	 * @param stream the stream
	 * @param version the version of the server that made the event
	 */
	void began(StreamKey stream, String version);

	/**
	 * Finds the origin of a stream.
	 * @param stream the stream
	 * @param caller receives the origin on the traffic thread, at once or later
	 */
	void find(StreamKey stream, Consumer<Origin> caller);

	/**
	 * Finds the origin of a stream by its request, which other streams may share. It is
	 * known only if no stream of the request can have been missed.
	 * @param request the key of the request
	 * @param boundMillis for how long a stream may be taken up after it began, in
	 * milliseconds
	 * @param caller receives the origin on the traffic thread, at once or later
	 */
	void findOfRequest(StreamKey request, long boundMillis, Consumer<Origin> caller);

}
