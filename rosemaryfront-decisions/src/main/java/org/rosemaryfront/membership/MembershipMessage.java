package org.rosemaryfront.membership;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * One datagram between members.
 *
 * @param sender the record of its sender, first hand
 * @param kind what it asks or answers
 * @param members records passed on
 * @param departures departures of backend servers passed on
 * @param usage tokens in flight at the sender, by organisation
 */
public record MembershipMessage(MemberRecord sender, Kind kind, List<MemberRecord> members,
		List<DepartureNotice> departures, Map<String, Long> usage) {

	public MembershipMessage {
		Objects.requireNonNull(sender, "sender is null");
		Objects.requireNonNull(kind, "kind is null");
		members = List.copyOf(members);
		departures = List.copyOf(departures);
		usage = Map.copyOf(usage);
	}

	/**
	 * What a message asks or answers.
	 */
	public sealed interface Kind {

		/**
		 * Asks for an answer.
		 *
		 * @param number matches the answer
		 * @param target empty to ask the receiver itself, else the address that the
		 * receiver asks on the sender's behalf
		 */
		record Probe(long number, String target) implements Kind {
		}

		/**
		 * Answers a probe.
		 *
		 * @param number the number of the probe
		 */
		record Ack(long number) implements Kind {
		}

		/** Only passes on what it carries. */
		record Gossip() implements Kind {
		}

	}

}
