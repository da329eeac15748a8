package org.rosemaryfront.traffic;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ObjLongConsumer;
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

	/**
	 * The number of bytes that are received before what is held is counted again, which
	 * is by how much a bound may be exceeded.
	 */
	static final long COUNT_INTERVAL_BYTES = 1_048_576;

	/** The Retry-After of a call that is refused, in milliseconds. */
	static final long RETRY_MILLIS = 500;

	private final Supplier<List<Holding>> holdings;

	private final ObjLongConsumer<Kind> onReached;

	private long receivedBytes;

	private volatile long countedBytes;

	private HeldBytes(Supplier<List<Holding>> holdings, ObjLongConsumer<Kind> onReached) {
		this.holdings = holdings;
		this.onReached = onReached;
	}

	/**
	 * Creates the bounds.
	 * @param holdings returns what is held
	 * @param onReached receives the bytes of a kind when they are more than its bound
	 * @return the bounds
	 */
	static HeldBytes of(Supplier<List<Holding>> holdings, ObjLongConsumer<Kind> onReached) {
		return new HeldBytes(holdings, onReached);
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
		List<Holding> all = this.holdings.get();
		this.countedBytes = sum(all);
		for (Kind kind : Kind.values()) {
			bound(kind, all.stream().filter((holding) -> holding.kind() == kind).toList());
		}
	}

	private void bound(Kind kind, List<Holding> held) {
		long total = sum(held);
		if (total <= kind.maxBytes) {
			return;
		}
		this.onReached.accept(kind, total);
		List<Holding> releasable = new ArrayList<>(held);
		releasable.removeIf((holding) -> holding.release().isEmpty());
		while (total > kind.maxBytes && !releasable.isEmpty()) {
			Holding largest = largestOfLargestHolder(releasable);
			releasable.remove(largest);
			total -= largest.bytes();
			largest.release().ifPresent(Runnable::run);
		}
	}

	private static long sum(List<Holding> held) {
		return held.stream().mapToLong(Holding::bytes).sum();
	}

	private static Holding largestOfLargestHolder(List<Holding> held) {
		Map<String, Long> sums = held.stream()
			.collect(Collectors.groupingBy(Holding::holder, Collectors.summingLong(Holding::bytes)));
		return held.stream()
			.max(Comparator.comparingLong((Holding holding) -> sums.get(holding.holder()))
				.thenComparingLong(Holding::bytes))
			.orElseThrow();
	}

	/** What is held; each kind has a bound of its own. */
	enum Kind {

		/**
		 * Bodies of requests, as long as they may be sent again. Callers of sound servers
		 * are refused at this bound, so that it is the larger one.
		 */
		REQUESTS(25_165_824),

		/** Responses that are not complete, or that their receivers have not read. */
		RESPONSES(16_777_216);

		private final long maxBytes;

		Kind(long maxBytes) {
			this.maxBytes = maxBytes;
		}

		long maxBytes() {
			return this.maxBytes;
		}

	}

	/**
	 * What is held for one call or connection.
	 *
	 * @param kind what it is
	 * @param holder whose fault it is: a server, or the receiver that does not read
	 * @param bytes the number of bytes
	 * @param release makes the call or connection hold less; empty for a request that a
	 * server has, which must not end for its length
	 */
	record Holding(Kind kind, String holder, long bytes, Optional<Runnable> release) {

		static Holding request(String caller, long bytes, Optional<Runnable> release) {
			return new Holding(Kind.REQUESTS, caller, bytes, release);
		}

		static Holding response(String holder, long bytes, Runnable release) {
			return new Holding(Kind.RESPONSES, holder, bytes, Optional.of(release));
		}

	}

}
