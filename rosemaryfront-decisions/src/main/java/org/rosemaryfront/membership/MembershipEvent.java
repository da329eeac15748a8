package org.rosemaryfront.membership;

import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.rosemaryfront.model.VmId;

/**
 * Something that happened and that the membership must know.
 */
public sealed interface MembershipEvent {

	/**
	 * A datagram arrived.
	 *
	 * @param from the address it came from
	 * @param message the message
	 */
	record MessageArrived(String from, MembershipMessage message) implements MembershipEvent {
	}

	/**
	 * The VM list was read. It lags and may be frozen, so that an entry is only an
	 * address to ask: nothing is alive before it answers.
	 *
	 * @param candidates the entry VMs that are not marked as leaving
	 */
	record CandidatesListed(List<Candidate> candidates) implements MembershipEvent {

		public CandidatesListed {
			candidates = List.copyOf(candidates);
		}

	}

	/**
	 * This process learned, other than from a peer, that a backend server is leaving.
	 *
	 * @param notice the departure
	 */
	record DepartureKnown(DepartureNotice notice) implements MembershipEvent {
	}

	/**
	 * This process stops.
	 */
	record LeaveRequested() implements MembershipEvent {
	}

	/**
	 * A configuration is in force here.
	 *
	 * @param revision its revision
	 */
	record RevisionInForce(long revision) implements MembershipEvent {
	}

	/**
	 * Someone wants to know now which revision is in force at each member; those last
	 * heard to be behind are asked.
	 */
	record RevisionsAsked() implements MembershipEvent {
	}

	/**
	 * What this process has in flight.
	 *
	 * @param tokensInFlight tokens in flight by organisation
	 */
	record UsageMeasured(Map<String, Long> tokensInFlight) implements MembershipEvent {

		public UsageMeasured {
			tokensInFlight = Map.copyOf(tokensInFlight);
		}

	}

	/**
	 * An entry VM in the VM list.
	 *
	 * @param vm the VM
	 * @param address the address of its peer listener, {@code host:port}
	 */
	record Candidate(VmId vm, String address) {

		public Candidate {
			Objects.requireNonNull(vm, "vm is null");
			Objects.requireNonNull(address, "address is null");
		}

	}

}
