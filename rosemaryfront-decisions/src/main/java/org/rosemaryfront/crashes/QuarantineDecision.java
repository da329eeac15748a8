package org.rosemaryfront.crashes;

import java.util.List;

import org.rosemaryfront.crashes.SegmentQuarantine.Hold;
import org.rosemaryfront.dispatch.BackendServer.Incarnation;

/** Whether a request may be sent, given the known crashes. */
public sealed interface QuarantineDecision {

	/**
	 * Returns the decision for a request without any evidence.
	 * @return the decision
	 */
	static QuarantineDecision none() {
		return Allowed.UNSUSPECTED;
	}

	/**
	 * Returns the servers that crashed, or may have crashed, while they had the request.
	 * @return the starts of the servers, in the order of the crashes
	 */
	List<Incarnation> servers();

	/**
	 * The request may be sent.
	 *
	 * @param servers the servers that crashed
	 */
	record Allowed(List<Incarnation> servers) implements QuarantineDecision {

		static final Allowed UNSUSPECTED = new Allowed(List.of());

		public Allowed {
			servers = List.copyOf(servers);
		}

	}

	/**
	 * The request is quarantined, but its servers crashed at the same time, which
	 * suggests a cause outside the request: one copy may be sent as a probe, once across
	 * all processes.
	 *
	 * @param servers the servers that crashed
	 */
	record Probe(List<Incarnation> servers) implements QuarantineDecision {

		public Probe {
			servers = List.copyOf(servers);
		}

	}

	/**
	 * The request must not be sent, because segments of its prompt are quarantined.
	 *
	 * @param hold the segments, which crash servers when they occur together
	 * @param mayProbe whether the request may be sent as a probe, once across all
	 * processes
	 */
	record SegmentsQuarantined(Hold hold, boolean mayProbe) implements QuarantineDecision {

		@Override
		public List<Incarnation> servers() {
			return List.copyOf(this.hold.servers());
		}

	}

	/**
	 * The request is quarantined and must not be sent.
	 *
	 * @param servers the servers that crashed
	 */
	record Quarantined(List<Incarnation> servers) implements QuarantineDecision {

		public Quarantined {
			servers = List.copyOf(servers);
		}

	}

}
