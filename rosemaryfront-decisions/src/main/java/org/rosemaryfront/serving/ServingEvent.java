package org.rosemaryfront.serving;

import java.util.List;
import java.util.Map;

import org.rosemaryfront.model.AttemptId;
import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.RequestId;
import org.rosemaryfront.model.VmId;

/**
 * An event that the serving decisions take into account. Times are on the monotonic
 * clock, in nanoseconds.
 */
public sealed interface ServingEvent {

	// -- requests

	/**
	 * A caller's request passed authentication and validation.
	 *
	 * @param request the request
	 * @param spec the properties of the request
	 */
	record RequestArrived(RequestId request, RequestSpec spec) implements ServingEvent {
	}

	/**
	 * A peer that is leaving handed over a request, with the tokens that were already
	 * emitted.
	 *
	 * @param request the request
	 * @param spec the properties of the request
	 * @param emittedTokens the tokens that the caller already has or will get from the
	 * peer
	 */
	record RequestAdopted(RequestId request, RequestSpec spec, int emittedTokens) implements ServingEvent {
	}

	/**
	 * The caller disconnected or the request moved to a peer.
	 *
	 * @param request the request
	 */
	record RequestAbandoned(RequestId request) implements ServingEvent {
	}

	// -- attempts

	/**
	 * A backend server accepted the attempt and runs it.
	 *
	 * @param attempt the attempt
	 * @param cachedTokens the prompt tokens found in its prefix cache
	 */
	record AttemptAccepted(AttemptId attempt, int cachedTokens) implements ServingEvent {
	}

	/**
	 * Tokens were received.
	 *
	 * @param attempt the attempt
	 * @param emittedTokens all tokens of the answer so far, including those of earlier
	 * attempts
	 */
	record AttemptProgressed(AttemptId attempt, int emittedTokens) implements ServingEvent {
	}

	/**
	 * The whole answer was received.
	 *
	 * @param attempt the attempt
	 */
	record AttemptFinished(AttemptId attempt) implements ServingEvent {
	}

	/**
	 * The backend server refused the attempt before running it.
	 *
	 * @param attempt the attempt
	 * @param refusal the reason
	 */
	record AttemptRefused(AttemptId attempt, Refusal refusal) implements ServingEvent {
	}

	/**
	 * The connection of the attempt failed.
	 *
	 * @param attempt the attempt
	 * @param breakage the kind of failure
	 */
	record AttemptFailed(AttemptId attempt, ConnectionFailure breakage) implements ServingEvent {
	}

	// -- backend servers

	/**
	 * The VM list or the configuration contains a backend server that may accept work.
	 * This does not bring back a server that is known to be leaving.
	 *
	 * @param server the VM
	 * @param pool the name of its pool
	 * @param zone its availability zone
	 * @param address its address, {@code host:port}
	 */
	record ServerDiscovered(VmId server, String pool, String zone, String address) implements ServingEvent {
	}

	/**
	 * A backend server is leaving; this is final for its VM.
	 *
	 * @param server the VM
	 * @param source the source of the information
	 * @param goneAtNanos the expected termination time, {@link Long#MAX_VALUE} if unknown
	 */
	record ServerLeaving(VmId server, LeavingSource source, long goneAtNanos) implements ServingEvent {
	}

	/**
	 * The VM of a backend server was terminated.
	 *
	 * @param server the VM
	 */
	record ServerTerminated(VmId server) implements ServingEvent {
	}

	/**
	 * A load report was received; it describes an earlier moment.
	 *
	 * @param server the VM
	 * @param running the number of running streams
	 * @param queued the number of streams that wait in the engine
	 * @param tokensPerSecond the tokens generated per second, over all streams
	 * @param ageNanos the age of the report on arrival, in nanoseconds
	 */
	record LoadReported(VmId server, int running, int queued, double tokensPerSecond,
			long ageNanos) implements ServingEvent {
	}

	/**
	 * Cache events were received, late and possibly with gaps.
	 *
	 * @param server the VM
	 * @param added the blocks added to the cache
	 * @param removed the blocks removed from the cache
	 * @param gap whether earlier events were missed
	 */
	record CacheReported(VmId server, List<Long> added, List<Long> removed, boolean gap) implements ServingEvent {
	}

	// -- configuration and peers

	/**
	 * A configuration came into force.
	 *
	 * @param configuration the configuration
	 */
	record ConfigurationApplied(Configuration configuration) implements ServingEvent {
	}

	/**
	 * The peers reported their usage in their digests.
	 *
	 * @param livePeers the number of live entry processes, including this one
	 * @param tokensInFlight the tokens in flight at the peers by organisation, without
	 * this process
	 */
	record PeersReported(int livePeers, Map<String, Long> tokensInFlight) implements ServingEvent {
	}

	/** This entry process is stopping and accepts no new requests. */
	record StopRequested() implements ServingEvent {
	}

	// -- reasons

	/** The reason why a backend server refused an attempt before running it. */
	enum Refusal {

		/** The backend server is leaving. */
		LEAVING,

		/** The queue of the backend server is full. */
		FULL,

		/** The backend server has not loaded the model or adapter. */
		NOT_LOADED,

		/** The backend server no longer has the stream that was to be resumed. */
		UNKNOWN_STREAM

	}

	/** The kind of failure of an attempt's connection. */
	enum ConnectionFailure {

		/** No connection was established; nothing was sent. */
		CONNECT_FAILED,

		/** The connection was closed or lost. */
		CONNECTION_LOST,

		/**
		 * No heartbeat was received within the silence limit; the engine may still be
		 * running.
		 */
		SILENT

	}

	/** The source of the information that a backend server is leaving. */
	enum LeavingSource {

		/** The platform's VM list. */
		VM_LIST,

		/** A reclaim notice of the cloud API. */
		RECLAIM_NOTICE,

		/** A refusal by the backend server itself. */
		SERVER,

		/** An entry or controller process that received the information first. */
		PEER,

		/** A drain by an operator or the controller. */
		DRAIN

	}

}
