package org.rosemaryfront.admission;

/**
 * The target of the most urgent calls of a service.
 *
 * @param priority their priority
 * @param millis the latency target, in milliseconds
 */
public record UrgentTarget(int priority, long millis) {
}
