package org.rosemaryfront.traffic;

import java.util.OptionalLong;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

import org.rosemaryfront.ports.CallCodec;
import org.rosemaryfront.ports.ForwardingMetadata;

/** Creates the request for a backend server from the request of a caller. */
final class ServerRequest {

	private ServerRequest() {
	}

	/**
	 * Returns a new request head with normalised framing, so that ambiguous framing by
	 * the caller does not reach the server.
	 * @param callerHead the caller's request head
	 * @param length the length of the body if it is known; otherwise the caller's framing
	 * is kept
	 * @param codec the codec for the headers of calls
	 * @param metadata the metadata for the server
	 * @return the head
	 */
	static HttpRequest of(HttpRequest callerHead, OptionalLong length, CallCodec codec, ForwardingMetadata metadata) {
		HttpHeaders headers = callerHead.headers().copy();
		boolean hasBody = HttpUtil.isContentLengthSet(callerHead) || HttpUtil.isTransferEncodingChunked(callerHead);
		HopByHopHeaders.remove(headers);
		if (hasBody && length.isPresent()) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, length.getAsLong());
		}
		else if (hasBody && !headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
			headers.set(HttpHeaderNames.TRANSFER_ENCODING, "chunked");
		}
		codec.toServerHeaders(headers, metadata);
		return new DefaultHttpRequest(HttpVersion.HTTP_1_1, callerHead.method(), callerHead.uri(), headers);
	}

}
