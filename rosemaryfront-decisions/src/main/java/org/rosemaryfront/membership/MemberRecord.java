package org.rosemaryfront.membership;

import java.util.Objects;

/**
 * What one member knows of another. Records of a member are totally ordered by
 * incarnation, then by state; the greater one replaces the lesser wherever both meet, so
 * that the order of arrival does not matter and an old message changes nothing.
 *
 * @param id the member
 * @param address the address of its peer listener, {@code host:port}
 * @param zone its availability zone
 * @param incarnation grows with each run of the process and each refutation
 * @param state what is known of it
 * @param revision the configuration revision last heard to be in force there
 */
public record MemberRecord(MemberId id, String address, String zone, long incarnation, MemberState state,
		long revision) {

	/** Bytes of a record in a datagram besides its texts, measured generously. */
	private static final int FIXED_BYTES = 30;

	public MemberRecord {
		Objects.requireNonNull(id, "id is null");
		Objects.requireNonNull(address, "address is null");
		Objects.requireNonNull(zone, "zone is null");
		Objects.requireNonNull(state, "state is null");
	}

	// -- queries

	/**
	 * Whether the member may still answer.
	 * @return false when it is dead
	 */
	public boolean reachable() {
		return this.state != MemberState.DEAD;
	}

	/**
	 * Whether this record replaces another one of the same member.
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
