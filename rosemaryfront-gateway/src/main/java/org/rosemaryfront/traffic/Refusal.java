package org.rosemaryfront.traffic;

import java.util.Locale;

/**
 * The reason why a call was refused or failed.
 *
 * @param cause the category, by which refusals are counted
 * @param detail the details of the decision, for the log
 */
public record Refusal(Cause cause, String detail) {

	/** The deadline of the call passed. */
	static final Refusal DEADLINE = of(Cause.DEADLINE, "");

	/**
	 * Creates a refusal.
	 * @param cause the category
	 * @param detail the details of the decision
	 * @return the refusal
	 */
	public static Refusal of(Cause cause, String detail) {
		return new Refusal(cause, detail);
	}

	/** The categories of refusals. */
	public enum Cause {

		/** The organisation has used up its quota. */
		QUOTA,

		/** The gateways that share the quota are not known yet. */
		GATEWAYS_UNKNOWN,

		/** No server can start the call in time. */
		NO_ROOM,

		/** No server accepts calls of the service. */
		NO_SERVER,

		/** No connection could be made to any of the servers tried. */
		NO_CONNECTION,

		/** The deadline passed. */
		DEADLINE,

		/** The call may have run and must not run again. */
		MAY_HAVE_RUN,

		/**
		 * The request was streamed or the response started, so that the call cannot be
		 * sent again.
		 */
		BODY_NOT_KEPT,

		/** The maximum number of attempts was reached. */
		ATTEMPTS_USED,

		/** The retry budget is used up. */
		RETRIES_USED,

		/** The request is quarantined because servers crashed while executing it. */
		CRASHES_SERVERS,

		/** The quarantined requests are not known yet. */
		CRASHES_UNKNOWN,

		/** All servers have limits that are used up. */
		SERVER_LIMIT,

		/** All servers want no requests for a while. */
		SERVER_BACKOFF,

		/** It is not known which version began the stream that the caller takes up. */
		ORIGIN_UNKNOWN,

		/** The gateway holds as much of requests and responses as it may. */
		MEMORY,

		/** The gateway ends. */
		STOPPING;

		@Override
		public String toString() {
			return name().toLowerCase(Locale.ROOT).replace('_', '-');
		}

	}

}
