package org.rosemaryfront.traffic;

import java.util.Map;

import io.netty.handler.codec.http.HttpHeaders;

/** Estimates the memory that the head of a response takes once it is decoded. */
final class HeadMemory {

	/** The objects of one header, in bytes. */
	private static final int HEADER_OVERHEAD_BYTES = 128;

	/** Bytes of memory for each byte of a head that has short headers only. */
	private static final int PART_FACTOR = 6;

	private HeadMemory() {
	}

	/**
	 * Returns the memory of decoded headers.
	 * @param headers the headers
	 * @return the number of bytes
	 */
	static long of(HttpHeaders headers) {
		long bytes = 0;
		for (Map.Entry<String, String> header : headers) {
			bytes += HEADER_OVERHEAD_BYTES + header.getKey().length() + header.getValue().length();
		}
		return bytes;
	}

	/**
	 * Returns the most memory that a part of a head takes.
	 * @param received the number of bytes received, of which those behind the limit of a
	 * head are not kept
	 * @return the number of bytes
	 */
	static long ofPart(long received) {
		return PART_FACTOR * Math.min(received, ServerConnection.MAX_HEADER_BYTES);
	}

}
