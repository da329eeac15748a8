package org.rosemaryfront.engine;

import java.util.Objects;
import java.util.Optional;

import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.serving.ServingEvent.ConnectionFailure;
import org.rosemaryfront.serving.ServingEvent.Refusal;

/** A call to an engine that failed. */
public final class EngineException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final transient Verdict verdict;

	private final Refusal refusal;

	private final ConnectionFailure breakage;

	private final boolean fenced;

	private EngineException(Verdict verdict, Refusal refusal, ConnectionFailure breakage, boolean fenced,
			String message, Throwable cause) {
		super(message, cause);
		this.fenced = fenced;
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
		return new EngineException(Verdict.notRun(), refusal, null, false, message, null);
	}

	/**
	 * The call broke off.
	 * @param breakage how
	 * @param cause the failure
	 * @return the exception, with the verdict not-run only for a connection never made
	 */
	public static EngineException broken(ConnectionFailure breakage, Throwable cause) {
		Objects.requireNonNull(breakage, "breakage is null");
		Verdict verdict = (breakage == ConnectionFailure.CONNECT_FAILED) ? Verdict.notRun() : Verdict.mayHaveRun();
		return new EngineException(verdict, null, breakage, false, breakage + ": " + cause, cause);
	}

	/**
	 * The engine rejected an order without taking it.
	 * @param fenced whether the order's fencing number was older than one it had taken;
	 * else the order came after its validity
	 * @param message what it said
	 * @return the exception, with the verdict not-run
	 */
	public static EngineException rejectedOrder(boolean fenced, String message) {
		return new EngineException(Verdict.notRun(), null, null, fenced, message, null);
	}

	// -- queries

	/**
	 * Whether an order was rejected since a later holder of the lease has given one.
	 * @return true when the fencing number was older
	 */
	public boolean isFenced() {
		return this.fenced;
	}

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
	public Optional<ConnectionFailure> breakage() {
		return Optional.ofNullable(this.breakage);
	}

}
