package org.rosemaryfront.membership;

import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

import org.rosemaryfront.model.VmId;

/**
 * Addresses from the VM list that are probed for a live member. The interval between
 * probes of an unresponsive candidate doubles up to a maximum, because the list lags and
 * contains VMs that were terminated long ago.
 */
final class CandidateTable {

	/**
	 * Minimum time between probes of different candidates; limits a joining member to 20
	 * probes/s.
	 */
	private static final long SPACING_NANOS = Duration.ofMillis(50).toNanos();

	/** Time until the table is searched again after a search found no candidate due. */
	private static final long IDLE_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();

	private static final long INITIAL_RETRY_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

	private static final long MAX_RETRY_INTERVAL_NANOS = Duration.ofSeconds(30).toNanos();

	private final Map<VmId, Row> rows = new TreeMap<>();

	private long nextAt = Long.MIN_VALUE;

	/**
	 * Replaces the candidates with those of the VM list.
	 * @param candidates the entry VMs in the list
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
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
	 * Chooses the candidate to probe now and schedules its next probe.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @param known whether the entry process of a VM is already a reachable member
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
