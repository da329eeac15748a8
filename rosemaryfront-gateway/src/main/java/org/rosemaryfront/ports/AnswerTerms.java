package org.rosemaryfront.ports;

/**
 * What a backend server says of an answer beside status and body.
 *
 * @param requestId the call that it answers; empty when it names none
 * @param signed whether it is signed; an answer without signature is no good answer
 * @param notRun whether the server says that it did not run the call
 */
public record AnswerTerms(String requestId, boolean signed, boolean notRun) {
}
