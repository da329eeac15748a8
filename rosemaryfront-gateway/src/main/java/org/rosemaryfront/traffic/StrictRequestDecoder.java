package org.rosemaryfront.traffic;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests of callers and rejects those whose framing is ambiguous.
 *
 * <p>
 * A request with both a length and chunked coding, with bare line feeds or irregular
 * white space can hide a second request in its body (request smuggling): the gateway
 * would see one request, the backend server two.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

	StrictRequestDecoder(int headerBytes) {
		super(new HttpDecoderConfig().setMaxInitialLineLength(headerBytes)
			.setMaxHeaderSize(headerBytes)
			.setStrictLineParsing(true)
			.setUseRfc9112TransferEncoding(true)
			.setAllowDuplicateContentLengths(false));
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		throw new IllegalArgumentException("the request has both a Content-Length and a Transfer-Encoding header");
	}

}
