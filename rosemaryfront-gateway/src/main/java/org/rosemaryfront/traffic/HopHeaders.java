package org.rosemaryfront.traffic;

import java.util.List;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/** The headers that concern one connection only and are never passed on. */
final class HopHeaders {

	private static final List<CharSequence> NAMES = List.of(HttpHeaderNames.CONNECTION, "Keep-Alive",
			HttpHeaderNames.PROXY_AUTHENTICATE, HttpHeaderNames.PROXY_AUTHORIZATION, "Proxy-Connection",
			HttpHeaderNames.TE, HttpHeaderNames.TRAILER, HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderNames.UPGRADE,
			HttpHeaderNames.EXPECT);

	private HopHeaders() {
	}

	/**
	 * Removes them, and those that the message itself names as such.
	 * @param headers the headers, changed in place
	 */
	static void remove(HttpHeaders headers) {
		for (String listed : headers.getAll(HttpHeaderNames.CONNECTION)) {
			for (String name : listed.split(",")) {
				String trimmed = name.trim();
				// The length frames the message: a caller that lists it must not take it
				// away, or the bytes of the body would be read as the next request.
				if (!trimmed.isEmpty() && !HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(trimmed)
						&& !HttpHeaderNames.HOST.contentEqualsIgnoreCase(trimmed)) {
					headers.remove(trimmed);
				}
			}
		}
		NAMES.forEach(headers::remove);
	}

}
