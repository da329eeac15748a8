package org.rosemaryfront.admission;

/**
 * The expected times of a call at the best server.
 *
 * @param waitMillis the time until the server begins with its prompt, in milliseconds
 * @param firstTokenMillis the time to first token, in milliseconds
 */
public record ExpectedTime(double waitMillis, double firstTokenMillis) {
}
