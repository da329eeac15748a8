package org.rosemaryfront.quota;

import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The organisations that may use a large burst, as the store lists them. All processes
 * follow the list, and allow a burst for one window from its entry on, so that processes
 * that start later know of each burst that was allowed. An entry stays for three windows:
 * one until all have seen it, one in which the burst is allowed, and one in which its use
 * counts.
 */
public final class StoredBursts {

	private static final int LISTED_WINDOWS = 3;

	/** The minimum time between two writes of the list. */
	private static final long WRITE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private final long windowNanos;

	private final Map<String, Entry> entries = new HashMap<>();

	private boolean writing;

	private OptionalLong nextWriteNanos = OptionalLong.empty();

	private StoredBursts(long windowNanos) {
		this.windowNanos = windowNanos;
	}

	/**
	 * Creates an empty list.
	 * @param windowMillis the window of quotas, in milliseconds
	 * @return the list
	 */
	public static StoredBursts empty(long windowMillis) {
		return new StoredBursts(TimeUnit.MILLISECONDS.toNanos(windowMillis));
	}

	/**
	 * Replaces the list by the one in the store.
	 * @param numbers the numbers of the entries by organisation; a later burst has a
	 * higher one
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the organisations whose entries are new
	 */
	public Set<String> read(Map<String, Long> numbers, long nowNanos) {
		Set<String> renewed = new HashSet<>();
		this.entries.keySet().retainAll(numbers.keySet());
		numbers.forEach((organisation, number) -> {
			Entry known = this.entries.get(organisation);
			if (known == null || known.number < number) {
				this.entries.put(organisation, new Entry(number, nowNanos));
				renewed.add(organisation);
			}
		});
		return renewed;
	}

	/**
	 * Returns the list to write, and records that its write begins.
	 * @param inBurst the organisations that use much of their burst now
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the numbers by organisation; empty if the store has them, or a write is in
	 * progress
	 */
	public Optional<Map<String, Long>> nextWrite(Set<String> inBurst, long nowNanos) {
		boolean due = this.nextWriteNanos.isEmpty() || nowNanos - this.nextWriteNanos.getAsLong() >= 0;
		Map<String, Long> next = next(inBurst, nowNanos);
		if (this.writing || !due || next.equals(numbers())) {
			return Optional.empty();
		}
		this.writing = true;
		this.nextWriteNanos = OptionalLong.of(nowNanos + WRITE_INTERVAL_NANOS);
		return Optional.of(next);
	}

	private Map<String, Long> next(Set<String> inBurst, long nowNanos) {
		Map<String, Long> next = numbers();
		long number = 1 + (next.isEmpty() ? 0 : Collections.max(next.values()));
		next.keySet().removeIf((name) -> age(name, nowNanos) >= LISTED_WINDOWS * this.windowNanos);
		inBurst.stream().filter((name) -> !isAllowed(name, nowNanos)).forEach((name) -> next.put(name, number));
		return next;
	}

	/** Records that a write ended, whatever came of it. */
	public void writeEnded() {
		this.writing = false;
	}

	/**
	 * Returns the organisations in the list.
	 * @return the names
	 */
	public Set<String> organisations() {
		return Set.copyOf(this.entries.keySet());
	}

	private Map<String, Long> numbers() {
		Map<String, Long> numbers = new HashMap<>();
		this.entries.forEach((organisation, entry) -> numbers.put(organisation, entry.number));
		return numbers;
	}

	private boolean isAllowed(String organisation, long nowNanos) {
		return this.entries.containsKey(organisation) && age(organisation, nowNanos) < this.windowNanos;
	}

	private long age(String organisation, long nowNanos) {
		return nowNanos - this.entries.get(organisation).sinceNanos;
	}

	/**
	 * An entry of the list.
	 *
	 * @param number the number
	 * @param sinceNanos when it was first seen
	 */
	private record Entry(long number, long sinceNanos) {
	}

}
