package org.rosemaryfront.warmup;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.rosemaryfront.events.EventLog;

/**
 * Sends calls through a gateway that has tables of its own, until a bound is reached.
 *
 * <pre>
 * try (WarmUp warmUp = WarmUp.start(Limits.firstStart(), path, this::isLoaded)) {
 *     ...
 * }
 * </pre>
 */
public final class WarmUp implements AutoCloseable {

	private final Limits limits;

	private final PathFactory path;

	private final BooleanSupplier loaded;

	private final long startNanos = System.nanoTime();

	private final Thread thread = new Thread(this::run, "warm-up");

	private volatile boolean closed;

	private volatile boolean ended;

	/** The number of calls answered; written by the thread of the warm-up. */
	private volatile int calls;

	private WarmUp(Limits limits, PathFactory path, BooleanSupplier loaded) {
		this.limits = limits;
		this.path = path;
		this.loaded = loaded;
	}

	/**
	 * Starts a warm-up on a thread of its own.
	 * @param limits the limits of the warm-up
	 * @param path opens what the calls pass through
	 * @param loaded tells whether the process would be ready without the warm-up
	 * @return the running warm-up
	 */
	public static WarmUp start(Limits limits, PathFactory path, BooleanSupplier loaded) {
		WarmUp warmUp = new WarmUp(limits, path, loaded);
		warmUp.thread.setDaemon(true);
		warmUp.thread.start();
		return warmUp;
	}

	/**
	 * Starts a warm-up if the whole system starts for the first time. Behind a restart
	 * callers wait already, and calls of theirs warm the process just as well.
	 * @param firstStart whether the whole system starts for the first time
	 * @param path opens what the calls pass through
	 * @param loaded tells whether the process would be ready without the warm-up
	 * @return the running warm-up, empty if there is none
	 */
	public static Optional<WarmUp> atFirstStart(boolean firstStart, PathFactory path, BooleanSupplier loaded) {
		return firstStart ? Optional.of(start(Limits.firstStart(), path, loaded)) : Optional.empty();
	}

	/**
	 * Returns whether the process should not be ready yet.
	 * @return false once the warm-up has ended, or has lasted for as long as it may hold
	 * back the process
	 */
	public boolean holdsBack() {
		return !this.ended && isWithinHold();
	}

	/**
	 * Returns the number of calls answered so far.
	 * @return the number
	 */
	public int calls() {
		return this.calls;
	}

	/** Ends the warm-up; a call in progress is not awaited. */
	@Override
	public void close() {
		this.closed = true;
	}

	private boolean isWithinHold() {
		return System.nanoTime() - this.startNanos < this.limits.hold().toNanos();
	}

	private boolean goesOn() {
		return !this.closed && (isWithinHold() || !this.loaded.getAsBoolean());
	}

	private void run() {
		String cause = "none";
		try (Path opened = this.path.open()) {
			for (int i = 0; i < this.limits.calls() && goesOn(); i++) {
				opened.call(i);
				this.calls = i + 1;
			}
		}
		catch (IOException | RuntimeException ex) {
			cause = String.valueOf(ex);
		}
		finally {
			this.ended = true;
		}
		long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startNanos);
		if (cause.equals("none")) {
			EventLog.info(WarmUpEvents.WARMED_UP, "calls", this.calls, "millis", millis);
		}
		else {
			EventLog.warn(WarmUpEvents.WARM_UP_FAILED, "calls", this.calls, "millis", millis, "cause", cause);
		}
	}

	/**
	 * The limits of a warm-up.
	 *
	 * @param calls the maximum number of calls
	 * @param hold how long the process may be held back; a longer warm-up goes on only
	 * while the process would not be ready anyway
	 */
	public record Limits(int calls, Duration hold) {

		/** Enough for the methods that each call uses to be compiled. */
		private static final int FIRST_START_CALLS = 240;

		private static final Duration FIRST_START_HOLD = Duration.ofSeconds(5);

		/**
		 * Returns the limits for the first start of the whole system, when nobody calls
		 * yet.
		 * @return the limits
		 */
		public static Limits firstStart() {
			return new Limits(FIRST_START_CALLS, FIRST_START_HOLD);
		}

	}

	/** Opens what the calls of a warm-up pass through. */
	@FunctionalInterface
	public interface PathFactory {

		/**
		 * Opens the path; called on the thread of the warm-up.
		 * @return the path, closed when the warm-up ends
		 * @throws IOException if it cannot be opened
		 */
		Path open() throws IOException;

	}

	/** What the calls of a warm-up pass through. */
	public interface Path extends AutoCloseable {

		/**
		 * Sends a call and waits for its response.
		 * @param number the number of the call, from 0 on
		 * @throws IOException if the call fails or takes too long
		 */
		void call(int number) throws IOException;

		@Override
		void close();

	}

}
