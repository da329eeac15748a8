package org.rosemaryfront.ctl;

import java.util.Objects;

/**
 * A command that could not be carried out; the message says why in one sentence.
 */
public final class CtlException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final ExitCode exitCode;

	private CtlException(ExitCode exitCode, String message, Throwable cause) {
		super(message, cause);
		this.exitCode = exitCode;
	}

	// -- factories

	static CtlException of(ExitCode exitCode, String message) {
		return new CtlException(Objects.requireNonNull(exitCode, "exitCode is null"), message, null);
	}

	static CtlException of(ExitCode exitCode, String message, Throwable cause) {
		return new CtlException(Objects.requireNonNull(exitCode, "exitCode is null"), message, cause);
	}

	// -- queries

	/**
	 * How the command ends.
	 * @return the exit code
	 */
	public ExitCode exitCode() {
		return this.exitCode;
	}

}
