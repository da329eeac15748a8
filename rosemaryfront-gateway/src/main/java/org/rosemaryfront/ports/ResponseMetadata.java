package org.rosemaryfront.ports;

import org.rosemaryfront.limits.StatedLimit;

/**
 * The metadata that a backend server sends in the headers of a response.
 *
 * @param requestId the request that the response belongs to; empty when the server names
 * none
 * @param signed whether the response is signed; an unsigned response is not accepted as a
 * success
 * @param notRun whether the server states that it did not execute the call
 * @param limit what the server states about the rate of requests that it takes
 * @param rejectionLimit what the server states about the rate of rejections that it
 * withstands
 */
public record ResponseMetadata(String requestId, boolean signed, boolean notRun, StatedLimit limit,
		StatedLimit rejectionLimit) {
}
