package org.rosemaryfront.ctl;

/**
 * How {@code rosemaryctl} ended.
 */
public enum ExitCode {

	/** Done. */
	DONE(0),

	/** Refused or failed. */
	FAILED(1),

	/** The command line, a file or a declaration is wrong. */
	WRONG_USE(2),

	/** Another change came first; nothing was changed. */
	CONFLICT(3),

	/** The time ran out before it happened. */
	TIMEOUT(4),

	/** No server could be reached. */
	UNREACHABLE(5);

	private final int code;

	ExitCode(int code) {
		this.code = code;
	}

	/**
	 * The exit code of the process.
	 * @return 0 to 5
	 */
	public int code() {
		return this.code;
	}

}
