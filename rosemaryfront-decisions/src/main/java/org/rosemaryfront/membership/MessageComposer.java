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
 * Chooses what a datagram carries, within its size.
 */
final class MessageComposer {

	private static final int HEADER_BYTES = 64;

	/**
	 * Departures passed on in an urgent datagram. They must fit beside the records, since
	 * one that is chosen counts as sent: chosen and left out it would never arrive.
	 */
	private static final int URGENT_DEPARTURES = 25;

	/** Departures repeated in each ordinary datagram for members that missed them. */
	private static final int REPEATED_DEPARTURES = 4;

	private final MembershipSettings settings;

	private final MemberTable members;

	private final DepartureTable departures;

	private final UsageTable usage;

	private final SplittableRandom random;

	private final Rumours<MemberId> memberRumours = new Rumours<>();

	private final Rumours<VmId> departureRumours = new Rumours<>();

	MessageComposer(MembershipSettings settings, MemberTable members, DepartureTable departures, UsageTable usage,
			SplittableRandom random) {
		this.settings = settings;
		this.members = members;
		this.departures = departures;
		this.usage = usage;
		this.random = random;
	}

	// -- changes to pass on

	void passOn(MemberId member) {
		this.memberRumours.add(member, 0);
	}

	/**
	 * Passes a change on that the others mostly learn in another way: a new member asks
	 * all that the VM list names. Without the difference the start of a whole fleet would
	 * fill datagrams for minutes.
	 * @param member the new member
	 */
	void passOnBriefly(MemberId member) {
		int times = this.settings.retransmissions(this.members.size());
		this.memberRumours.add(member, times - MembershipSettings.JOIN_TRANSMISSIONS);
	}

	void passOn(VmId departure) {
		this.departureRumours.add(departure, 0);
	}

	// -- messages

	/**
	 * An ordinary message: changes, one random record and departure for members that
	 * missed a change, and the digest of usage.
	 * @param self the record of the sender
	 * @param to the receiver when it is known
	 * @param kind what it asks or answers
	 * @param now the time
	 * @return the message
	 */
	MembershipMessage ordinary(MemberRecord self, Optional<MemberId> to, Kind kind, long now) {
		Set<MemberId> ids = new LinkedHashSet<>(aboutReceiver(to));
		ids.addAll(changes(MembershipSettings.MEMBERS_PER_DATAGRAM));
		this.members.sample(1, self.id()).forEach((record) -> ids.add(record.id()));
		Set<VmId> vms = new LinkedHashSet<>(departureChanges(MembershipSettings.DEPARTURES_PER_DATAGRAM));
		vms.addAll(this.departures.sample(REPEATED_DEPARTURES, this.random));
		return fit(self, kind, ids, vms, this.usage.digest(this.settings.usageOrganisations()), now);
	}

	/**
	 * An urgent message: only changes, as many as fit.
	 * @param self the record of the sender
	 * @param to the receiver
	 * @param now the time
	 * @return the message
	 */
	MembershipMessage urgent(MemberRecord self, MemberId to, long now) {
		Set<MemberId> ids = new LinkedHashSet<>(aboutReceiver(Optional.of(to)));
		ids.addAll(changes(MembershipSettings.MEMBERS_PER_DATAGRAM));
		return fit(self, new Kind.Gossip(), ids, departureChanges(URGENT_DEPARTURES), Map.of(), now);
	}

	/**
	 * A message to a member that just joined: as many members and departures as fit.
	 * @param self the record of the sender
	 * @param kind what it asks or answers
	 * @param now the time
	 * @return the message
	 */
	MembershipMessage introduction(MemberRecord self, Kind kind, long now) {
		Set<MemberId> ids = new LinkedHashSet<>();
		this.members.sample(capacity() / 4, self.id()).forEach((record) -> ids.add(record.id()));
		return fit(self, kind, ids, this.departures.sample(capacity() / 2, this.random),
				this.usage.digest(this.settings.usageOrganisations()), now);
	}

	// -- parts

	// What is said of the receiver itself. A member that is wrongly suspected or called
	// dead can refute only what it hears; this makes sure that it hears it.
	private List<MemberId> aboutReceiver(Optional<MemberId> to) {
		return to.flatMap(this.members::find)
			.filter((record) -> record.state() != MemberState.ALIVE)
			.map(MemberRecord::id)
			.stream()
			.toList();
	}

	private List<MemberId> changes(int limit) {
		return this.memberRumours.take(limit, this.settings.retransmissions(this.members.size()));
	}

	private List<VmId> departureChanges(int limit) {
		return this.departureRumours.take(limit, this.settings.retransmissions(this.members.size()));
	}

	private int capacity() {
		return this.settings.datagramBytes() / 24;
	}

	private MembershipMessage fit(MemberRecord self, Kind kind, Iterable<MemberId> ids, Iterable<VmId> vms,
			Map<String, Long> digest, long now) {
		int room = this.settings.datagramBytes() - HEADER_BYTES - self.estimatedBytes() - estimatedBytes(digest);
		List<MemberRecord> records = new ArrayList<>();
		for (MemberId id : ids) {
			MemberRecord record = this.members.find(id).orElse(self);
			if (!id.equals(self.id()) && record.estimatedBytes() <= room) {
				records.add(record);
				room -= record.estimatedBytes();
			}
		}
		List<DepartureNotice> notices = new ArrayList<>();
		for (VmId vm : vms) {
			Optional<DepartureNotice> notice = this.departures.notice(vm, now);
			if (notice.isPresent() && notice.get().estimatedBytes() <= room) {
				notices.add(notice.get());
				room -= notice.get().estimatedBytes();
			}
		}
		return new MembershipMessage(self, kind, records, notices, digest);
	}

	private static int estimatedBytes(Map<String, Long> digest) {
		return digest.keySet().stream().mapToInt((name) -> name.length() + 12).sum();
	}

}
