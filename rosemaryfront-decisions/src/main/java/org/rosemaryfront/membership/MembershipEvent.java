package org.rosemaryfront.membership;

import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.rosemaryfront.model.VmId;

/**
 * Input to {@link Membership}.
 */
public sealed interface MembershipEvent {

	/**
	 * A datagram arrived.
	 *
	 * @param from the address of its sender
	 * @param message the message
	 */
	record MessageArrived(String from, MembershipMessage message) implements MembershipEvent {
	}

	/**
	 * The VM list was read. The list lags and may be stale, so it only provides addresses
	 * to probe: a VM counts as a live member only after it responds.
	 *
	 * @param candidates the entry VMs that are not marked as leaving
	 */
	record CandidatesListed(List<Candidate> candidates) implements MembershipEvent {

		public CandidatesListed {
			candidates = List.copyOf(candidates);
		}

	}

	/**
	 * This process learned from a source other than a peer that a backend server is
	 * leaving.
	 *
	 * @param notice the departure
	 */
	record DepartureDetected(DepartureNotice notice) implements MembershipEvent {
	}

	/**
	 * This process is shutting down.
	 */
	record LeaveRequested() implements MembershipEvent {
	}

	/**
	 * A configuration came into force at this process.
	 *
	 * @param revision its revision
	 */
	record RevisionInForce(long revision) implements MembershipEvent {
	}

	/**
	 * The revision in force at each member was requested; members that last reported an
	 * older revision are queried.
	 */
	record RevisionsRequested() implements MembershipEvent {
	}

	/**
	 * The tokens in flight at this process were measured.
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
