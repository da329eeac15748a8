package org.rosemaryfront.membership;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * One datagram between members.
 *
 * @param sender the sender's own record
 * @param kind the kind of the message
 * @param members records of other members
 * @param departures departures of backend servers
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
	 * Kind of a message.
	 */
	public sealed interface Kind {

		/**
		 * Requests an acknowledgement.
		 *
		 * @param number identifies the acknowledgement
		 * @param target empty to probe the receiver itself, otherwise the address that
		 * the receiver probes on the sender's behalf
		 */
		record Probe(long number, String target) implements Kind {
		}

		/**
		 * Acknowledges a probe.
		 *
		 * @param number the number of the probe
		 */
		record Ack(long number) implements Kind {
		}

		/** Carries updates only and is not acknowledged. */
		record Gossip() implements Kind {
		}

	}

}
