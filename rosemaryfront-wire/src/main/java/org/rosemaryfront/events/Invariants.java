package org.rosemaryfront.events;

import java.util.concurrent.atomic.LongAdder;

/**
 * Checks invariants, also in production. A broken invariant is logged as an error event
 * and counted; {@code /metrics} reports the count as {@code invariants.broken}.
 */
public final class Invariants {

	private static final LongAdder BROKEN = new LongAdder();

	private Invariants() {
	}

	/**
	 * Logs and counts the invariant as broken unless it holds.
	 * @param holds whether the invariant holds
	 * @param code the event that identifies the invariant
	 * @param fields alternating field names and values
	 * @return {@code holds}
	 */
	public static boolean check(boolean holds, EventCode code, Object... fields) {
		if (!holds) {
			BROKEN.increment();
			EventLog.error(code, fields);
		}
		return holds;
	}

	/**
	 * Returns how many times an invariant was broken in this process.
	 * @return the count
	 */
	public static long broken() {
		return BROKEN.sum();
	}

}
