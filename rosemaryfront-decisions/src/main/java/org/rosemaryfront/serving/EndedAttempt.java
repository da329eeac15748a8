package org.rosemaryfront.serving;

import org.rosemaryfront.serving.ServingEvent.Breakage;
import org.rosemaryfront.serving.ServingEvent.Refusal;

/** An attempt that ended without the whole answer. */
sealed interface EndedAttempt {

	Attempt attempt();

	/** The backend server refused it before running it. */
	record Refused(Attempt attempt, Refusal refusal) implements EndedAttempt {
	}

	/** It broke off. */
	record Broken(Attempt attempt, Breakage breakage) implements EndedAttempt {
	}

}
