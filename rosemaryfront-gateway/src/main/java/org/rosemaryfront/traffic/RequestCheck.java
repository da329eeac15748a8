package org.rosemaryfront.traffic;

import java.util.List;
import java.util.Locale;
import java.util.Optional;

import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;

import org.rosemaryfront.routes.CallerLimits;

/** Whether the head of a request can be taken at all. */
final class RequestCheck {

	private RequestCheck() {
	}

	/**
	 * Checks a head.
	 * @param head the head
	 * @param limits what callers may send
	 * @return why it is refused, empty when it is fine
	 */
	static Optional<Fault> check(HttpRequest head, CallerLimits limits) {
		if (head.decoderResult().isFailure()) {
			Throwable cause = head.decoderResult().cause();
			return (cause instanceof TooLongFrameException) ? fault(431, "the line or the headers are too long")
					: fault(400, String.valueOf(cause.getMessage()));
		}
		if (head.protocolVersion().majorVersion() != 1) {
			return fault(400, "no HTTP/1");
		}
		if (head.headers().getAll(HttpHeaderNames.HOST).size() != 1) {
			return fault(400, "not one host");
		}
		List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
		if (!codings.isEmpty() && (codings.size() > 1 || !"chunked".equalsIgnoreCase(codings.getFirst().trim()))) {
			return fault(400, "a transfer coding other than chunked");
		}
		if (HttpUtil.getContentLength(head, 0L) > limits.bodyBytes()) {
			return fault(413, "the body is too long");
		}
		return Optional.empty();
	}

	/**
	 * The host that the caller named, without its port.
	 * @param head the head
	 * @return the host in lower case
	 */
	static String host(HttpRequest head) {
		String host = head.headers().get(HttpHeaderNames.HOST, "").trim().toLowerCase(Locale.ROOT);
		int port = host.lastIndexOf(':');
		return (port > host.lastIndexOf(']')) ? host.substring(0, port) : host;
	}

	/**
	 * The path of a request, without its query.
	 * @param uri the target of the request's line
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
	 * Why a request cannot be taken.
	 *
	 * @param status the HTTP status of the refusal
	 * @param reason what is wrong
	 */
	record Fault(int status, String reason) {
	}

}
