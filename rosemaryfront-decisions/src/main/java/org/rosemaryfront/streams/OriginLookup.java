package org.rosemaryfront.streams;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Asks for the origin of one stream, first the gateways that should keep it and then
 * those next in order, which keep it if their view of the fleet differs.
 */
final class OriginLookup {

	/** The time after which gateways that did not answer are asked again. */
	private static final long ROUND_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

	private static final int ROUNDS = 3;

	private final List<String> holders;

	private final int firstCount;

	private final List<Consumer<Origin>> callers = new ArrayList<>();

	/** The gateways that were asked and did not answer, in the order of asking. */
	private final Set<String> unanswered = new LinkedHashSet<>();

	private int askedCount;

	private int round;

	private long roundEndNanos;

	private OriginLookup(List<String> holders, int firstCount) {
		this.holders = holders;
		this.firstCount = firstCount;
	}

	/**
	 * Creates a lookup that has asked nobody.
	 * @param holders the gateways to ask, in order
	 * @param firstCount how many of them are asked first
	 * @return the lookup
	 */
	static OriginLookup of(List<String> holders, int firstCount) {
		return new OriginLookup(holders, firstCount);
	}

	void addCaller(Consumer<Origin> caller) {
		this.callers.add(caller);
	}

	/**
	 * Starts the next round.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the gateways to ask, empty if the origin stays unknown
	 */
	List<String> nextRound(long nowNanos) {
		boolean over = this.round == ROUNDS || (isAnswered() && this.askedCount == this.holders.size());
		if (over) {
			return List.of();
		}
		int upTo = (this.round == 0) ? Math.min(this.firstCount, this.holders.size()) : this.holders.size();
		this.unanswered.addAll(this.holders.subList(this.askedCount, upTo));
		this.askedCount = upTo;
		this.round++;
		this.roundEndNanos = nowNanos + ROUND_NANOS;
		return List.copyOf(this.unanswered);
	}

	/**
	 * Records that a gateway does not know the origin.
	 * @param gateway the gateway
	 */
	void unknownAt(String gateway) {
		this.unanswered.remove(gateway);
	}

	boolean isAnswered() {
		return this.unanswered.isEmpty();
	}

	boolean isRoundOver(long nowNanos) {
		return nowNanos - this.roundEndNanos >= 0;
	}

	void end(Origin origin) {
		this.callers.forEach((caller) -> caller.accept(origin));
	}

}
