package org.rosemaryfront.crashes;

import org.rosemaryfront.dispatch.BackendServer.Start;

/**
 * A backend server crashed while it had a request.
 *
 * @param request the request
 * @param server the start of the server
 */
public record Crash(RequestDigest request, Start server) {
}
