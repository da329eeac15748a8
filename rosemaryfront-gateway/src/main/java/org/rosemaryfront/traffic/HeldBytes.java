package org.rosemaryfront.traffic;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Bounds the memory that a gateway holds of requests and responses, over all calls.
 * Confined to the traffic thread, except where stated.
 *
 * <p>
 * The bound of one call does not bound their sum: a server whose responses never end has
 * as many calls as are sent to it. Whoever holds most in sum gives way first, so that
 * calls at other servers are served as before.
 */
final class HeldBytes {

	/** A quarter of the direct memory of a process. */
	static final long MAX_BYTES = 16_777_216;

	/**
	 * The number of bytes that are received before what is held is counted again, which
	 * is by how much the bound may be exceeded.
	 */
	static final long COUNT_INTERVAL_BYTES = 1_048_576;

	/** The Retry-After of a call that is refused, in milliseconds. */
	static final long RETRY_MILLIS = 500;

	private final Supplier<List<Holding>> holdings;

	private final LongConsumer onReleased;

	private long receivedBytes;

	private volatile long countedBytes;

	private HeldBytes(Supplier<List<Holding>> holdings, LongConsumer onReleased) {
		this.holdings = holdings;
		this.onReleased = onReleased;
	}

	/**
	 * Creates the bound.
	 * @param holdings returns what is held
	 * @param onReleased receives the number of bytes in sum when some had to be released
	 * @return the bound
	 */
	static HeldBytes of(Supplier<List<Holding>> holdings, LongConsumer onReleased) {
		return new HeldBytes(holdings, onReleased);
	}

	/**
	 * Returns the bytes that were held when they were last counted, on any thread.
	 * @return the number of bytes, before any were released
	 */
	long countedBytes() {
		return this.countedBytes;
	}

	/**
	 * Records that bytes were received, of which any number may be held.
	 * @param bytes the number of bytes
	 */
	void received(int bytes) {
		this.receivedBytes += bytes;
		if (this.receivedBytes >= COUNT_INTERVAL_BYTES) {
			this.receivedBytes = 0;
			count();
		}
	}

	private void count() {
		List<Holding> held = new ArrayList<>(this.holdings.get());
		long total = held.stream().mapToLong(Holding::bytes).sum();
		this.countedBytes = total;
		if (total > MAX_BYTES) {
			this.onReleased.accept(total);
		}
		while (total > MAX_BYTES) {
			Holding largest = largestOfLargestHolder(held);
			held.remove(largest);
			total -= largest.bytes();
			largest.release().run();
		}
	}

	private static Holding largestOfLargestHolder(List<Holding> held) {
		Map<String, Long> sums = held.stream()
			.collect(Collectors.groupingBy(Holding::holder, Collectors.summingLong(Holding::bytes)));
		return held.stream()
			.max(Comparator.comparingLong((Holding holding) -> sums.get(holding.holder()))
				.thenComparingLong(Holding::bytes))
			.orElseThrow();
	}

	/**
	 * What is held for one call or connection.
	 *
	 * @param holder whose fault it is: the server of a call, else the caller
	 * @param bytes the number of bytes
	 * @param release makes the call or connection hold less
	 */
	record Holding(String holder, long bytes, Runnable release) {
	}

}
