package org.rosemaryfront.ports;

import org.rosemaryfront.limits.ServerStatements;

/**
 * The metadata that a backend server sends in the headers of a response.
 *
 * @param requestId the request that the response belongs to; empty when the server names
 * none
 * @param signed whether the response is signed; an unsigned response is not accepted as a
 * success
 * @param notRun whether the server states that it did not execute the call
 * @param statements what the server states about itself
 */
public record ResponseMetadata(String requestId, boolean signed, boolean notRun, ServerStatements statements) {
}
