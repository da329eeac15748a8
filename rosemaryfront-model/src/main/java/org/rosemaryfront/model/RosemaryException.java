package org.rosemaryfront.model;

import java.util.Objects;

/**
 * Thrown when a request fails, with the {@link Problem} that is returned to the caller.
 */
public final class RosemaryException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final transient Problem problem;

	private RosemaryException(Problem problem, Throwable cause) {
		super(problem.code().code() + ": " + problem.detail(), cause);
		this.problem = problem;
	}

	/**
	 * Creates an exception for a problem.
	 * @param problem what went wrong
	 * @return the exception
	 */
	public static RosemaryException of(Problem problem) {
		return new RosemaryException(Objects.requireNonNull(problem, "problem is null"), null);
	}

	/**
	 * Creates an exception for a problem with its cause.
	 * @param problem what went wrong
	 * @param cause the underlying failure
	 * @return the exception
	 */
	public static RosemaryException of(Problem problem, Throwable cause) {
		return new RosemaryException(Objects.requireNonNull(problem, "problem is null"), cause);
	}

	/**
	 * Returns the problem that is returned to the caller.
	 * @return the problem
	 */
	public Problem problem() {
		return this.problem;
	}

}
