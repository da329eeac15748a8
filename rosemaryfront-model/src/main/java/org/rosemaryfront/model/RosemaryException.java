package org.rosemaryfront.model;

import java.util.Objects;

/**
 * The unchecked exception of this project; it carries the problem that its caller reads.
 */
public final class RosemaryException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final transient Problem problem;

	private RosemaryException(Problem problem, Throwable cause) {
		super(problem.code().code() + ": " + problem.detail(), cause);
		this.problem = problem;
	}

	// -- factories

	/**
	 * Wraps a problem.
	 * @param problem what went wrong
	 * @return the exception
	 */
	public static RosemaryException of(Problem problem) {
		return new RosemaryException(Objects.requireNonNull(problem, "problem is null"), null);
	}

	/**
	 * Wraps a problem with the failure behind it.
	 * @param problem what went wrong
	 * @param cause the failure behind it
	 * @return the exception
	 */
	public static RosemaryException of(Problem problem, Throwable cause) {
		return new RosemaryException(Objects.requireNonNull(problem, "problem is null"), cause);
	}

	// -- queries

	/**
	 * What went wrong.
	 * @return the problem
	 */
	public Problem problem() {
		return this.problem;
	}

}
