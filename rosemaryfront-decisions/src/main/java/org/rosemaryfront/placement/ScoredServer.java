package org.rosemaryfront.placement;

/**
 * A server with the time that a call is expected to take there.
 *
 * @param server the server
 * @param expectedMillis the expected time, in milliseconds
 * @param rank its position in an order of the servers that all gateways share for the
 * prompt prefix of the call; the lowest is preferred where expected times are equal
 * @param <T> the servers
 */
public record ScoredServer<T>(T server, double expectedMillis, long rank) {
}
