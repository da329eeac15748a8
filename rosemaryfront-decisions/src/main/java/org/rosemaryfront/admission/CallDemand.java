package org.rosemaryfront.admission;

/**
 * A call that asks for room.
 *
 * @param service the service
 * @param organisation the organisation of the caller, empty if callers need no key
 * @param priority the priority, 0 for the most urgent
 * @param tokens the tokens of its prompt and its longest response
 * @param targetMillis the time left until the first token is due, in milliseconds
 * @param remainingMillis the time left until the call times out, in milliseconds
 * @param fullTargetMillis the time until the first token is due for a call that has just
 * arrived, in milliseconds
 */
public record CallDemand(String service, String organisation, int priority, long tokens, long targetMillis,
		long remainingMillis, long fullTargetMillis) {
}
