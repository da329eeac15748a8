package org.rosemaryfront.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Records of all members except this one.
 */
final class MemberTable {

	private final Map<MemberId, MemberRecord> records = new TreeMap<>();

	private final Map<MemberId, Long> deadSince = new TreeMap<>();

	private final List<MemberId> reachable = new ArrayList<>();

	private final List<MemberId> probeQueue = new ArrayList<>();

	private final SplittableRandom random;

	MemberTable(SplittableRandom random) {
		this.random = random;
	}

	// -- changes

	/**
	 * Stores a record if it supersedes the current one. Without this comparison a delayed
	 * ALIVE record would revive a leaving or dead member, which would then receive
	 * requests again.
	 * @param record the record
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return true when something changed
	 */
	boolean merge(MemberRecord record, long nowNanos) {
		MemberRecord current = this.records.get(record.id());
		if (current != null && !record.supersedes(current)) {
			return false;
		}
		put((current != null) ? fillMissing(record, current) : record, nowNanos);
		return true;
	}

	/**
	 * Records the revision that a member itself reported as in force.
	 * @param id the member
	 * @param revision the revision
	 */
	void revisionReceived(MemberId id, long revision) {
		this.records.computeIfPresent(id, (_, current) -> current.withRevision(Math.max(revision, current.revision())));
	}

	/**
	 * Removes members that have been dead for longer than the retention time.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void discardExpired(long nowNanos) {
		this.deadSince.entrySet().removeIf((entry) -> {
			boolean expired = nowNanos - entry.getValue() > MembershipSettings.TOMBSTONE_RETENTION_NANOS;
			if (expired) {
				this.records.remove(entry.getKey());
			}
			return expired;
		});
	}

	private void put(MemberRecord record, long nowNanos) {
		MemberId id = record.id();
		this.records.put(id, record);
		if (record.reachable()) {
			this.deadSince.remove(id);
			if (!this.reachable.contains(id)) {
				this.reachable.add(id);
				this.probeQueue.add(this.random.nextInt(this.probeQueue.size() + 1), id);
			}
		}
		else {
			this.deadSince.put(id, nowNanos);
			this.reachable.remove(id);
			this.probeQueue.remove(id);
		}
	}

	private static MemberRecord fillMissing(MemberRecord record, MemberRecord current) {
		String address = record.address().isEmpty() ? current.address() : record.address();
		String zone = record.zone().isEmpty() ? current.zone() : record.zone();
		boolean sameIncarnation = record.incarnation() == current.incarnation();
		long revision = sameIncarnation ? Math.max(record.revision(), current.revision()) : record.revision();
		return new MemberRecord(record.id(), address, zone, record.incarnation(), record.state(), revision);
	}

	// -- queries

	Collection<MemberRecord> all() {
		return this.records.values();
	}

	/**
	 * Returns the dead members, which may be alive again after a network partition has
	 * healed.
	 * @return the members
	 */
	List<MemberId> dead() {
		return List.copyOf(this.deadSince.keySet());
	}

	Optional<MemberRecord> find(MemberId id) {
		return Optional.ofNullable(this.records.get(id));
	}

	/**
	 * Returns the member to probe next. Each member is probed once per round in random
	 * order, which bounds the time until a dead member is probed.
	 * @return the member, empty when there is none
	 */
	Optional<MemberRecord> nextToProbe() {
		if (this.probeQueue.isEmpty()) {
			this.probeQueue.addAll(this.reachable);
			shuffle(this.probeQueue);
		}
		return this.probeQueue.isEmpty() ? Optional.empty() : find(this.probeQueue.removeLast());
	}

	/**
	 * Returns random reachable members.
	 * @param count the maximum number
	 * @param excluded the member to leave out
	 * @return distinct members
	 */
	List<MemberRecord> sample(int count, MemberId excluded) {
		List<MemberRecord> chosen = new ArrayList<>(count);
		int size = this.reachable.size();
		if (size <= count * 4) {
			List<MemberId> shuffled = new ArrayList<>(this.reachable);
			shuffle(shuffled);
			shuffled.stream()
				.filter((id) -> !id.equals(excluded))
				.limit(count)
				.forEach((id) -> chosen.add(this.records.get(id)));
			return chosen;
		}
		for (int attempt = 0; chosen.size() < count && attempt < size; attempt++) {
			MemberRecord record = this.records.get(this.reachable.get(this.random.nextInt(size)));
			if (!record.id().equals(excluded) && !chosen.contains(record)) {
				chosen.add(record);
			}
		}
		return chosen;
	}

	/**
	 * Returns the number of reachable members, including this one.
	 * @return at least 1
	 */
	int size() {
		return this.reachable.size() + 1;
	}

	private void shuffle(List<MemberId> ids) {
		for (int i = ids.size() - 1; i > 0; i--) {
			int j = this.random.nextInt(i + 1);
			MemberId other = ids.get(j);
			ids.set(j, ids.get(i));
			ids.set(i, other);
		}
	}

}
