package org.rosemaryfront.crashes;

import org.rosemaryfront.dispatch.BackendServer.Incarnation;

/**
 * The crash, or possible crash, of a backend server while it had a suspect.
 *
 * @param suspect the request, or a segment of a prompt
 * @param server the start of the server
 */
public record Crash(CrashSuspect suspect, Incarnation server) {
}
