package org.rosemaryfront.serving;

import java.util.List;
import java.util.Map;

import org.rosemaryfront.model.AttemptId;
import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.RequestId;
import org.rosemaryfront.model.VmId;

/**
 * Something that happened and that the serving decisions must know. Times are on the
 * monotonic clock, in nanoseconds.
 */
public sealed interface ServingEvent {

	// -- requests

	/**
	 * A caller's request passed authentication and validation.
	 *
	 * @param request the request
	 * @param spec what is asked
	 */
	record RequestArrived(RequestId request, RequestSpec spec) implements ServingEvent {
	}

	/**
	 * A request comes from a peer that is leaving, with the tokens it already has.
	 *
	 * @param request the request
	 * @param spec what is asked
	 * @param emittedTokens the tokens the caller already has or will get from the peer
	 */
	record RequestAdopted(RequestId request, RequestSpec spec, int emittedTokens) implements ServingEvent {
	}

	/**
	 * The caller went away or the request moved to a peer.
	 *
	 * @param request the request
	 */
	record RequestAbandoned(RequestId request) implements ServingEvent {
	}

	// -- attempts

	/**
	 * A backend server runs the attempt.
	 *
	 * @param attempt the attempt
	 * @param cachedTokens prompt tokens it found in its prefix cache
	 */
	record AttemptAccepted(AttemptId attempt, int cachedTokens) implements ServingEvent {
	}

	/**
	 * Tokens arrived.
	 *
	 * @param attempt the attempt
	 * @param emittedTokens all tokens of the answer so far, of earlier attempts too
	 */
	record AttemptProgressed(AttemptId attempt, int emittedTokens) implements ServingEvent {
	}

	/**
	 * The whole answer arrived.
	 *
	 * @param attempt the attempt
	 */
	record AttemptFinished(AttemptId attempt) implements ServingEvent {
	}

	/**
	 * The backend server refused the attempt before running it.
	 *
	 * @param attempt the attempt
	 * @param refusal its reason
	 */
	record AttemptRefused(AttemptId attempt, Refusal refusal) implements ServingEvent {
	}

	/**
	 * The attempt broke off.
	 *
	 * @param attempt the attempt
	 * @param breakage how
	 */
	record AttemptBroken(AttemptId attempt, Breakage breakage) implements ServingEvent {
	}

	// -- backend servers

	/**
	 * The VM list or the configuration shows a backend server that may take work. It does
	 * not revive one that is known to be leaving.
	 *
	 * @param server the VM
	 * @param pool the name of its pool
	 * @param zone its availability zone
	 * @param address its address, {@code host:port}
	 */
	record ServerSeen(VmId server, String pool, String zone, String address) implements ServingEvent {
	}

	/**
	 * A backend server is leaving; this is final for its VM.
	 *
	 * @param server the VM
	 * @param source who said so
	 * @param goneAtNanos when it is expected to vanish, {@link Long#MAX_VALUE} if unknown
	 */
	record ServerLeaving(VmId server, LeavingSource source, long goneAtNanos) implements ServingEvent {
	}

	/**
	 * A backend server vanished.
	 *
	 * @param server the VM
	 */
	record ServerGone(VmId server) implements ServingEvent {
	}

	/**
	 * A load report arrived; it describes an earlier moment.
	 *
	 * @param server the VM
	 * @param running streams running
	 * @param queued streams waiting in the engine
	 * @param tokensPerSecond tokens generated a second, over all streams
	 * @param ageNanos how old the report was on arrival, in nanoseconds
	 */
	record LoadReported(VmId server, int running, int queued, double tokensPerSecond,
			long ageNanos) implements ServingEvent {
	}

	/**
	 * Cache events arrived, late and possibly with gaps.
	 *
	 * @param server the VM
	 * @param added blocks that the cache gained
	 * @param removed blocks that the cache lost
	 * @param gap whether events before these were missed
	 */
	record CacheReported(VmId server, List<Long> added, List<Long> removed, boolean gap) implements ServingEvent {
	}

	// -- configuration and peers

	/**
	 * A configuration is in force.
	 *
	 * @param configuration the configuration
	 */
	record ConfigurationApplied(Configuration configuration) implements ServingEvent {
	}

	/**
	 * What the peers use, from their digests.
	 *
	 * @param livePeers live entry processes, this one included
	 * @param tokensInFlight tokens in flight at the peers by organisation, without this
	 * process
	 */
	record PeersReported(int livePeers, Map<String, Long> tokensInFlight) implements ServingEvent {
	}

	/**
	 * This entry process stops: nothing new is accepted.
	 */
	record StopRequested() implements ServingEvent {
	}

	// -- reasons

	/** Why a backend server refused an attempt before running it. */
	enum Refusal {

		/** It is leaving. */
		LEAVING,

		/** Its queue is full. */
		FULL,

		/** It has not loaded the model or adapter. */
		NOT_LOADED,

		/** It no longer has the stream that was to be resumed. */
		UNKNOWN_STREAM

	}

	/** How an attempt broke off. */
	enum Breakage {

		/** No connection was made; nothing was sent. */
		CONNECT_FAILED,

		/** The connection closed or broke. */
		CONNECTION_LOST,

		/** No heartbeat came within the silence limit; the engine may be well. */
		SILENT

	}

	/** Who said that a backend server is leaving. */
	enum LeavingSource {

		/** The platform's VM list. */
		VM_LIST,

		/** A reclaim notice of the cloud API. */
		RECLAIM_NOTICE,

		/** The backend server's own refusal. */
		SERVER,

		/** An entry or controller process that learned it first. */
		PEER,

		/** An operator or the controller drains it. */
		DRAIN

	}

}
