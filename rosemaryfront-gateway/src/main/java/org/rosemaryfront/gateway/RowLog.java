package org.rosemaryfront.gateway;

import org.rosemaryfront.events.EventLog;

/** Logs failures with rows that gateways write. */
final class RowLog {

	private RowLog() {
	}

	/**
	 * Logs that a call for a row failed; the caller retries it.
	 * @param row the key of the row
	 * @param call the operation: {@code read}, {@code write} or {@code delete}
	 * @param failure the cause
	 */
	static void failed(String row, String call, Throwable failure) {
		EventLog.info(GatewayEvents.ROW_CALL_FAILED, "row", row, "call", call, "cause", failure.getMessage());
	}

	/**
	 * Logs that the value of a row cannot be decoded; the caller ignores the row.
	 * @param row the key of the row
	 * @param cause the reason
	 */
	static void unreadable(String row, Throwable cause) {
		EventLog.warn(GatewayEvents.ROW_CALL_FAILED, "row", row, "call", "read", "cause", cause.getMessage());
	}

}
