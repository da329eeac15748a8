package org.rosemaryfront.dispatch;

/**
 * What one process has at a backend server.
 *
 * @param calls its calls that wait or run there
 * @param unreadTokens the prompt tokens that the server still has to read for them
 */
public record BackendUse(int calls, long unreadTokens) {

	/** Nothing. */
	public static final BackendUse NONE = new BackendUse(0, 0);

}
