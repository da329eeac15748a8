package org.rosemaryfront.traffic;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Reads callers' requests and refuses whatever two readers could frame differently.
 *
 * <p>
 * A request with both a length and chunks, with bare line ends or odd white space can
 * hide a second request in its body: this process would see one, the backend server two.
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
		throw new IllegalArgumentException("a request with both a length and chunks");
	}

}
