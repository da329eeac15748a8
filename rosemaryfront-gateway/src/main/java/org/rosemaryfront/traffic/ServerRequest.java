package org.rosemaryfront.traffic;

import java.util.OptionalLong;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

import org.rosemaryfront.ports.CallCodec;
import org.rosemaryfront.ports.Handover;

/** Turns a caller's request into the one that a backend server gets. */
final class ServerRequest {

	private ServerRequest() {
	}

	/**
	 * The head of the request, framed anew: whatever was odd in the caller's framing ends
	 * here.
	 * @param from the caller's head
	 * @param length the length of the body when it is known, else the caller's own
	 * framing is kept
	 * @param codec writes what the server is told
	 * @param handover what the server is told
	 * @return the head
	 */
	static HttpRequest of(HttpRequest from, OptionalLong length, CallCodec codec, Handover handover) {
		HttpHeaders headers = from.headers().copy();
		boolean bodied = HttpUtil.isContentLengthSet(from) || HttpUtil.isTransferEncodingChunked(from);
		HopHeaders.remove(headers);
		if (bodied && length.isPresent()) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, length.getAsLong());
		}
		else if (bodied && !headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
			headers.set(HttpHeaderNames.TRANSFER_ENCODING, "chunked");
		}
		codec.handOver(headers, handover);
		return new DefaultHttpRequest(HttpVersion.HTTP_1_1, from.method(), from.uri(), headers);
	}

}
