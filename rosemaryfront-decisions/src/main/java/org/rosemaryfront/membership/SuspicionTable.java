package org.rosemaryfront.membership;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The table of members that did not answer, with the time until which they may refute.
 */
final class SuspicionTable {

	private final Map<MemberId, Suspicion> rows = new TreeMap<>();

	/**
	 * Notes a suspicion; one that is known keeps its deadline.
	 * @param record the member
	 * @param deadline when it counts as dead
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
	 * Takes the suspicions out that were not refuted in time.
	 * @param nowNanos the time
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
	 * A member that did not answer.
	 *
	 * @param id the member
	 * @param incarnation its incarnation then
	 * @param deadline when it counts as dead
	 */
	record Suspicion(MemberId id, long incarnation, long deadline) {

		Suspicion extended(long extensionNanos) {
			return new Suspicion(this.id, this.incarnation, this.deadline + extensionNanos);
		}

	}

}
