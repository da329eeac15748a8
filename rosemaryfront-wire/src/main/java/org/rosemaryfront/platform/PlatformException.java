package org.rosemaryfront.platform;

import java.util.Objects;

import org.rosemaryfront.model.Verdict;

/**
 * A call to the platform that failed; the verdict says whether it may have taken effect.
 */
public final class PlatformException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final transient Verdict verdict;

	private final boolean refusedStart;

	private PlatformException(Verdict verdict, boolean refusedStart, String message, Throwable cause) {
		super(message, cause);
		this.verdict = Objects.requireNonNull(verdict, "verdict is null");
		this.refusedStart = refusedStart;
	}

	// -- factories

	/**
	 * A call that failed.
	 * @param verdict whether it may have taken effect
	 * @param message what happened
	 * @param cause the failure
	 * @return the exception
	 */
	public static PlatformException of(Verdict verdict, String message, Throwable cause) {
		return new PlatformException(verdict, false, message, cause);
	}

	/**
	 * The cloud has no VM of the sort asked for.
	 * @param message what the cloud said
	 * @return the exception
	 */
	public static PlatformException refusedStart(String message) {
		return new PlatformException(Verdict.notRun(), true, message, null);
	}

	// -- queries

	/**
	 * Whether the cloud refused to start a VM.
	 * @return true when it has none of the sort asked for
	 */
	public boolean isRefusedStart() {
		return this.refusedStart;
	}

	/**
	 * Whether the call may have taken effect.
	 * @return the verdict
	 */
	public Verdict verdict() {
		return this.verdict;
	}

}
