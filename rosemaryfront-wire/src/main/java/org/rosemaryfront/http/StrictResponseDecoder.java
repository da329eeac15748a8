package org.rosemaryfront.http;

import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Decodes responses without repairing them. Whether a response is a success, which call
 * it answers and where it ends is taken from it only if it says so in valid HTTP; the
 * decoder result of any other response is a failure.
 *
 * @see <a href="https://www.rfc-editor.org/rfc/rfc9112">RFC 9112</a>
 */
public class StrictResponseDecoder extends HttpResponseDecoder {

	/** The indexes in the words of a status line. */
	private static final int VERSION = 0;

	private static final int STATUS = 1;

	/** A later version of this protocol is read as the last one that is known. */
	private static final Pattern KNOWN_VERSION = Pattern.compile("HTTP/1\\.[0-9]", Pattern.CASE_INSENSITIVE);

	private static final Pattern VALID_STATUS = Pattern.compile("[1-5][0-9]{2}");

	/** The lists of codings that a body can be read with; "identity" stands for none. */
	private static final Set<List<String>> KNOWN_CODINGS = Set.of(List.of(), List.of("chunked"), List.of("identity"));

	private final Predicate<HttpResponse> answersHeadRequest;

	private final BooleanSupplier requestTaken;

	/** Whether the response being received is a success. */
	private boolean success;

	private final ResponseSyntax syntax = ResponseSyntax.expectingHead();

	/**
	 * Creates the decoder of a connection.
	 * @param limits the maximum lengths
	 * @param answersHeadRequest whether a response belongs to a HEAD request, so that it
	 * has no body
	 * @param requestTaken whether the whole of the current request was sent
	 */
	protected StrictResponseDecoder(HttpDecoderConfig limits, Predicate<HttpResponse> answersHeadRequest,
			BooleanSupplier requestTaken) {
		super(limits);
		this.answersHeadRequest = answersHeadRequest;
		this.requestTaken = requestTaken;
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> decoded) throws Exception {
		int from = bytes.readerIndex();
		int before = decoded.size();
		super.decode(context, bytes, decoded);
		this.syntax.decoded(bytes, from, bytes.readerIndex());
		for (int i = before; i < decoded.size(); i++) {
			decoded.set(i, checked((HttpObject) decoded.get(i)));
		}
	}

	// A server that closes its connection while it is sent a request makes the connection
	// be reset, but the end of what it sent may be received first. It cannot be told then
	// whether it sent all.
	@Override
	protected void decodeLast(ChannelHandlerContext context, ByteBuf bytes, List<Object> decoded) throws Exception {
		int before = decoded.size();
		super.decodeLast(context, bytes, decoded);
		int last = decoded.size() - 1;
		boolean completed = last >= before && decoded.get(last) instanceof LastHttpContent;
		if (completed && this.success && !this.requestTaken.getAsBoolean()) {
			decoded.set(last, invalid((HttpObject) decoded.get(last),
					"a success ends with its connection before the request was sent"));
		}
	}

	private HttpObject checked(HttpObject part) {
		if (part instanceof HttpResponse head) {
			this.success = head.status().codeClass() == HttpStatusClass.SUCCESS;
		}
		if (part instanceof HttpMessage head && HttpUtil.isTransferEncodingChunked(head)) {
			this.syntax.chunksFollow();
		}
		HttpObject checked = this.syntax.fault().map((fault) -> invalid(part, fault)).orElse(part);
		if (part instanceof LastHttpContent) {
			this.syntax.responseEnds();
		}
		return checked;
	}

	private static HttpObject invalid(HttpObject part, String fault) {
		// The constant for a last part without content cannot be changed.
		HttpObject invalid = (part == LastHttpContent.EMPTY_LAST_CONTENT) ? new DefaultLastHttpContent() : part;
		invalid.setDecoderResult(DecoderResult.failure(new IllegalArgumentException(fault)));
		return invalid;
	}

	@Override
	protected HttpMessage createMessage(String[] initialLine) {
		if (!KNOWN_VERSION.matcher(initialLine[VERSION]).matches()) {
			throw new IllegalArgumentException("the version is not one of HTTP/1");
		}
		if (!VALID_STATUS.matcher(initialLine[STATUS]).matches()) {
			throw new IllegalArgumentException("the status is not a number from 100 to 599");
		}
		return super.createMessage(initialLine);
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		boolean empty = super.isContentAlwaysEmpty(message)
				|| (message instanceof HttpResponse head && this.answersHeadRequest.test(head));
		if (!empty && !KNOWN_CODINGS.contains(transferCodings(message.headers()))) {
			throw new IllegalArgumentException("the transfer coding is not known");
		}
		return empty;
	}

	private static List<String> transferCodings(HttpHeaders headers) {
		return headers.getAll(HttpHeaderNames.TRANSFER_ENCODING)
			.stream()
			.flatMap((codings) -> Stream.of(codings.split(",")))
			.map((coding) -> coding.trim().toLowerCase(Locale.ROOT))
			.filter((coding) -> !coding.isEmpty())
			.toList();
	}

}
