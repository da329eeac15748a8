package org.rosemaryfront.membership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.rosemaryfront.model.VmId;

/**
 * Backend servers that are leaving. A row is never revoked; it expires long after the VM
 * was terminated.
 */
final class DepartureTable {

	private static final long UNKNOWN = Long.MAX_VALUE;

	private final Map<VmId, Row> rows = new LinkedHashMap<>();

	// -- changes

	/**
	 * Adds a departure.
	 * @param notice the departure
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return true when no departure of the VM was recorded yet
	 */
	boolean add(DepartureNotice notice, long nowNanos) {
		if (this.rows.containsKey(notice.vm())) {
			return false;
		}
		long goneAt = (notice.remainingMillis() < 0) ? UNKNOWN
				: nowNanos + TimeUnit.MILLISECONDS.toNanos(notice.remainingMillis());
		this.rows.put(notice.vm(), new Row(nowNanos, goneAt));
		return true;
	}

	/**
	 * Removes departures older than the retention time.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void discardExpired(long nowNanos) {
		this.rows.values()
			.removeIf((row) -> nowNanos - row.receivedAt() > MembershipSettings.DEPARTURE_RETENTION_NANOS);
	}

	// -- queries

	/**
	 * Returns the departure of a VM with the time that remains now.
	 * @param vm the VM
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the notice, empty when no departure of the VM is recorded
	 */
	Optional<DepartureNotice> notice(VmId vm, long nowNanos) {
		return Optional.ofNullable(this.rows.get(vm)).map((row) -> new DepartureNotice(vm, remaining(row, nowNanos)));
	}

	/**
	 * Returns departures from a random position on, for members that missed them.
	 * @param count the maximum number
	 * @param random the source of randomness
	 * @return the VMs
	 */
	List<VmId> sample(int count, SplittableRandom random) {
		if (this.rows.isEmpty()) {
			return List.of();
		}
		int skip = random.nextInt(Math.max(1, this.rows.size() - count + 1));
		return this.rows.keySet().stream().skip(skip).limit(count).toList();
	}

	private static long remaining(Row row, long nowNanos) {
		return (row.terminatesAt() == UNKNOWN) ? -1
				: Math.max(0, TimeUnit.NANOSECONDS.toMillis(row.terminatesAt() - nowNanos));
	}

	private record Row(long receivedAt, long terminatesAt) {
	}

}
