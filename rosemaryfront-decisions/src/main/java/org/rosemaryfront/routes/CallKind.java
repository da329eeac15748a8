package org.rosemaryfront.routes;

/** Whether a call may be retried and how its response is delivered. */
public enum CallKind {

	/** May run more than once. */
	IDEMPOTENT,

	/** Runs at most once. */
	NON_IDEMPOTENT,

	/** Responds with a stream of events; runs at most once unless it can be resumed. */
	STREAMING

}
