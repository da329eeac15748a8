package org.rosemaryfront.traffic;

/** A server sends more of a response than may be held back; the connection is closed. */
final class ResponseTooLongException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private ResponseTooLongException(String message) {
		super(message, null, false, false);
	}

	static ResponseTooLongException of(String part, long maxBytes) {
		return new ResponseTooLongException(part + " exceeds " + maxBytes + " bytes");
	}

}
