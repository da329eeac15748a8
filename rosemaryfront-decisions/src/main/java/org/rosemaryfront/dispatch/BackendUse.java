package org.rosemaryfront.dispatch;

/**
 * The use of a backend server by one process.
 *
 * @param calls the number of its calls that are waiting or running at the server
 * @param uncachedTokens the prompt tokens that the server still has to prefill for them
 */
public record BackendUse(int calls, long uncachedTokens) {

	/** No use. */
	public static final BackendUse NONE = new BackendUse(0, 0);

	BackendUse plus(BackendUse other) {
		return new BackendUse(this.calls + other.calls, this.uncachedTokens + other.uncachedTokens);
	}

	BackendUse minus(BackendUse other) {
		return new BackendUse(this.calls - other.calls, this.uncachedTokens - other.uncachedTokens);
	}

}
