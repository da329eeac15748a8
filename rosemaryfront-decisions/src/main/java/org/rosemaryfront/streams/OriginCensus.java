package org.rosemaryfront.streams;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Asks all gateways which versions began streams with one request. The result is known
 * only if no stream of the request can have been missed: each gateway has answered or
 * ended, and of those that keep the origins of the request enough know all streams that
 * may still be taken up.
 */
final class OriginCensus {

	/**
	 * Of this many gateways that come first in the order of a request, each other gateway
	 * has told all but one, and itself, at least.
	 */
	static final int WITNESSES = OriginDirectory.COPIES + 1;

	/** So many of the witnesses have been told of any stream, or one of them has. */
	private static final int NEEDED_WITNESSES = 2;

	/** The time after which gateways that did not answer are asked again. */
	private static final long ROUND_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

	private static final int ROUNDS = 3;

	/**
	 * The time after which no answer to a question is on its way any more, in
	 * nanoseconds.
	 */
	private static final long LATEST_ANSWER_NANOS = TimeUnit.SECONDS.toNanos(1);

	static final long LATEST_ANSWER_MILLIS = TimeUnit.NANOSECONDS.toMillis(LATEST_ANSWER_NANOS);

	private final List<String> witnesses;

	private final long boundMillis;

	private final List<Consumer<Origin>> callers = new ArrayList<>();

	/** The gateways that did not answer, in the same order in each process. */
	private final Set<String> unanswered;

	/** How many answers of each gateway are on their way, or lost. */
	private final Map<String, Integer> awaited = new HashMap<>();

	/** The time for which each witness knows all streams, in milliseconds. */
	private final Map<String, Long> knownMillis = new HashMap<>();

	private Origin origin = Origin.unknown();

	private int round;

	private long askedNanos;

	private boolean ended;

	private OriginCensus(List<String> witnesses, Set<String> gateways, long boundMillis) {
		this.witnesses = witnesses;
		this.unanswered = new TreeSet<>(gateways);
		this.boundMillis = boundMillis;
	}

	/**
	 * Creates a census that has asked nobody.
	 * @param witnesses the gateways that come first in the order of the request
	 * @param gateways all gateways that may be running
	 * @param boundMillis for how long a stream may be taken up after it began, in
	 * milliseconds
	 * @return the census
	 */
	static OriginCensus of(List<String> witnesses, Set<String> gateways, long boundMillis) {
		return new OriginCensus(witnesses, gateways, boundMillis);
	}

	void addCaller(Consumer<Origin> caller) {
		this.callers.add(caller);
	}

	/**
	 * Starts the next round.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the gateways to ask, empty if the census is over
	 */
	List<String> nextRound(long nowNanos) {
		if (this.round == ROUNDS) {
			return List.of();
		}
		this.round++;
		this.askedNanos = nowNanos;
		this.unanswered.forEach((gateway) -> this.awaited.merge(gateway, 1, Integer::sum));
		return List.copyOf(this.unanswered);
	}

	/**
	 * Records what a gateway knows.
	 * @param gateway the gateway
	 * @param known what it knows of the request
	 * @param millis the time for which it knows all streams, in milliseconds
	 */
	void answered(String gateway, Origin known, long millis) {
		this.awaited.computeIfPresent(gateway, (_, count) -> (count > 1) ? count - 1 : null);
		if (this.unanswered.remove(gateway)) {
			this.knownMillis.put(gateway, millis);
		}
		this.origin = this.origin.and(known);
	}

	/**
	 * Records that the process of a gateway has ended.
	 * @param gateway the gateway
	 */
	void gatewayEnded(String gateway) {
		this.unanswered.remove(gateway);
		this.awaited.remove(gateway);
	}

	boolean isDecided() {
		return this.unanswered.isEmpty() || this.origin instanceof Origin.Ambiguous;
	}

	boolean isRoundOver(long nowNanos) {
		return nowNanos - this.askedNanos >= ROUND_NANOS;
	}

	Set<String> unanswered() {
		return Set.copyOf(this.unanswered);
	}

	boolean hasEnded() {
		return this.ended;
	}

	/**
	 * Returns whether another census of the request could take an answer to this one for
	 * its own.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return false if all answers have come or are too late
	 */
	boolean isAwaiting(long nowNanos) {
		return !this.awaited.isEmpty() && nowNanos - this.askedNanos < LATEST_ANSWER_NANOS;
	}

	/** Ends the census and tells its callers. */
	void end() {
		this.ended = true;
		Origin result = result();
		this.callers.forEach((caller) -> caller.accept(result));
	}

	private Origin result() {
		if (this.origin instanceof Origin.Ambiguous) {
			return this.origin;
		}
		if (!this.unanswered.isEmpty()) {
			return Origin.unknown(Origin.Reason.UNANSWERED, LATEST_ANSWER_MILLIS);
		}
		long missingMillis = this.boundMillis - commonMillis();
		return (missingMillis <= 0) ? this.origin : Origin.unknown(Origin.Reason.NOT_ALL_KNOWN, missingMillis);
	}

	// The time for which as many witnesses as are needed know all streams.
	private long commonMillis() {
		int needed = Math.min(NEEDED_WITNESSES, this.witnesses.size());
		List<Long> longest = this.witnesses.stream()
			.map((witness) -> this.knownMillis.getOrDefault(witness, 0L))
			.sorted(Comparator.reverseOrder())
			.toList();
		return longest.get(needed - 1);
	}

}
