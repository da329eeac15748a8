package org.rosemaryfront.membership;

import java.util.Objects;

/**
 * State of a member as known to another one. The records of a member are totally ordered
 * by incarnation, then by state. The greater record replaces the lesser one, so the order
 * of arrival does not matter and a delayed message changes nothing.
 *
 * @param id the member
 * @param address the address of its peer listener, {@code host:port}
 * @param zone its availability zone
 * @param incarnation increases with each start of the process and each refutation
 * @param state its last known state
 * @param revision the configuration revision that it last reported as in force
 */
public record MemberRecord(MemberId id, String address, String zone, long incarnation, MemberState state,
		long revision) {

	/** Generous estimate of the bytes of a record in a datagram, without its strings. */
	private static final int FIXED_BYTES = 30;

	public MemberRecord {
		Objects.requireNonNull(id, "id is null");
		Objects.requireNonNull(address, "address is null");
		Objects.requireNonNull(zone, "zone is null");
		Objects.requireNonNull(state, "state is null");
	}

	// -- queries

	/**
	 * Returns whether the member may still respond.
	 * @return false when it is dead
	 */
	public boolean reachable() {
		return this.state != MemberState.DEAD;
	}

	/**
	 * Returns whether this record replaces another one of the same member.
	 * @param other the other record
	 * @return true when this one is strictly greater
	 */
	public boolean supersedes(MemberRecord other) {
		if (this.incarnation != other.incarnation) {
			return this.incarnation > other.incarnation;
		}
		return this.state.compareTo(other.state) > 0;
	}

	int estimatedBytes() {
		return FIXED_BYTES + this.id.vm().value().length() + this.id.role().length() + this.address.length()
				+ this.zone.length();
	}

	// -- changes

	MemberRecord withIncarnation(long next) {
		return new MemberRecord(this.id, this.address, this.zone, next, this.state, this.revision);
	}

	MemberRecord withRevision(long next) {
		return (next == this.revision) ? this
				: new MemberRecord(this.id, this.address, this.zone, this.incarnation, this.state, next);
	}

	MemberRecord withState(MemberState next) {
		return new MemberRecord(this.id, this.address, this.zone, this.incarnation, next, this.revision);
	}

}
