package org.rosemaryfront.membership;

import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

import org.rosemaryfront.model.VmId;

/**
 * The table of addresses from the VM list that are asked whether a member is there. A
 * candidate that does not answer is asked ever more seldom, because the list lags and
 * names VMs that are long gone.
 */
final class CandidateTable {

	/** The time between two questions to different candidates; bounds a join to 20/s. */
	private static final long SPACING_NANOS = Duration.ofMillis(50).toNanos();

	/** The time until the table is searched again when nobody was due. */
	private static final long IDLE_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();

	private static final long INITIAL_RETRY_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

	private static final long MAX_RETRY_INTERVAL_NANOS = Duration.ofSeconds(30).toNanos();

	private final Map<VmId, Row> rows = new TreeMap<>();

	private long nextAt = Long.MIN_VALUE;

	// -- changes

	/**
	 * Takes the VM list.
	 * @param candidates the entry VMs listed
	 * @param nowNanos the time
	 */
	void update(Collection<MembershipEvent.Candidate> candidates, long nowNanos) {
		Map<VmId, Row> next = new TreeMap<>();
		for (MembershipEvent.Candidate candidate : candidates) {
			Row known = this.rows.get(candidate.vm());
			boolean same = known != null && known.address().equals(candidate.address());
			next.put(candidate.vm(),
					same ? known : new Row(candidate.address(), nowNanos, INITIAL_RETRY_INTERVAL_NANOS));
		}
		if (!next.keySet().equals(this.rows.keySet())) {
			this.nextAt = nowNanos;
		}
		this.rows.clear();
		this.rows.putAll(next);
	}

	/**
	 * Chooses the candidate to ask now and counts it as asked.
	 * @param nowNanos the time
	 * @param known whether a VM is known to run a member that answers
	 * @return its address, empty when none is due
	 */
	Optional<String> nextDue(long nowNanos, Predicate<VmId> known) {
		if (nowNanos < this.nextAt) {
			return Optional.empty();
		}
		for (Map.Entry<VmId, Row> entry : this.rows.entrySet()) {
			Row row = entry.getValue();
			if (row.dueAt() <= nowNanos && !known.test(entry.getKey())) {
				this.nextAt = nowNanos + SPACING_NANOS;
				long retry = Math.min(MAX_RETRY_INTERVAL_NANOS, row.retryNanos() * 2);
				entry.setValue(new Row(row.address(), nowNanos + row.retryNanos(), retry));
				return Optional.of(row.address());
			}
		}
		this.nextAt = nowNanos + IDLE_INTERVAL_NANOS;
		return Optional.empty();
	}

	private record Row(String address, long dueAt, long retryNanos) {
	}

}
