package org.rosemaryfront.ports;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * The metadata that the gateway sends to a backend server with a call.
 *
 * @param remainingMillis how long the server may take, in milliseconds
 * @param serverId the server that the call is addressed to; another server at the same
 * address refuses the call
 * @param organisation the organisation of the caller, empty where callers need no key
 * @param resumeAfter the identifier of the last event that the caller received, when a
 * stream is resumed
 * @param priority the priority of the call, 0 for the most urgent; empty for the default
 * @param kvCacheSource the address of a server that has the prompt's shared segments
 * cached; their KV cache entries are transferred from it instead of being prefilled again
 * @param runCopy the copy of the call's own run from which it continues
 */
public record ForwardingMetadata(long remainingMillis, String serverId, Optional<String> organisation,
		Optional<String> resumeAfter, OptionalInt priority, Optional<String> kvCacheSource, Optional<RunCopy> runCopy) {

	/**
	 * Creates the metadata of a call that begins or is resumed without a copy of its run.
	 * @param remainingMillis how long the server may take, in milliseconds
	 * @param serverId the server that the call is addressed to
	 * @param organisation the organisation of the caller
	 * @param resumeAfter the identifier of the last event that the caller received
	 * @param priority the priority of the call
	 * @param kvCacheSource the address of a server that has the prompt's shared segments
	 * cached
	 */
	public ForwardingMetadata(long remainingMillis, String serverId, Optional<String> organisation,
			Optional<String> resumeAfter, OptionalInt priority, Optional<String> kvCacheSource) {
		this(remainingMillis, serverId, organisation, resumeAfter, priority, kvCacheSource, Optional.empty());
	}

	/**
	 * A copy of the KV cache entries of a run.
	 *
	 * @param sourceAddress the address of the server that made it
	 * @param handle identifies it
	 */
	public record RunCopy(String sourceAddress, String handle) {
	}

}
