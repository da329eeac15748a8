package org.rosemaryfront.tls;

/**
 * Key material that cannot be used; the message names the file.
 */
public final class TlsException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private TlsException(String message, Throwable cause) {
		super(message, cause);
	}

	static TlsException of(String message, Throwable cause) {
		return new TlsException(message, cause);
	}

}
