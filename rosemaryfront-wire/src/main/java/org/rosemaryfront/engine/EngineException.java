package org.rosemaryfront.engine;

import java.util.Objects;
import java.util.Optional;

import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.serving.ServingEvent.Breakage;
import org.rosemaryfront.serving.ServingEvent.Refusal;

/** A call to an engine that failed. */
public final class EngineException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final transient Verdict verdict;

	private final Refusal refusal;

	private final Breakage breakage;

	private EngineException(Verdict verdict, Refusal refusal, Breakage breakage, String message, Throwable cause) {
		super(message, cause);
		this.verdict = verdict;
		this.refusal = refusal;
		this.breakage = breakage;
	}

	// -- factories

	/**
	 * The engine refused the call before running it.
	 * @param refusal its reason
	 * @param message what it said
	 * @return the exception, with the verdict not-run
	 */
	public static EngineException refused(Refusal refusal, String message) {
		Objects.requireNonNull(refusal, "refusal is null");
		return new EngineException(Verdict.notRun(), refusal, null, message, null);
	}

	/**
	 * The call broke off.
	 * @param breakage how
	 * @param cause the failure
	 * @return the exception, with the verdict not-run only for a connection never made
	 */
	public static EngineException broken(Breakage breakage, Throwable cause) {
		Objects.requireNonNull(breakage, "breakage is null");
		Verdict verdict = (breakage == Breakage.CONNECT_FAILED) ? Verdict.notRun() : Verdict.mayHaveRun();
		return new EngineException(verdict, null, breakage, breakage + ": " + cause, cause);
	}

	// -- queries

	/**
	 * Whether the call may have run.
	 * @return the verdict
	 */
	public Verdict verdict() {
		return this.verdict;
	}

	/**
	 * The reason of a refusal.
	 * @return the reason, empty when the call broke off
	 */
	public Optional<Refusal> refusal() {
		return Optional.ofNullable(this.refusal);
	}

	/**
	 * How the call broke off.
	 * @return how, empty when the engine refused
	 */
	public Optional<Breakage> breakage() {
		return Optional.ofNullable(this.breakage);
	}

}
