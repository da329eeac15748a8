package org.rosemaryfront.traffic;

import java.util.Locale;

/**
 * Why a call got no good answer.
 *
 * @param cause the cause, by which refusals are counted
 * @param detail what decided it, for the log
 */
public record Refusal(Cause cause, String detail) {

	/** The time of the call is over. */
	static final Refusal DEADLINE = of(Cause.DEADLINE, "");

	/**
	 * A refusal.
	 * @param cause the cause
	 * @param detail what decided it
	 * @return the refusal
	 */
	public static Refusal of(Cause cause, String detail) {
		return new Refusal(cause, detail);
	}

	/** The causes of refusals. */
	public enum Cause {

		/** The organisation has used its quota. */
		QUOTA,

		/** It is not known yet which gateways share the quota. */
		GATEWAYS_UNKNOWN,

		/** No server can begin it in time. */
		NO_ROOM,

		/** No server takes calls of its service. */
		NO_SERVER,

		/** No connection could be made to any server that was tried. */
		NO_CONNECTION,

		/** Its time is over. */
		DEADLINE,

		/** It may have run and must not run again. */
		MAY_HAVE_RUN,

		/**
		 * Its body was passed on as it came, or its answer begun, so that it cannot go
		 * out again.
		 */
		BODY_NOT_KEPT,

		/** As many servers had it as may have it. */
		ATTEMPTS_USED,

		/** Too many calls are sent again already. */
		RETRIES_USED,

		/** Servers crashed under the request. */
		CRASHES_SERVERS,

		/** It is not known yet under which requests servers crashed. */
		CRASHES_UNKNOWN;

		@Override
		public String toString() {
			return name().toLowerCase(Locale.ROOT).replace('_', '-');
		}

	}

}
