package org.rosemaryfront.streams;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Tells which gateways have been silent for so long that they are taken for gone. */
final class GatewaySilence {

	/**
	 * The time after which a silent gateway is taken for gone, in nanoseconds: longer
	 * than network partitions usually last.
	 */
	static final long GONE_NANOS = TimeUnit.SECONDS.toNanos(30);

	/** Since when gateways have been silent, in nanoseconds. */
	private final Map<String, Long> since = new HashMap<>();

	private GatewaySilence() {
	}

	/**
	 * Creates the state in which no gateway has been silent.
	 * @return the state
	 */
	static GatewaySilence unbroken() {
		return new GatewaySilence();
	}

	/**
	 * Returns the gateways that may be running.
	 * @param known all that are listed
	 * @param live those that were heard of late
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the live ones and those that have not been silent for long
	 */
	Set<String> present(Set<String> known, Set<String> live, long nowNanos) {
		this.since.keySet().removeAll(live);
		Set<String> present = new HashSet<>(known);
		for (String gateway : known) {
			if (!live.contains(gateway)
					&& nowNanos - this.since.computeIfAbsent(gateway, (_) -> nowNanos) >= GONE_NANOS) {
				present.remove(gateway);
			}
		}
		return Set.copyOf(present);
	}

}
