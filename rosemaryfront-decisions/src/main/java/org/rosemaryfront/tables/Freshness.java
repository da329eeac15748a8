package org.rosemaryfront.tables;

import java.util.Objects;
import java.util.OptionalLong;

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

	private final long outageNanos;

	private OptionalLong provenNanos = OptionalLong.empty();

	/** When the last outage ended. */
	private OptionalLong returnedNanos = OptionalLong.empty();

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
		if (this.provenNanos.isEmpty() || atNanos - this.provenNanos.getAsLong() > 0) {
			noteOutage(atNanos);
			this.provenNanos = OptionalLong.of(atNanos);
			this.source = by;
		}
	}

	private void noteOutage(long atNanos) {
		boolean away = this.provenNanos.isPresent() && atNanos - this.provenNanos.getAsLong() >= this.outageNanos;
		this.returnedNanos = away ? OptionalLong.of(atNanos) : this.returnedNanos;
	}

	/**
	 * Forgets the last proof. A process that stood still has none, and takes its own
	 * pause for no outage.
	 */
	public synchronized void forget() {
		this.provenNanos = OptionalLong.empty();
		this.source = Source.NOBODY;
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
