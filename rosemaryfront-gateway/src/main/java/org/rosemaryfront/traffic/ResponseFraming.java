package org.rosemaryfront.traffic;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpUtil;

/** What tells where the body of a response ends. */
enum ResponseFraming {

	/** A number of bytes in the head. */
	LENGTH,

	/** The last chunk. */
	CHUNKS,

	/** The end of the connection, unless the response has no body. */
	CONNECTION;

	/**
	 * Returns the framing of a response.
	 * @param head the head of the response
	 * @return the framing
	 */
	static ResponseFraming of(HttpMessage head) {
		if (HttpUtil.isTransferEncodingChunked(head)) {
			return CHUNKS;
		}
		return HttpUtil.isContentLengthSet(head) ? LENGTH : CONNECTION;
	}

}
