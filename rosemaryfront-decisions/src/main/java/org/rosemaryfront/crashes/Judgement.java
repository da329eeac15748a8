package org.rosemaryfront.crashes;

import java.util.List;

import org.rosemaryfront.dispatch.BackendServer.Start;

/** Whether a request may be sent, given the known crashes. */
public sealed interface Judgement {

	/**
	 * Returns the decision for a request without any evidence.
	 * @return the decision
	 */
	static Judgement none() {
		return Free.UNSUSPECTED;
	}

	/**
	 * Returns the servers that crashed, or may have crashed, while they had the request.
	 * @return the starts of the servers, in the order of the crashes
	 */
	List<Start> servers();

	/**
	 * The request may be sent.
	 *
	 * @param servers the servers that crashed
	 */
	record Free(List<Start> servers) implements Judgement {

		static final Free UNSUSPECTED = new Free(List.of());

		public Free {
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
	record OnTrial(List<Start> servers) implements Judgement {

		public OnTrial {
			servers = List.copyOf(servers);
		}

	}

	/**
	 * The request is quarantined and must not be sent.
	 *
	 * @param servers the servers that crashed
	 */
	record Held(List<Start> servers) implements Judgement {

		public Held {
			servers = List.copyOf(servers);
		}

	}

}
