package org.rosemaryfront.tables;

import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * How old the knowledge of a followed table is. An answer of the store proves that all
 * changes up to a moment are known; that nothing was heard proves nothing. May be used on
 * any thread.
 *
 * <pre>
 * Freshness freshness = Freshness.unproven(TimeUnit.SECONDS.toNanos(3));
 * freshness.proven(sentNanos, Source.STORE);
 * long age = freshness.ageNanos(System.nanoTime()).orElse(Long.MAX_VALUE);
 * </pre>
 */
public final class Freshness {

	/**
	 * By then reports that waited while the process stood still were taken, in
	 * nanoseconds.
	 */
	private static final long REPORT_WAIT_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final long outageNanos;

	private OptionalLong provenNanos = OptionalLong.empty();

	/** When the last outage ended. */
	private OptionalLong returnedNanos = OptionalLong.empty();

	/** When the process last went on after it stood still. */
	private OptionalLong forgotNanos = OptionalLong.empty();

	private Source source = Source.NOBODY;

	private Freshness(long outageNanos) {
		this.outageNanos = outageNanos;
	}

	// -- factories

	/**
	 * A table of which nothing is known.
	 * @param outageNanos the time between two proofs from which on the store counts as
	 * having been away, in nanoseconds
	 * @return its freshness
	 */
	public static Freshness unproven(long outageNanos) {
		return new Freshness(outageNanos);
	}

	// -- changes

	/**
	 * Notes that all changes up to a moment are known.
	 * @param atNanos the moment, on the monotonic clock; an earlier one than that known
	 * changes nothing
	 * @param by who proved it
	 */
	public synchronized void proven(long atNanos, Source by) {
		Objects.requireNonNull(by, "by is null");
		boolean newer = this.provenNanos.isEmpty() || atNanos - this.provenNanos.getAsLong() > 0;
		if (newer && !isForgotten(atNanos, by)) {
			noteOutage(atNanos);
			this.provenNanos = OptionalLong.of(atNanos);
			this.source = by;
		}
	}

	private boolean isForgotten(long atNanos, Source by) {
		long waitNanos = (by == Source.REPORT) ? REPORT_WAIT_NANOS : 0;
		return this.forgotNanos.isPresent() && atNanos - this.forgotNanos.getAsLong() - waitNanos < 0;
	}

	private void noteOutage(long atNanos) {
		boolean away = this.provenNanos.isPresent() && atNanos - this.provenNanos.getAsLong() >= this.outageNanos;
		this.returnedNanos = away ? OptionalLong.of(atNanos) : this.returnedNanos;
	}

	/**
	 * Forgets the last proof, since the process stood still. Its pause is no outage; what
	 * was asked before it proves nothing about now, and reports may have waited in the
	 * socket.
	 * @param nowNanos the time at which it went on
	 */
	public synchronized void forget(long nowNanos) {
		this.provenNanos = OptionalLong.empty();
		this.source = Source.NOBODY;
		this.forgotNanos = OptionalLong.of(nowNanos);
	}

	// -- queries

	/**
	 * How long ago all changes were known.
	 * @param nowNanos the time
	 * @return the time in nanoseconds, empty while nothing was proven
	 */
	public synchronized OptionalLong ageNanos(long nowNanos) {
		return this.provenNanos.isPresent() ? OptionalLong.of(Math.max(0, nowNanos - this.provenNanos.getAsLong()))
				: OptionalLong.empty();
	}

	/**
	 * Whether all changes were known of late.
	 * @param limitNanos how long ago at most, in nanoseconds
	 * @param nowNanos the time
	 * @return false also while nothing was proven
	 */
	public boolean isWithin(long limitNanos, long nowNanos) {
		return ageNanos(nowNanos).orElse(Long.MAX_VALUE) < limitNanos;
	}

	/**
	 * When the store last came back: what ended while it was away may only have lapsed.
	 * @return the end of the last outage, on the monotonic clock, empty when there was
	 * none
	 */
	public synchronized OptionalLong returnedNanos() {
		return this.returnedNanos;
	}

	/**
	 * Who gave the last proof.
	 * @return the source
	 */
	public synchronized Source source() {
		return this.source;
	}

	/** Who proves that a table is known as a whole. */
	public enum Source {

		/** Nobody did yet. */
		NOBODY,

		/** The store, asked by this process. */
		STORE,

		/** Another gateway, in a report. */
		REPORT

	}

}
