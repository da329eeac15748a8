package org.rosemaryfront.proof;

import java.time.Duration;
import java.util.function.BooleanSupplier;

/** Waits of demos and tests: always for a condition, within a generous limit. */
public final class Pause {

	private static final Duration POLL = Duration.ofMillis(25);

	private Pause() {
	}

	/**
	 * Sleeps.
	 * @param duration how long
	 */
	public static void of(Duration duration) {
		try {
			Thread.sleep(duration);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Waits for a condition.
	 * @param what the condition in words, for the message
	 * @param limit the longest wait
	 * @param condition the condition
	 * @throws IllegalStateException when the condition does not hold within the limit
	 */
	public static void until(String what, Duration limit, BooleanSupplier condition) {
		long end = System.nanoTime() + limit.toNanos();
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() > end) {
				throw new IllegalStateException("not within " + limit + ": " + what);
			}
			of(POLL);
		}
	}

}
