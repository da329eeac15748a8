package org.rosemaryfront.report;

import java.util.Locale;

/** What became of a call, as its caller saw it. */
sealed interface CallOutcome {

	/**
	 * Returns the column of a table in which the outcome is counted.
	 * @return the name of the column
	 */
	default String column() {
		return switch (this) {
			case InTime _ -> "in time";
			case Late late -> late.part.name().toLowerCase(Locale.ROOT).replace('_', ' ');
			case Refused refused -> "refused: " + refused.cause;
			case BrokenOff broken -> "broken off: " + broken.cause;
			case Failed failed -> "failed: " + failed.cause;
			case CallerLeft _ -> "caller left";
			case Unfinished _ -> "unfinished";
		};
	}

	/** Answered in time. */
	record InTime() implements CallOutcome {
	}

	/**
	 * Answered late.
	 *
	 * @param part the part of its time that made it late
	 */
	record Late(LatePart part) implements CallOutcome {
	}

	/**
	 * Refused, or its deadline passed before its response started.
	 *
	 * @param cause the reason in the log
	 */
	record Refused(String cause) implements CallOutcome {
	}

	/**
	 * Its response was aborted after it had started.
	 *
	 * @param cause the reason in the log
	 */
	record BrokenOff(String cause) implements CallOutcome {
	}

	/**
	 * Answered with an error, after its server failed it.
	 *
	 * @param cause the reason in the log, else the status
	 */
	record Failed(String cause) implements CallOutcome {
	}

	/** Its caller disconnected. */
	record CallerLeft() implements CallOutcome {
	}

	/** The log ends before the call. */
	record Unfinished() implements CallOutcome {
	}

}
