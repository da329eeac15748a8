package org.rosemaryfront.traffic;

import java.util.List;
import java.util.Locale;
import java.util.Optional;

import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;

import org.rosemaryfront.routes.CallerLimits;

/** Validates and parses the head of a request. */
final class RequestValidator {

	private RequestValidator() {
	}

	/**
	 * Validates a request head.
	 * @param head the head
	 * @param limits the limits for callers
	 * @return why the request is refused, empty if it is valid
	 */
	static Optional<Fault> validate(HttpRequest head, CallerLimits limits) {
		if (head.decoderResult().isFailure()) {
			Throwable cause = head.decoderResult().cause();
			return (cause instanceof TooLongFrameException)
					? fault(431, "the request line or the headers exceed the size limit")
					: fault(400, String.valueOf(cause.getMessage()));
		}
		if (head.protocolVersion().majorVersion() != 1) {
			return fault(400, "the protocol version is not HTTP/1");
		}
		if (head.headers().getAll(HttpHeaderNames.HOST).size() != 1) {
			return fault(400, "the request does not have exactly one Host header");
		}
		List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
		if (!codings.isEmpty() && (codings.size() > 1 || !"chunked".equalsIgnoreCase(codings.getFirst().trim()))) {
			return fault(400, "the transfer coding is not chunked");
		}
		if (HttpUtil.getContentLength(head, 0L) > limits.bodyBytes()) {
			return fault(413, "the body exceeds the size limit");
		}
		return Optional.empty();
	}

	/**
	 * Returns the host that the request names, without its port.
	 * @param head the head
	 * @return the host in lower case
	 */
	static String host(HttpRequest head) {
		String host = head.headers().get(HttpHeaderNames.HOST, "").trim().toLowerCase(Locale.ROOT);
		int port = host.lastIndexOf(':');
		return (port > host.lastIndexOf(']')) ? host.substring(0, port) : host;
	}

	/**
	 * Returns the path of a request target, without its query.
	 * @param uri the request target
	 * @return the path
	 */
	static String path(String uri) {
		int start = 0;
		int scheme = uri.indexOf("://");
		if (!uri.startsWith("/") && scheme > 0) {
			start = uri.indexOf('/', scheme + 3);
		}
		String rest = (start < 0) ? "/" : uri.substring(start);
		int query = rest.indexOf('?');
		return (query < 0) ? rest : rest.substring(0, query);
	}

	private static Optional<Fault> fault(int status, String reason) {
		return Optional.of(new Fault(status, reason));
	}

	/**
	 * Why a request is invalid.
	 *
	 * @param status the HTTP status of the response
	 * @param reason the reason, for the log
	 */
	record Fault(int status, String reason) {
	}

}
