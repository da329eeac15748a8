package org.rosemaryfront.crashes;

import java.util.List;

import org.rosemaryfront.dispatch.BackendServer.Start;

/** What may be done with a request by the crashes that are known. */
public sealed interface Judgement {

	/**
	 * Of a request of which nothing is known.
	 * @return the judgement
	 */
	static Judgement none() {
		return Free.UNSUSPECTED;
	}

	/**
	 * The servers that crashed while they had the request.
	 * @return the starts of the servers, in the order of the crashes
	 */
	List<Start> servers();

	/**
	 * It may be sent.
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
	 * It is held back, but its servers crashed at one moment, which speaks for the
	 * request: one copy may be sent, once and for all processes together.
	 *
	 * @param servers the servers that crashed
	 */
	record OnTrial(List<Start> servers) implements Judgement {

		public OnTrial {
			servers = List.copyOf(servers);
		}

	}

	/**
	 * It is held back.
	 *
	 * @param servers the servers that crashed
	 */
	record Held(List<Start> servers) implements Judgement {

		public Held {
			servers = List.copyOf(servers);
		}

	}

}
