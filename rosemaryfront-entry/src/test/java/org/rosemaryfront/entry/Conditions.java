package org.rosemaryfront.entry;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Waits for conditions with a generous limit.
 */
final class Conditions {

	private static final long LIMIT_NANOS = TimeUnit.SECONDS.toNanos(30);

	private Conditions() {
	}

	static void await(String what, BooleanSupplier condition) {
		long end = System.nanoTime() + LIMIT_NANOS;
		while (!condition.getAsBoolean() && System.nanoTime() < end) {
			try {
				Thread.sleep(5);
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		}
		assertThat(condition.getAsBoolean()).as(what).isTrue();
	}

}
