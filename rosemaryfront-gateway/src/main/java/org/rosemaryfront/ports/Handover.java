package org.rosemaryfront.ports;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * What this process says of a call to the backend server that gets it.
 *
 * @param remainingMillis how long the server may take, in milliseconds
 * @param serverId the server that is meant; another one at its address refuses the call
 * @param organisation the organisation of the caller, empty where callers need no key
 * @param resumeAfter the last event that the caller has, when a stream goes on
 * @param priority the rank of the call, 0 for the most urgent; empty for the usual one
 * @param fetchFrom the address of a server that has read the shared parts of the prompt,
 * from which they are fetched in place of being read again
 */
public record Handover(long remainingMillis, String serverId, Optional<String> organisation,
		Optional<String> resumeAfter, OptionalInt priority, Optional<String> fetchFrom) {
}
