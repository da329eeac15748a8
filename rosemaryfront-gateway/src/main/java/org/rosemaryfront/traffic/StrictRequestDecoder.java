package org.rosemaryfront.traffic;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests of callers and rejects those whose framing is ambiguous or whose
 * target is not UTF-8.
 *
 * <p>
 * A request with both a length and chunked coding, with bare line feeds or irregular
 * white space can hide a second request in its body (request smuggling): the gateway
 * would see one request, the backend server two.
 *
 * <p>
 * Targets are encoded as UTF-8 for backend servers, so the bytes of other ones would
 * change on the way.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

	/** The index of the request target in the words of a request line. */
	private static final int TARGET = 1;

	StrictRequestDecoder(int headerBytes) {
		super(new HttpDecoderConfig().setMaxInitialLineLength(headerBytes)
			.setMaxHeaderSize(headerBytes)
			.setStrictLineParsing(true)
			.setUseRfc9112TransferEncoding(true)
			.setAllowDuplicateContentLengths(false));
	}

	@Override
	protected HttpMessage createMessage(String[] initialLine) throws Exception {
		String[] decoded = initialLine.clone();
		decoded[TARGET] = utf8(initialLine[TARGET]);
		return super.createMessage(decoded);
	}

	// The superclass decodes each byte as a character of its own.
	private static String utf8(String target) {
		byte[] bytes = target.getBytes(StandardCharsets.ISO_8859_1);
		try {
			return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
		}
		catch (CharacterCodingException ex) {
			throw new IllegalArgumentException("the request target is not valid UTF-8", ex);
		}
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		throw new IllegalArgumentException("the request has both a Content-Length and a Transfer-Encoding header");
	}

}
