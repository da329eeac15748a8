package org.rosemaryfront.serving;

import org.rosemaryfront.serving.ServingEvent.Breakage;
import org.rosemaryfront.serving.ServingEvent.Refusal;

/** An attempt that ended before the whole answer was received. */
sealed interface EndedAttempt {

	Attempt attempt();

	/** The backend server refused the attempt before running it. */
	record Refused(Attempt attempt, Refusal refusal) implements EndedAttempt {
	}

	/** The connection to the backend server failed. */
	record Broken(Attempt attempt, Breakage breakage) implements EndedAttempt {
	}

}
