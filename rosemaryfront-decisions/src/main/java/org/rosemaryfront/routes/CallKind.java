package org.rosemaryfront.routes;

/** What may be repeated of a call, and how its answer comes. */
public enum CallKind {

	/** May run more than once. */
	IDEMPOTENT,

	/** Runs at most once. */
	NON_IDEMPOTENT,

	/** Answers with a series of events; runs at most once unless it can be resumed. */
	STREAMING

}
