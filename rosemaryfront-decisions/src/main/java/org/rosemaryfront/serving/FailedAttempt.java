package org.rosemaryfront.serving;

import org.rosemaryfront.serving.ServingEvent.ConnectionFailure;
import org.rosemaryfront.serving.ServingEvent.Refusal;

/** An attempt that ended before the whole answer was received. */
sealed interface FailedAttempt {

	Attempt attempt();

	/** The backend server refused the attempt before running it. */
	record Refused(Attempt attempt, Refusal refusal) implements FailedAttempt {
	}

	/** The connection to the backend server failed. */
	record ConnectionFailed(Attempt attempt, ConnectionFailure failure) implements FailedAttempt {
	}

}
