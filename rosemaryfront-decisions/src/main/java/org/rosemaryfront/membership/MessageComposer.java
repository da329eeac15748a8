package org.rosemaryfront.membership;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import org.rosemaryfront.membership.MembershipMessage.Kind;
import org.rosemaryfront.model.VmId;

/**
 * Chooses the contents of datagrams within their maximum size.
 */
final class MessageComposer {

	private static final int HEADER_BYTES = 64;

	/**
	 * Maximum number of departures in an urgent datagram. They must fit together with the
	 * records: a chosen departure counts as sent, so one that is then left out would
	 * never be delivered.
	 */
	private static final int URGENT_DEPARTURES = 25;

	/** Departures repeated in each ordinary datagram for members that missed them. */
	private static final int REPEATED_DEPARTURES = 4;

	private final MembershipSettings settings;

	private final MemberTable members;

	private final DepartureTable departures;

	private final UsageTable usage;

	private final SplittableRandom random;

	private final BroadcastQueue<MemberId> memberBroadcasts = new BroadcastQueue<>();

	private final BroadcastQueue<VmId> departureBroadcasts = new BroadcastQueue<>();

	MessageComposer(MembershipSettings settings, MemberTable members, DepartureTable departures, UsageTable usage,
			SplittableRandom random) {
		this.settings = settings;
		this.members = members;
		this.departures = departures;
		this.usage = usage;
		this.random = random;
	}

	// -- pending changes

	void enqueue(MemberId member) {
		this.memberBroadcasts.add(member, 0);
	}

	/**
	 * Queues a new member for fewer transmissions than other changes, because most
	 * members learn of it directly: a new member probes all addresses in the VM list.
	 * With the full number of transmissions the start of a whole fleet would fill
	 * datagrams for minutes.
	 * @param member the new member
	 */
	void enqueueJoin(MemberId member) {
		int times = this.settings.retransmissions(this.members.size());
		this.memberBroadcasts.add(member, times - MembershipSettings.JOIN_TRANSMISSIONS);
	}

	void enqueue(VmId departure) {
		this.departureBroadcasts.add(departure, 0);
	}

	// -- messages

	/**
	 * Composes an ordinary message: pending changes, one random record and a few random
	 * departures for members that missed a change, and the usage digest.
	 * @param self the record of the sender
	 * @param to the receiver, if known
	 * @param kind the kind of the message
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the message
	 */
	MembershipMessage ordinary(MemberRecord self, Optional<MemberId> to, Kind kind, long nowNanos) {
		Set<MemberId> ids = new LinkedHashSet<>(receiverRecord(to));
		ids.addAll(memberChanges(MembershipSettings.MEMBERS_PER_DATAGRAM));
		this.members.sample(1, self.id()).forEach((record) -> ids.add(record.id()));
		Set<VmId> vms = new LinkedHashSet<>(departureChanges(MembershipSettings.DEPARTURES_PER_DATAGRAM));
		vms.addAll(this.departures.sample(REPEATED_DEPARTURES, this.random));
		return compose(self, kind, ids, vms, this.usage.digest(this.settings.usageOrganisations()), nowNanos);
	}

	/**
	 * Composes an urgent message: pending changes only, as many as fit.
	 * @param self the record of the sender
	 * @param to the receiver
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the message
	 */
	MembershipMessage urgent(MemberRecord self, MemberId to, long nowNanos) {
		Set<MemberId> ids = new LinkedHashSet<>(receiverRecord(Optional.of(to)));
		ids.addAll(memberChanges(MembershipSettings.MEMBERS_PER_DATAGRAM));
		return compose(self, new Kind.Gossip(), ids, departureChanges(URGENT_DEPARTURES), Map.of(), nowNanos);
	}

	/**
	 * Composes a message to a member that just joined, with as many members and
	 * departures as fit.
	 * @param self the record of the sender
	 * @param kind the kind of the message
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the message
	 */
	MembershipMessage joinReply(MemberRecord self, Kind kind, long nowNanos) {
		Set<MemberId> ids = new LinkedHashSet<>();
		this.members.sample(capacity() / 4, self.id()).forEach((record) -> ids.add(record.id()));
		return compose(self, kind, ids, this.departures.sample(capacity() / 2, this.random),
				this.usage.digest(this.settings.usageOrganisations()), nowNanos);
	}

	// -- contents

	// Returns the receiver's own record unless it is alive. A member that is wrongly
	// recorded as suspect or dead can refute only a record that it receives, so each
	// message to it contains that record.
	private List<MemberId> receiverRecord(Optional<MemberId> to) {
		return to.flatMap(this.members::find)
			.filter((record) -> record.state() != MemberState.ALIVE)
			.map(MemberRecord::id)
			.stream()
			.toList();
	}

	private List<MemberId> memberChanges(int limit) {
		return this.memberBroadcasts.take(limit, this.settings.retransmissions(this.members.size()));
	}

	private List<VmId> departureChanges(int limit) {
		return this.departureBroadcasts.take(limit, this.settings.retransmissions(this.members.size()));
	}

	private int capacity() {
		return this.settings.datagramBytes() / 24;
	}

	private MembershipMessage compose(MemberRecord self, Kind kind, Iterable<MemberId> ids, Iterable<VmId> vms,
			Map<String, Long> digest, long nowNanos) {
		int remainingBytes = this.settings.datagramBytes() - HEADER_BYTES - self.estimatedBytes()
				- estimatedBytes(digest);
		List<MemberRecord> records = new ArrayList<>();
		for (MemberId id : ids) {
			MemberRecord record = this.members.find(id).orElse(self);
			if (!id.equals(self.id()) && record.estimatedBytes() <= remainingBytes) {
				records.add(record);
				remainingBytes -= record.estimatedBytes();
			}
		}
		List<DepartureNotice> notices = new ArrayList<>();
		for (VmId vm : vms) {
			Optional<DepartureNotice> notice = this.departures.notice(vm, nowNanos);
			if (notice.isPresent() && notice.get().estimatedBytes() <= remainingBytes) {
				notices.add(notice.get());
				remainingBytes -= notice.get().estimatedBytes();
			}
		}
		return new MembershipMessage(self, kind, records, notices, digest);
	}

	private static int estimatedBytes(Map<String, Long> digest) {
		return digest.keySet().stream().mapToInt((name) -> name.length() + 12).sum();
	}

}
