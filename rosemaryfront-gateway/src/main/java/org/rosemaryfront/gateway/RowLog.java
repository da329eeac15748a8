package org.rosemaryfront.gateway;

import org.rosemaryfront.events.EventLog;

/** Says in the log what went wrong with rows that gateways write. */
final class RowLog {

	private RowLog() {
	}

	/**
	 * A call for a row failed; it is tried again.
	 * @param row the key of the row
	 * @param call what was to be done: {@code read}, {@code write} or {@code delete}
	 * @param failure why it failed
	 */
	static void failed(String row, String call, Throwable failure) {
		EventLog.info(GatewayEvents.ROW_CALL_FAILED, "row", row, "call", call, "cause", failure.getMessage());
	}

	/**
	 * The value of a row is none that a gateway writes; the row is passed over.
	 * @param row the key of the row
	 * @param cause what is wrong with it
	 */
	static void unreadable(String row, Throwable cause) {
		EventLog.warn(GatewayEvents.ROW_CALL_FAILED, "row", row, "call", "read", "cause", cause.getMessage());
	}

}
