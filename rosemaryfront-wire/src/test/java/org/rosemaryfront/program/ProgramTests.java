package org.rosemaryfront.program;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

class ProgramTests {

	private static final int LIMIT_SECONDS = 60;

	// Guards against a process that neither runs nor ends, because its stop waits for a
	// start that has failed.
	@ParameterizedTest
	@EnumSource
	void shouldEndWithFailureWhenStartFails(Failure failure) throws Exception {
		Process process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
				System.getProperty("java.class.path"), FailingProgram.class.getName(), failure.name())
			.redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.DISCARD)
			.start();
		try {
			assertThat(process.waitFor(LIMIT_SECONDS, TimeUnit.SECONDS)).isTrue();
			assertThat(process.exitValue()).isEqualTo(Program.FAILED);
		}
		finally {
			process.destroyForcibly();
		}
	}

	/** How a start fails. */
	enum Failure {

		/** By an exception. */
		EXCEPTION {

			@Override
			Program.Running start() {
				throw new IllegalStateException("no start");
			}

		},

		/** By an error. */
		ERROR {

			@Override
			Program.Running start() {
				throw new ExceptionInInitializerError("no start");
			}

		};

		abstract Program.Running start();

	}

	/** A program that does not start. */
	static final class FailingProgram {

		private FailingProgram() {
		}

		static void main(String[] args) {
			Program.serve("failing", Failure.valueOf(args[0])::start);
		}

	}

}
