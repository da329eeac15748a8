package org.rosemaryfront.standin.platform;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.QueryStringDecoder;

import org.rosemaryfront.platform.PlatformCodec;

/**
 * An HTTP call that arrived whole.
 *
 * @param method the method
 * @param path the segments of the path, decoded
 * @param query the parameters of the query, decoded
 * @param body the body
 */
record Call(String method, List<String> path, Map<String, List<String>> query, byte[] body) {

	/**
	 * Reads a call.
	 * @param method the method
	 * @param uri the path and query as they came
	 * @param body the body
	 * @return the call
	 */
	static Call of(String method, String uri, byte[] body) {
		QueryStringDecoder decoder = new QueryStringDecoder(uri);
		List<String> path = Arrays.stream(decoder.rawPath().split("/", -1))
			.skip(1)
			.map((segment) -> URLDecoder.decode(segment.replace("+", "%2B"), StandardCharsets.UTF_8))
			.toList();
		return new Call(method, path, decoder.parameters(), body);
	}

	JsonNode document() {
		return PlatformCodec.tree(this.body);
	}

	long number(String parameter, long standard) {
		String text = parameter(parameter, Long.toString(standard));
		try {
			return Long.parseLong(text);
		}
		catch (NumberFormatException ex) {
			throw new IllegalArgumentException(parameter + " is no whole number", ex);
		}
	}

	String parameter(String parameter, String standard) {
		return this.query.getOrDefault(parameter, List.of(standard)).getFirst();
	}

	/**
	 * The method and the fixed part of the path, to choose a route by.
	 * @return such as {@code GET /tables/v1/rows 4}: the number is that of the segments
	 */
	String route() {
		return this.method + " /" + String.join("/", this.path.subList(0, Math.min(3, this.path.size()))) + " "
				+ this.path.size();
	}

	String segment(int index) {
		return this.path.get(index);
	}

}
