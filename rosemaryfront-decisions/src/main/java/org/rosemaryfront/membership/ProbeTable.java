package org.rosemaryfront.membership;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The table of open probes: the one of this period, and those sent on behalf of others.
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
	 * Opens the probe of a period.
	 * @param target the member probed
	 * @param nowNanos the time
	 * @return its number
	 */
	long start(MemberRecord target, long nowNanos) {
		long number = nextNumber();
		this.open = Optional
			.of(new OpenProbe(number, target.id(), target.address(), target.incarnation(), nowNanos, false));
		return number;
	}

	/**
	 * The probe that is due for help of others.
	 * @param sentBefore the time before which it was sent
	 * @return the probe, once
	 */
	Optional<OpenProbe> takeOverdue(long sentBefore) {
		Optional<OpenProbe> due = this.open.filter((probe) -> !probe.indirectSent() && probe.sentAt() <= sentBefore);
		due.ifPresent((probe) -> this.open = Optional.of(probe.withIndirectSent()));
		return due;
	}

	/**
	 * Ends the period.
	 * @return the probe that nobody answered, empty when it was answered
	 */
	Optional<OpenProbe> takeUnanswered() {
		Optional<OpenProbe> failed = this.open;
		this.open = Optional.empty();
		return failed;
	}

	void acknowledge(long number) {
		this.open = this.open.filter((probe) -> probe.number() != number);
	}

	void clear() {
		this.open = Optional.empty();
		this.relays.clear();
	}

	// -- on behalf of others

	/**
	 * Notes a probe sent for another member.
	 * @param requester the address of the member that asked
	 * @param number its number there
	 * @param nowNanos the time
	 * @return the number under which it goes on
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
	 * A number that no open probe has.
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
