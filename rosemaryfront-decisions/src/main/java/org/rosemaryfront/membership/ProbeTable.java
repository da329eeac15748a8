package org.rosemaryfront.membership;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Outstanding probes: the one of the current period and those relayed for other members.
 */
final class ProbeTable {

	private final Map<Long, Relay> relays = new LinkedHashMap<>();

	private long lastNumber;

	private Optional<OpenProbe> open = Optional.empty();

	ProbeTable(long firstNumber) {
		this.lastNumber = firstNumber;
	}

	// -- own probe

	/**
	 * Starts the probe of a period.
	 * @param target the member probed
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return its number
	 */
	long start(MemberRecord target, long nowNanos) {
		long number = nextNumber();
		this.open = Optional
			.of(new OpenProbe(number, target.id(), target.address(), target.incarnation(), nowNanos, false));
		return number;
	}

	/**
	 * Returns the probe of this period once it is due for indirect probes.
	 * @param sentBefore the latest time at which an overdue probe was sent, on the
	 * monotonic clock, in nanoseconds
	 * @return the probe, at most once
	 */
	Optional<OpenProbe> takeOverdue(long sentBefore) {
		Optional<OpenProbe> due = this.open.filter((probe) -> !probe.indirectSent() && probe.sentAt() <= sentBefore);
		due.ifPresent((probe) -> this.open = Optional.of(probe.withIndirectSent()));
		return due;
	}

	/**
	 * Ends the period and returns its probe if it is not acknowledged.
	 * @return the probe, empty when it was acknowledged
	 */
	Optional<OpenProbe> takeUnacknowledged() {
		Optional<OpenProbe> unacknowledged = this.open;
		this.open = Optional.empty();
		return unacknowledged;
	}

	void acknowledge(long number) {
		this.open = this.open.filter((probe) -> probe.number() != number);
	}

	void clear() {
		this.open = Optional.empty();
		this.relays.clear();
	}

	// -- relayed probes

	/**
	 * Records a probe that is relayed for another member.
	 * @param requester the address of the member that requested it
	 * @param number the number that the requester gave it
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the number of the relayed probe
	 */
	long relay(String requester, long number, long nowNanos) {
		long own = nextNumber();
		this.relays.put(own, new Relay(requester, number, nowNanos));
		return own;
	}

	Optional<Relay> takeRelay(long number) {
		return Optional.ofNullable(this.relays.remove(number));
	}

	void discardRelays(long sentBefore) {
		this.relays.values().removeIf((relay) -> relay.sentAt() <= sentBefore);
	}

	/**
	 * Returns a number that no outstanding probe has.
	 * @return the number
	 */
	long nextNumber() {
		this.lastNumber++;
		return this.lastNumber;
	}

	record OpenProbe(long number, MemberId target, String address, long incarnation, long sentAt,
			boolean indirectSent) {

		OpenProbe withIndirectSent() {
			return new OpenProbe(this.number, this.target, this.address, this.incarnation, this.sentAt, true);
		}

	}

	record Relay(String requester, long number, long sentAt) {
	}

}
