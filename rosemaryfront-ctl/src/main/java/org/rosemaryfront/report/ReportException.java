package org.rosemaryfront.report;

/** A report that cannot be made; the message says why. */
public final class ReportException extends RuntimeException {

	private ReportException(String message) {
		super(message);
	}

	/**
	 * An exception.
	 * @param message what is wrong
	 * @return the exception
	 */
	static ReportException of(String message) {
		return new ReportException(message);
	}

}
