package org.rosemaryfront.tables;

import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Tracks how long ago the local copy of a followed table was last confirmed to be
 * current. A response of the store confirms that all changes up to a point in time have
 * been received; the absence of updates confirms nothing. Thread-safe.
 *
 * <pre>
 * Freshness freshness = Freshness.unproven(TimeUnit.SECONDS.toNanos(3));
 * freshness.confirm(sentNanos, Source.STORE);
 * long age = freshness.ageNanos(System.nanoTime()).orElse(Long.MAX_VALUE);
 * </pre>
 */
public final class Freshness {

	/**
	 * A confirmation in a report must be at least this much later than the end of a
	 * process pause, in nanoseconds; the reports queued during the pause have been
	 * processed by then.
	 */
	private static final long REPORT_WAIT_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final long outageNanos;

	private OptionalLong confirmedNanos = OptionalLong.empty();

	/** When the last outage of the store ended. */
	private OptionalLong outageEndNanos = OptionalLong.empty();

	/** When the process last resumed after a pause. */
	private OptionalLong resumedNanos = OptionalLong.empty();

	private Source source = Source.NOBODY;

	private Freshness(long outageNanos) {
		this.outageNanos = outageNanos;
	}

	/**
	 * Creates the freshness of a table that has not been confirmed yet.
	 * @param outageNanos the time between two confirmations from which on the store
	 * counts as having been unavailable in between, in nanoseconds
	 * @return the freshness
	 */
	public static Freshness unconfirmed(long outageNanos) {
		return new Freshness(outageNanos);
	}

	/**
	 * Records that all changes up to a point in time have been received.
	 * @param atNanos the point in time, on the monotonic clock; ignored if it is not
	 * later than the last one
	 * @param newSource the source of the confirmation
	 */
	public synchronized void confirm(long atNanos, Source newSource) {
		Objects.requireNonNull(newSource, "newSource is null");
		boolean newer = this.confirmedNanos.isEmpty() || atNanos - this.confirmedNanos.getAsLong() > 0;
		if (newer && !isDiscarded(atNanos, newSource)) {
			noteOutage(atNanos);
			this.confirmedNanos = OptionalLong.of(atNanos);
			this.source = newSource;
		}
	}

	private boolean isDiscarded(long atNanos, Source newSource) {
		long waitNanos = (newSource == Source.REPORT) ? REPORT_WAIT_NANOS : 0;
		return this.resumedNanos.isPresent() && atNanos - this.resumedNanos.getAsLong() - waitNanos < 0;
	}

	private void noteOutage(long atNanos) {
		boolean outage = this.confirmedNanos.isPresent()
				&& atNanos - this.confirmedNanos.getAsLong() >= this.outageNanos;
		this.outageEndNanos = outage ? OptionalLong.of(atNanos) : this.outageEndNanos;
	}

	/**
	 * Records that the store came back from a copy. As in an outage, rows that are
	 * missing now may be written again.
	 * @param nowNanos the current time on the monotonic clock
	 */
	public synchronized void storeRestored(long nowNanos) {
		this.outageEndNanos = OptionalLong.of(nowNanos);
	}

	/**
	 * Discards the last confirmation after a process pause. The pause is no outage of the
	 * store. Responses to queries sent before it confirm nothing about the present, and
	 * reports may have waited in the socket.
	 * @param nowNanos the time at which the process resumed, on the monotonic clock
	 */
	public synchronized void discardConfirmation(long nowNanos) {
		this.confirmedNanos = OptionalLong.empty();
		this.source = Source.NOBODY;
		this.resumedNanos = OptionalLong.of(nowNanos);
	}

	/**
	 * Returns how long ago the local copy was last confirmed to be current.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the time in nanoseconds, empty while there is no confirmation
	 */
	public synchronized OptionalLong ageNanos(long nowNanos) {
		return this.confirmedNanos.isPresent()
				? OptionalLong.of(Math.max(0, nowNanos - this.confirmedNanos.getAsLong())) : OptionalLong.empty();
	}

	/**
	 * Returns whether the local copy was confirmed to be current within a period.
	 * @param limitNanos the length of the period, in nanoseconds
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return false also while there is no confirmation
	 */
	public boolean isWithin(long limitNanos, long nowNanos) {
		return ageNanos(nowNanos).orElse(Long.MAX_VALUE) < limitNanos;
	}

	/**
	 * Returns when the store last became available again. Rows that ended during the
	 * outage may only have expired, since they could not be renewed.
	 * @return the end of the last outage, on the monotonic clock, empty if there was none
	 */
	public synchronized OptionalLong outageEndNanos() {
		return this.outageEndNanos;
	}

	/**
	 * Returns the source of the last confirmation.
	 * @return the source
	 */
	public synchronized Source source() {
		return this.source;
	}

	/** The source of a confirmation that the local copy of a table is current. */
	public enum Source {

		/** There is no confirmation. */
		NOBODY,

		/** The store, queried by this process. */
		STORE,

		/** A report of another gateway. */
		REPORT

	}

}
