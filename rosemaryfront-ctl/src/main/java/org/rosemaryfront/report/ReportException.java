package org.rosemaryfront.report;

/** Thrown when a report cannot be created; the message states the reason. */
public final class ReportException extends RuntimeException {

	private ReportException(String message) {
		super(message);
	}

	/**
	 * Creates an exception.
	 * @param message the reason for the failure
	 * @return the exception
	 */
	static ReportException of(String message) {
		return new ReportException(message);
	}

}
