package org.rosemaryfront.traffic;

import java.util.function.Predicate;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes what a backend server sends, which may be more than the responses to the calls
 * of the connection. That a response to a HEAD request has no body is concluded from the
 * response itself, not from its place among the others.
 */
final class ServerResponseDecoder extends HttpResponseDecoder {

	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5]\\d\\d(?: |$)");

	private final Predicate<HttpResponse> answersHeadRequest;

	private ServerResponseDecoder(HttpDecoderConfig limits, Predicate<HttpResponse> answersHeadRequest) {
		super(limits);
		this.answersHeadRequest = answersHeadRequest;
	}

	/**
	 * Creates the decoder of a connection.
	 * @param limits the maximum lengths
	 * @param answersHeadRequest whether a response belongs to a HEAD request
	 * @return the decoder
	 */
	static ServerResponseDecoder of(HttpDecoderConfig limits, Predicate<HttpResponse> answersHeadRequest) {
		return new ServerResponseDecoder(limits, answersHeadRequest);
	}

	/**
	 * Returns whether a part of a response was received whose rest is missing.
	 * @return true inside a line or between lines of a head
	 */
	boolean isInsideHead() {
		return actualReadableBytes() > 0;
	}

	/**
	 * Returns whether a head consists of those of two responses, the first of which was
	 * broken off: a server that breaks a response off may keep the connection.
	 * @param head the head
	 * @return true if a status line stands behind the first one
	 */
	static boolean isJoined(HttpResponse head) {
		return containsStatusLine(head.status().reasonPhrase())
				|| head.headers().entries().stream().anyMatch((header) -> containsStatusLine(header.getValue()));
	}

	private static boolean containsStatusLine(String text) {
		return text.contains("HTTP/1.") && STATUS_LINE.matcher(text).find();
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		return super.isContentAlwaysEmpty(message)
				|| (message instanceof HttpResponse head && this.answersHeadRequest.test(head));
	}

}
