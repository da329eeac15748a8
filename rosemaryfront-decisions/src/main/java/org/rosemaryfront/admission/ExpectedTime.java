package org.rosemaryfront.admission;

/**
 * The expected times of a call.
 *
 * @param waitMillis the mean time that the servers of the service still need for the
 * prompts sent to them, in milliseconds
 * @param firstTokenMillis the time to first token at the best server, in milliseconds
 * @param ownMillis the part of it that the call would take at that server if no other
 * prompt were before its own, in milliseconds
 */
public record ExpectedTime(double waitMillis, double firstTokenMillis, double ownMillis) {
}
