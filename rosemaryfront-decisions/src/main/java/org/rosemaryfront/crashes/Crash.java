package org.rosemaryfront.crashes;

import org.rosemaryfront.dispatch.BackendServer.Incarnation;

/**
 * The crash, or possible crash, of a backend server while it had a request.
 *
 * @param request the digest of the request
 * @param server the start of the server
 */
public record Crash(RequestDigest request, Incarnation server) {
}
