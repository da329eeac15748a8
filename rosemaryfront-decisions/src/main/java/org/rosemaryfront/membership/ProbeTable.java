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

	private Optional<Open> open = Optional.empty();

	ProbeTable(long firstNumber) {
		this.lastNumber = firstNumber;
	}

	// -- own probe

	/**
	 * Opens the probe of a period.
	 * @param target the member probed
	 * @param now the time
	 * @return its number
	 */
	long open(MemberRecord target, long now) {
		long number = nextNumber();
		this.open = Optional.of(new Open(number, target.id(), target.address(), target.incarnation(), now, false));
		return number;
	}

	/**
	 * The probe that is due for help of others.
	 * @param sentBefore the time before which it was sent
	 * @return the probe, once
	 */
	Optional<Open> unanswered(long sentBefore) {
		Optional<Open> due = this.open.filter((probe) -> !probe.helped() && probe.sentAt() <= sentBefore);
		due.ifPresent((probe) -> this.open = Optional.of(probe.withHelp()));
		return due;
	}

	/**
	 * Ends the period.
	 * @return the probe that nobody answered, empty when it was answered
	 */
	Optional<Open> failed() {
		Optional<Open> failed = this.open;
		this.open = Optional.empty();
		return failed;
	}

	void answered(long number) {
		this.open = this.open.filter((probe) -> probe.number() != number);
	}

	void drop() {
		this.open = Optional.empty();
		this.relays.clear();
	}

	// -- on behalf of others

	/**
	 * Notes a probe sent for another member.
	 * @param origin the address of the member that asked
	 * @param number its number there
	 * @param now the time
	 * @return the number under which it goes on
	 */
	long relay(String origin, long number, long now) {
		long own = nextNumber();
		this.relays.put(own, new Relay(origin, number, now));
		return own;
	}

	Optional<Relay> relayed(long number) {
		return Optional.ofNullable(this.relays.remove(number));
	}

	void forgetRelays(long sentBefore) {
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

	record Open(long number, MemberId target, String address, long incarnation, long sentAt, boolean helped) {

		Open withHelp() {
			return new Open(this.number, this.target, this.address, this.incarnation, this.sentAt, true);
		}

	}

	record Relay(String origin, long number, long sentAt) {
	}

}
