package org.rosemaryfront.ctl;

/**
 * A sub-command of {@code rosemaryctl}. Its variants are public with public constructors,
 * since args4j makes them by reflection.
 */
sealed interface Command permits ReportCommand, ServerCommand, ValidateCommand {

	/**
	 * Runs the command.
	 * @param console where it reads and writes
	 * @return how it ended
	 * @throws CtlException when it cannot be carried out
	 */
	ExitCode run(Console console);

}
