package org.rosemaryfront.traffic;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;

import org.rosemaryfront.http.StrictResponseDecoder;

/**
 * Decodes what a backend server sends, which may be more than the responses to the calls
 * of the connection. That a response to a HEAD request has no body is concluded from the
 * response itself, not from its place among the others.
 */
final class ServerResponseDecoder extends StrictResponseDecoder {

	/** Whatever the decoder takes for the first line of a response. */
	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d(?:\\.\\d)?[ \\t]+\\d{3}(?!\\d)",
			Pattern.CASE_INSENSITIVE);

	private static final String NOT_VALID = "the response is not valid HTTP: ";

	/** A server that breaks a response off may keep the connection. */
	private static final String STATUS_LINE_INSIDE = NOT_VALID + "a status line inside it";

	private boolean insideHead;

	private ServerResponseDecoder(HttpDecoderConfig limits, Predicate<HttpResponse> answersHeadRequest,
			BooleanSupplier requestTaken) {
		super(limits, answersHeadRequest, requestTaken);
	}

	/**
	 * Creates the decoder of a connection.
	 * @param limits the maximum lengths
	 * @param answersHeadRequest whether a response belongs to a HEAD request
	 * @param requestTaken whether the whole of the current request was sent
	 * @return the decoder
	 */
	static ServerResponseDecoder of(HttpDecoderConfig limits, Predicate<HttpResponse> answersHeadRequest,
			BooleanSupplier requestTaken) {
		return new ServerResponseDecoder(limits, answersHeadRequest, requestTaken);
	}

	/**
	 * Returns whether a part of a head was received whose rest is missing.
	 * @return true inside a line and between two lines
	 */
	boolean isInsideHead() {
		return this.insideHead || actualReadableBytes() > 0;
	}

	/**
	 * Returns why a response is not valid.
	 * @param head its head
	 * @param first whether it is the first one on its connection, so that none that was
	 * broken off precedes it
	 * @return the cause, empty for a valid head
	 */
	static Optional<String> fault(HttpResponse head, boolean first) {
		if (head.decoderResult().isFailure()) {
			return Optional.of(NOT_VALID + head.decoderResult().cause().getMessage());
		}
		if (!first && (containsStatusLine(head.status().reasonPhrase()) || containsStatusLine(head.headers()))) {
			return Optional.of(STATUS_LINE_INSIDE);
		}
		boolean switched = head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
		return switched ? Optional.of(NOT_VALID + "a change of the protocol that was not asked for") : Optional.empty();
	}

	/**
	 * Returns why a part of a body is not valid.
	 * @param content the part
	 * @param skipped whether it belongs to a response to another call; that to the
	 * current one may contain any bytes
	 * @param first whether the response is the first one on its connection
	 * @return the cause, empty for a valid part
	 */
	static Optional<String> fault(HttpContent content, boolean skipped, boolean first) {
		if (content.decoderResult().isFailure()) {
			return Optional.of(NOT_VALID + content.decoderResult().cause().getMessage());
		}
		boolean joined = !first && ((skipped && containsStatusLine(content.content()))
				|| (content instanceof LastHttpContent last && containsStatusLine(last.trailingHeaders())));
		return joined ? Optional.of(STATUS_LINE_INSIDE) : Optional.empty();
	}

	private static boolean containsStatusLine(HttpHeaders headers) {
		return headers.entries().stream().anyMatch((header) -> containsStatusLine(header.getValue()));
	}

	private static boolean containsStatusLine(ByteBuf bytes) {
		return containsStatusLine(bytes.toString(StandardCharsets.ISO_8859_1));
	}

	private static boolean containsStatusLine(String text) {
		return STATUS_LINE.matcher(text).find();
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> decoded) throws Exception {
		int before = decoded.size();
		super.decode(context, bytes, decoded);
		this.insideHead &= decoded.size() == before;
	}

	@Override
	protected HttpMessage createMessage(String[] initialLine) {
		this.insideHead = true;
		return super.createMessage(initialLine);
	}

}
