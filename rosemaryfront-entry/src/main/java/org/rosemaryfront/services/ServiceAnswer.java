package org.rosemaryfront.services;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import reactor.netty.http.client.HttpClientResponse;

/**
 * The whole answer of a backend server.
 *
 * @param status the HTTP status
 * @param headers the headers of interest, in lower case
 * @param body the body, empty when it was too large
 */
record ServiceAnswer(int status, Map<String, String> headers, Optional<byte[]> body) {

	private static final String[] KEPT = { "content-type", "location", "etag", "cache-control", "content-encoding",
			"content-language", "retry-after" };

	static ServiceAnswer of(HttpClientResponse head, byte[] body, int limit) {
		Map<String, String> headers = new TreeMap<>();
		for (String name : KEPT) {
			String value = head.responseHeaders().get(name);
			if (value != null) {
				headers.put(name, value);
			}
		}
		return new ServiceAnswer(head.status().code(), headers,
				(body.length > limit) ? Optional.empty() : Optional.of(body));
	}

}
