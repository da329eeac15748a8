package org.rosemaryfront.services;

import org.rosemaryfront.model.Verdict;

/** An attempt at a backend server that gave no answer. */
final class ServiceFailure extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final transient Verdict verdict;

	private ServiceFailure(Verdict verdict, String message, Throwable cause) {
		super(message, cause, false, false);
		this.verdict = verdict;
	}

	// -- factories

	static ServiceFailure mayHaveRun(Throwable cause) {
		return new ServiceFailure(Verdict.mayHaveRun(), String.valueOf(cause), cause);
	}

	static ServiceFailure notRun(String message) {
		return new ServiceFailure(Verdict.notRun(), message, null);
	}

	static ServiceFailure notRun(Throwable cause) {
		return new ServiceFailure(Verdict.notRun(), String.valueOf(cause), cause);
	}

	// -- queries

	Verdict verdict() {
		return this.verdict;
	}

}
