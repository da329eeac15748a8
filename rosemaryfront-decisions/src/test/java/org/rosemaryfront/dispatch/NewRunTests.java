package org.rosemaryfront.dispatch;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rosemaryfront.dispatch.NewRun.Obstacle;

import static org.assertj.core.api.Assertions.assertThat;

class NewRunTests {

	// Guards against a request that runs twice, whatever led to another attempt.
	@ParameterizedTest
	@CsvSource({ "false, false, false, true,", "false, false, true, true,", "true, false, true, true,",
			"true, true, true, true,", "true, false, false, true, MAY_HAVE_RUN",
			"false, true, false, true, MAY_HAVE_RUN", "true, true, false, false, MAY_HAVE_RUN",
			"false, false, false, false, NOT_WHOLE", "true, true, true, false, NOT_WHOLE" })
	void shouldBeginOnlyWhenRequestMayRunAgain(boolean mayHaveRun, boolean stopped, boolean repeatable, boolean whole,
			Obstacle obstacle) {
		NewRun run = new NewRun(mayHaveRun, stopped, repeatable, whole);
		assertThat(run.obstacle().orElse(null)).isEqualTo(obstacle);
	}

}
