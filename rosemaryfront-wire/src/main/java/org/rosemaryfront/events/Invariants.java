package org.rosemaryfront.events;

import java.util.concurrent.atomic.LongAdder;

/**
 * Checks that stay on in production: a broken invariant is logged as an error event and
 * counted, and {@code /metrics} shows the count as {@code invariants.broken}.
 */
public final class Invariants {

	private static final LongAdder BROKEN = new LongAdder();

	private Invariants() {
	}

	/**
	 * Records whether an invariant holds.
	 * @param holds whether it holds
	 * @param code the event that names the invariant
	 * @param fields names and values in turn
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
	 * How often an invariant was broken in this process.
	 * @return the count
	 */
	public static long broken() {
		return BROKEN.sum();
	}

}
