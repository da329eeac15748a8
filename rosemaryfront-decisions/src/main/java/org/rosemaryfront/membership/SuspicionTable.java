package org.rosemaryfront.membership;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Suspected members with the times until which they may refute.
 */
final class SuspicionTable {

	private final Map<MemberId, Suspicion> rows = new TreeMap<>();

	/**
	 * Adds a suspicion; an existing one keeps its deadline.
	 * @param record the member
	 * @param deadline the time at which the member is declared dead, on the monotonic
	 * clock, in nanoseconds
	 */
	void add(MemberRecord record, long deadline) {
		this.rows.putIfAbsent(record.id(), new Suspicion(record.id(), record.incarnation(), deadline));
	}

	void extend(long extensionNanos) {
		this.rows.replaceAll((_, suspicion) -> suspicion.extended(extensionNanos));
	}

	void remove(MemberId id) {
		this.rows.remove(id);
	}

	/**
	 * Removes and returns the suspicions that were not refuted in time.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the suspicions
	 */
	List<Suspicion> takeOverdue(long nowNanos) {
		if (this.rows.isEmpty()) {
			return List.of();
		}
		List<Suspicion> overdue = this.rows.values().stream().filter((row) -> nowNanos >= row.deadline()).toList();
		overdue.forEach((suspicion) -> this.rows.remove(suspicion.id()));
		return overdue;
	}

	/**
	 * A member that did not respond to a probe.
	 *
	 * @param id the member
	 * @param incarnation its incarnation when it was suspected
	 * @param deadline the time at which the member is declared dead, on the monotonic
	 * clock, in nanoseconds
	 */
	record Suspicion(MemberId id, long incarnation, long deadline) {

		Suspicion extended(long extensionNanos) {
			return new Suspicion(this.id, this.incarnation, this.deadline + extensionNanos);
		}

	}

}
