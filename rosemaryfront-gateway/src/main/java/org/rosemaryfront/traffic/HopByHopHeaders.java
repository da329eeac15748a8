package org.rosemaryfront.traffic;

import java.util.List;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * The hop-by-hop headers, which apply to a single connection and are not forwarded.
 */
final class HopByHopHeaders {

	private static final List<CharSequence> NAMES = List.of(HttpHeaderNames.CONNECTION, "Keep-Alive",
			HttpHeaderNames.PROXY_AUTHENTICATE, HttpHeaderNames.PROXY_AUTHORIZATION, "Proxy-Connection",
			HttpHeaderNames.TE, HttpHeaderNames.TRAILER, HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderNames.UPGRADE,
			HttpHeaderNames.EXPECT);

	private HopByHopHeaders() {
	}

	/**
	 * Removes the standard hop-by-hop headers and those that the Connection header lists.
	 * @param headers the headers, changed in place
	 */
	static void remove(HttpHeaders headers) {
		for (String listed : headers.getAll(HttpHeaderNames.CONNECTION)) {
			for (String name : listed.split(",")) {
				String trimmed = name.trim();
				// Content-Length frames the message. If a caller could remove it by
				// listing it, the server would read the body as the next request.
				if (!trimmed.isEmpty() && !HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(trimmed)
						&& !HttpHeaderNames.HOST.contentEqualsIgnoreCase(trimmed)) {
					headers.remove(trimmed);
				}
			}
		}
		NAMES.forEach(headers::remove);
	}

}
