package org.rosemaryfront.traffic;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Predicate;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes what a backend server sends, which may be more than the responses to the calls
 * of the connection. That a response to a HEAD request has no body is concluded from the
 * response itself, not from its place among the others.
 */
final class ServerResponseDecoder extends HttpResponseDecoder {

	/** Whatever the decoder takes for the first line of a response. */
	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d(?:\\.\\d)?[ \\t]+\\d{3}(?!\\d)",
			Pattern.CASE_INSENSITIVE);

	private final Predicate<HttpResponse> answersHeadRequest;

	private boolean insideHead;

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
	 * Returns whether a part of a head was received whose rest is missing.
	 * @return true inside a line and between two lines
	 */
	boolean isInsideHead() {
		return this.insideHead || actualReadableBytes() > 0;
	}

	/**
	 * Returns whether a head consists of those of two responses, the first of which was
	 * broken off: a server that breaks a response off may keep the connection.
	 * @param head the head
	 * @return true if a status line stands behind the first one
	 */
	static boolean isJoined(HttpResponse head) {
		return containsStatusLine(head.status().reasonPhrase()) || containsStatusLine(head.headers());
	}

	/**
	 * Returns whether headers contain the first line of a response.
	 * @param headers the headers or trailers
	 * @return true if a value contains one
	 */
	static boolean containsStatusLine(HttpHeaders headers) {
		return headers.entries().stream().anyMatch((header) -> containsStatusLine(header.getValue()));
	}

	/**
	 * Returns whether a part of a body contains the first line of a response.
	 * @param bytes the bytes, which are not consumed
	 * @return true if it contains one
	 */
	static boolean containsStatusLine(ByteBuf bytes) {
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

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		return super.isContentAlwaysEmpty(message)
				|| (message instanceof HttpResponse head && this.answersHeadRequest.test(head));
	}

}
