package org.rosemaryfront.peer;

import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;

import org.rosemaryfront.membership.DepartureNotice;
import org.rosemaryfront.membership.MemberId;
import org.rosemaryfront.membership.MemberRecord;
import org.rosemaryfront.membership.MembershipMessage;
import org.rosemaryfront.membership.MembershipMessage.Kind;
import org.rosemaryfront.model.VmId;
import org.rosemaryfront.peer.proto.Ack;
import org.rosemaryfront.peer.proto.Datagram;
import org.rosemaryfront.peer.proto.Departure;
import org.rosemaryfront.peer.proto.Member;
import org.rosemaryfront.peer.proto.MemberState;
import org.rosemaryfront.peer.proto.Probe;
import org.rosemaryfront.peer.proto.Usage;

/**
 * Turns messages of the membership into datagrams and back.
 */
public final class DatagramCodec {

	private DatagramCodec() {
	}

	// -- to datagrams

	/**
	 * Writes a message.
	 * @param message the message
	 * @param region the region of the sender
	 * @return the datagram
	 */
	public static Datagram encode(MembershipMessage message, String region) {
		Objects.requireNonNull(message, "message is null");
		Datagram.Builder datagram = Datagram.newBuilder()
			.setRegion(region.hashCode())
			.setSender(encode(message.sender()));
		switch (message.kind()) {
			case Kind.Probe probe ->
				datagram.setProbe(Probe.newBuilder().setNumber(probe.number()).setTarget(probe.target()));
			case Kind.Ack ack -> datagram.setAck(Ack.newBuilder().setNumber(ack.number()));
			case Kind.Gossip _ -> {
			}
		}
		message.members().forEach((record) -> datagram.addMembers(encode(record)));
		message.departures()
			.forEach((notice) -> datagram.addDepartures(Departure.newBuilder()
				.setVm(notice.vm().value())
				.setRemainingMillis(Math.max(-1, notice.remainingMillis()))));
		message.usage()
			.forEach((organisation, tokens) -> datagram
				.addUsage(Usage.newBuilder().setOrganisation(organisation).setTokensInFlight(tokens)));
		return datagram.build();
	}

	private static Member encode(MemberRecord record) {
		return Member.newBuilder()
			.setVm(record.id().vm().value())
			.setRole(record.id().role())
			.setAddress(record.address())
			.setZone(record.zone())
			.setIncarnation(record.incarnation())
			.setState(MemberState.forNumber(record.state().ordinal()))
			.setRevision(record.revision())
			.build();
	}

	// -- from datagrams

	/**
	 * Whether a datagram was sent in a region.
	 * @param datagram the datagram
	 * @param region the region
	 * @return true when it was
	 */
	public static boolean belongsTo(Datagram datagram, String region) {
		return datagram.getRegion() == region.hashCode();
	}

	/**
	 * Reads a message.
	 * @param datagram the datagram
	 * @return the message
	 * @throws IllegalArgumentException when a state or a name in it is unknown or empty
	 */
	public static MembershipMessage decode(Datagram datagram) {
		Objects.requireNonNull(datagram, "datagram is null");
		Kind kind = switch (datagram.getKindCase()) {
			case PROBE -> new Kind.Probe(datagram.getProbe().getNumber(), datagram.getProbe().getTarget());
			case ACK -> new Kind.Ack(datagram.getAck().getNumber());
			case KIND_NOT_SET -> new Kind.Gossip();
		};
		Map<String, Long> usage = datagram.getUsageList()
			.stream()
			.collect(Collectors.toMap(Usage::getOrganisation, Usage::getTokensInFlight, Long::sum));
		return new MembershipMessage(decode(datagram.getSender()), kind,
				datagram.getMembersList().stream().map(DatagramCodec::decode).toList(),
				datagram.getDeparturesList()
					.stream()
					.map((departure) -> new DepartureNotice(new VmId(departure.getVm()),
							departure.getRemainingMillis()))
					.toList(),
				usage);
	}

	private static MemberRecord decode(Member member) {
		if (member.getState() == MemberState.UNRECOGNIZED || member.getVm().isEmpty() || member.getRole().isEmpty()) {
			throw new IllegalArgumentException("a member record lacks its name, role or state");
		}
		return new MemberRecord(new MemberId(new VmId(member.getVm()), member.getRole()), member.getAddress(),
				member.getZone(), member.getIncarnation(),
				org.rosemaryfront.membership.MemberState.values()[member.getState().getNumber()], member.getRevision());
	}

}
