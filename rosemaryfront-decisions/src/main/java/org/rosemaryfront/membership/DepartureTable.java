package org.rosemaryfront.membership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.rosemaryfront.model.VmId;

/**
 * The table of backend servers known to be leaving. A row is never taken back: it only
 * ages out after the VM is long gone.
 */
final class DepartureTable {

	private static final long UNKNOWN = Long.MAX_VALUE;

	private final Map<VmId, Row> rows = new LinkedHashMap<>();

	// -- changes

	/**
	 * Takes a departure.
	 * @param notice the departure
	 * @param nowNanos the time
	 * @return true when the VM was not known to be leaving
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
	 * Drops departures of long ago.
	 * @param nowNanos the time
	 */
	void discardExpired(long nowNanos) {
		this.rows.values()
			.removeIf((row) -> nowNanos - row.receivedAt() > MembershipSettings.DEPARTURE_RETENTION_NANOS);
	}

	// -- queries

	/**
	 * A departure as it is told now, with the time that is left now.
	 * @param vm the VM
	 * @param nowNanos the time
	 * @return the notice, empty when the VM is not known to be leaving
	 */
	Optional<DepartureNotice> notice(VmId vm, long nowNanos) {
		return Optional.ofNullable(this.rows.get(vm)).map((row) -> new DepartureNotice(vm, remaining(row, nowNanos)));
	}

	/**
	 * Random departures, for members that missed them.
	 * @param count how many at most
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
