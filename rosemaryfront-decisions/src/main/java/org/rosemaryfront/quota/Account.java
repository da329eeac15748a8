package org.rosemaryfront.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.rosemaryfront.quota.QuotaTable.Use;

/**
 * Records what one organisation uses and requests, at this process and at the others. All
 * decisions are made by {@link QuotaTable}.
 */
final class Account {

	/**
	 * The length of a slot, in nanoseconds. Uses within one slot are counted together.
	 */
	private static final long SLOT_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	/**
	 * The fraction of a window's quota that may be used in one burst; the rest becomes
	 * available evenly. It bounds the use that is forgotten when all processes are
	 * killed.
	 */
	static final double BURST_FRACTION = 0.2;

	/**
	 * The same fraction for an organisation of which processes that start later will know
	 * that it was allowed.
	 */
	static final double LARGE_BURST_FRACTION = 0.4;

	/** The fraction of a window's quota that is much of a burst. */
	private static final double MUCH_OF_BURST_FRACTION = 0.08;

	/**
	 * A call is small if its units are at most this fraction of the recent average of a
	 * call.
	 */
	private static final double SMALL_CALL_FRACTION = 0.1;

	/** The weight of the newest call in the average units of a call. */
	private static final double AVERAGE_WEIGHT = 0.02;

	/** The period over which requested units are summed up, in nanoseconds. */
	private static final long REQUEST_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * The number of calls in a second below which no rise in requests can be determined.
	 */
	private static final int MIN_CALLS_FOR_RISE = 2;

	/**
	 * The age that reports of others may have, in nanoseconds: an interval, their way and
	 * the waits for two ticks.
	 */
	private static final long REPORT_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

	/** The standard deviations of the units requested up to which a rise is chance. */
	private static final double CHANCE_DEVIATIONS = 3;

	private final long windowNanos;

	private final long startedNanos;

	/** The use of all processes within the window, as far as it is known here. */
	private final Deque<Slot> slots = new ArrayDeque<>();

	/** The last use reported by each other process. */
	private final Map<String, RemoteUse> remoteUses = new HashMap<>();

	/** The units requested here within the last second and the age of reports. */
	private final Deque<Slot> requested = new ArrayDeque<>();

	/** The use here that was reported and is not yet confirmed by all other processes. */
	private final Deque<ReportedUse> unconfirmedUses = new ArrayDeque<>();

	/**
	 * The units of refused calls, with the times at which their callers were told to
	 * retry.
	 */
	private final Deque<Slot> unitsToRetry = new ArrayDeque<>();

	private double usedInWindow;

	/** The units used by this process since it started. */
	private double usedHere;

	/** The units within the window that this process used. */
	private double usedHereInWindow;

	private double unconfirmed;

	/** The units used here since the last report. */
	private double sinceReport;

	/** The units requested here within the last second when the last report was sent. */
	private double requestedAtLastReport;

	/** The moving average of the units of a call; 0 before the first call. */
	private double averageUnits;

	private OptionalLong lastSmallCallNanos = OptionalLong.empty();

	/** The units available in one burst; below 0 after other processes reported use. */
	private double burstLevel;

	/** The maximum of the units available in one burst. */
	private double maxBurstLevel;

	/** The units available in addition to the level while a large burst is allowed. */
	private double largeBurstUnits;

	/**
	 * The units that were added to the level for the start of the process; raised when
	 * more gateways share the quota.
	 */
	private double startUnits;

	private double unitsPerNano;

	private long refilledNanos;

	/**
	 * Creates an account without any use.
	 * @param windowNanos the window of quotas, in nanoseconds
	 * @param startedNanos when the process started
	 */
	Account(long windowNanos, long startedNanos) {
		this.windowNanos = windowNanos;
		this.startedNanos = startedNanos;
		this.refilledNanos = startedNanos;
	}

	/**
	 * Records that a call requests units.
	 * @param units the units
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return whether the call is small compared with recent calls
	 */
	boolean request(double units, long nowNanos) {
		Slot slot = slot(this.requested, nowNanos);
		slot.units += units;
		slot.squares += units * units;
		this.averageUnits = (this.averageUnits == 0) ? units
				: this.averageUnits + AVERAGE_WEIGHT * (units - this.averageUnits);
		boolean small = units <= this.averageUnits * SMALL_CALL_FRACTION;
		if (small) {
			this.lastSmallCallNanos = OptionalLong.of(nowNanos);
		}
		return small;
	}

	boolean hadSmallCall(long nowNanos) {
		return this.lastSmallCallNanos.isPresent() && nowNanos - this.lastSmallCallNanos.getAsLong() < this.windowNanos;
	}

	private double requested(long nowNanos) {
		this.requested.removeIf((slot) -> nowNanos - slot.atNanos > REQUEST_PERIOD_NANOS + REPORT_AGE_NANOS);
		return this.requested.stream()
			.filter((slot) -> nowNanos - slot.atNanos <= REQUEST_PERIOD_NANOS)
			.mapToDouble((slot) -> slot.units)
			.sum();
	}

	private double requestedBeforeReports(long nowNanos) {
		return this.requested.stream()
			.filter((slot) -> nowNanos - slot.atNanos > REPORT_AGE_NANOS)
			.mapToDouble((slot) -> slot.units)
			.sum();
	}

	double requestedAnywhere(long nowNanos) {
		return requested(nowNanos) + requestedAtOthers(nowNanos);
	}

	// When all processes have just started, their first reports say that nothing was
	// requested. Until they tell the requests of a whole second, each other process is
	// assumed to receive as much as this one.
	private double requestedAtOthers(double requestedHere, int others, long nowNanos) {
		double reported = requestedAtOthers(nowNanos);
		boolean justStarted = nowNanos - this.startedNanos < REQUEST_PERIOD_NANOS;
		return justStarted ? Math.max(reported, requestedHere * others) : reported;
	}

	private double requestedAtOthers(long nowNanos) {
		return this.remoteUses.values()
			.stream()
			.filter((remote) -> nowNanos - remote.atNanos < REQUEST_PERIOD_NANOS)
			.mapToDouble((remote) -> remote.use.requested())
			.sum();
	}

	/**
	 * Returns the share of the remaining units that this process may use, in proportion
	 * to what all processes request, while the others do not know its use. The requests
	 * at the others are as old as their reports. They are assumed to have risen as they
	 * did here, since an overload reaches all processes at the same time: for the units
	 * that remain of the window by the same factor, and otherwise by as many units.
	 * @param units the units requested
	 * @param limit the units that the window allows
	 * @param slack the units that may be used in addition to those of the window
	 * @param others the number of other processes that share the remaining units
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the share in units, unconfirmed use included
	 */
	double share(double units, double limit, double slack, int others, long nowNanos) {
		double requestedHere = requested(nowNanos);
		double requestedElsewhere = requestedAtOthers(requestedHere, others, nowNanos);
		double rise = Math.max(1, requestedHere
				/ Math.max(this.requestedAtLastReport, MIN_CALLS_FOR_RISE * Math.max(units, this.averageUnits)));
		double risenElsewhere = Math.max(requestedElsewhere, others * unreportedRise(units, requestedHere, nowNanos));
		double windowShare = (limit - this.usedInWindow + this.unconfirmed + slack) * requestedHere
				/ (requestedHere + Math.max(rise * requestedElsewhere, risenElsewhere));
		double burstShare = (this.burstLevel + this.largeBurstUnits + this.unconfirmed) * requestedHere
				/ (requestedHere + risenElsewhere);
		return Math.min(windowShare, burstShare);
	}

	// The units by which the requests here have risen since the oldest reports of the
	// others; 0 if chance explains it.
	private double unreportedRise(double units, double requestedHere, long nowNanos) {
		double before = Math.max(requestedBeforeReports(nowNanos),
				MIN_CALLS_FOR_RISE * Math.max(units, this.averageUnits));
		double risen = requestedHere - before;
		return (risen > CHANCE_DEVIATIONS * requestedDeviation()) ? risen : 0;
	}

	// The standard deviation of the units of calls that arrive independently.
	private double requestedDeviation() {
		return Math.sqrt(this.requested.stream().mapToDouble((slot) -> slot.squares).sum());
	}

	void take(double units, long nowNanos) {
		add(units, nowNanos);
		this.slots.getLast().ownUnits += units;
		this.usedHereInWindow += units;
		this.usedHere += units;
		this.sinceReport += units;
	}

	void giveBack(double units) {
		remove(units);
		this.usedHere -= units;
	}

	private void add(double units, long nowNanos) {
		slot(this.slots, nowNanos).units += units;
		this.burstLevel -= units;
		this.usedInWindow += units;
	}

	// Begins with the oldest slots, since the returned units were counted in them or
	// later. Removed from the newest slots, units that were really used would leave the
	// window too early.
	private void remove(double units) {
		this.burstLevel += units;
		double remaining = units;
		for (Iterator<Slot> oldest = this.slots.iterator(); remaining > 0 && oldest.hasNext();) {
			Slot slot = oldest.next();
			double removed = Math.min(remaining, slot.units);
			slot.units -= removed;
			this.usedInWindow -= removed;
			remaining -= removed;
		}
	}

	/**
	 * Removes the use that has left the window.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void expire(long nowNanos) {
		while (!this.slots.isEmpty() && nowNanos - this.slots.getFirst().atNanos > this.windowNanos) {
			Slot old = this.slots.removeFirst();
			this.usedInWindow -= old.units;
			this.usedHereInWindow -= old.ownUnits;
		}
	}

	/**
	 * Adds the units that have become available in one burst since the last call.
	 * @param window the units that a whole window allows
	 * @param startFraction the fraction of a window that may be used at the start, 0
	 * later
	 * @param slack the units that may be used in one burst in addition to the fraction of
	 * the window
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void refill(double window, double startFraction, double slack, long nowNanos) {
		this.maxBurstLevel = window * BURST_FRACTION + slack;
		this.burstLevel += Math.max(0, window * startFraction - this.startUnits);
		this.startUnits = Math.max(window * startFraction, this.startUnits);
		this.unitsPerNano = window / this.windowNanos;
		this.burstLevel += this.unitsPerNano * (nowNanos - this.refilledNanos);
		this.burstLevel = Math.min(this.maxBurstLevel, this.burstLevel);
		this.refilledNanos = nowNanos;
	}

	/**
	 * Allows a large burst or no longer.
	 * @param allowed whether it is allowed
	 */
	void allowLargeBurst(boolean allowed) {
		double windowUnits = this.unitsPerNano * this.windowNanos;
		this.largeBurstUnits = allowed ? windowUnits * (LARGE_BURST_FRACTION - BURST_FRACTION) : 0;
	}

	boolean usesMuchOfBurst() {
		return this.maxBurstLevel - this.burstLevel > MUCH_OF_BURST_FRACTION * this.unitsPerNano * this.windowNanos;
	}

	/**
	 * Returns the time until units are available in one burst. A call with more units
	 * than can ever be available in one burst passes once the maximum is available.
	 * @param units the units
	 * @return the time in milliseconds, 0 if they are available now
	 */
	long burstWaitMillis(double units) {
		double missing = Math.min(units, this.maxBurstLevel) - this.burstLevel - this.largeBurstUnits;
		return (missing > 0) ? Math.max(1, TimeUnit.NANOSECONDS.toMillis((long) (missing / this.unitsPerNano))) : 0;
	}

	/**
	 * Returns the time until at most the given units were used within a window.
	 * @param allowed the units
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the time in milliseconds, 0 if that is so now
	 */
	long windowWaitMillis(double allowed, long nowNanos) {
		if (this.usedInWindow <= allowed) {
			return 0;
		}
		double used = 0;
		for (Iterator<Slot> newest = this.slots.descendingIterator(); newest.hasNext();) {
			Slot slot = newest.next();
			long leavesNanos = slot.atNanos + this.windowNanos - nowNanos;
			if (leavesNanos <= 0) {
				return 0;
			}
			used += slot.units;
			if (used > allowed) {
				return Math.max(1, TimeUnit.NANOSECONDS.toMillis(leavesNanos));
			}
		}
		return (allowed < 0) ? TimeUnit.NANOSECONDS.toMillis(this.windowNanos) : 0;
	}

	void addRetry(double units, long atNanos) {
		Slot slot = new Slot(atNanos);
		slot.units = units;
		this.unitsToRetry.addLast(slot);
	}

	double unitsToRetry(long nowNanos) {
		this.unitsToRetry.removeIf((slot) -> slot.atNanos - nowNanos <= 0);
		return units(this.unitsToRetry);
	}

	/**
	 * Records that a report with the use up to now is sent.
	 * @param report the number of the report
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void reportSent(int report, long nowNanos) {
		this.requestedAtLastReport = requested(nowNanos);
		if (this.sinceReport > 0) {
			this.unconfirmedUses.addLast(new ReportedUse(report, this.sinceReport));
			this.sinceReport = 0;
		}
	}

	/**
	 * Records that all other processes received the use up to a report.
	 * @param report the number of the last report that all of them received
	 */
	void reportConfirmed(int report) {
		this.unconfirmedUses.removeIf((use) -> use.report <= report);
		this.unconfirmed = this.sinceReport + this.unconfirmedUses.stream().mapToDouble(ReportedUse::units).sum();
	}

	/**
	 * Processes the use reported by another process.
	 * @param process the name of the process
	 * @param use the reported use
	 * @param reportedBefore whether a report of the process was received before, for this
	 * organisation or another one
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void reportReceived(String process, Use use, boolean reportedBefore, long nowNanos) {
		RemoteUse before = this.remoteUses.put(process, new RemoteUse(use, nowNanos));
		double earlierUnits = reportedBefore ? 0 : unitsBeforeFirstReport(use);
		double increase = use.units() - ((before != null) ? before.use.units() : earlierUnits);
		if (increase >= 0) {
			add(increase, nowNanos);
		}
		else {
			remove(-increase);
		}
	}

	// The use before the first report happened at an unknown time, unless the process
	// has just started.
	private static double unitsBeforeFirstReport(Use use) {
		return use.inFirstWindow() ? 0 : use.units();
	}

	Use use(boolean inFirstWindow, long nowNanos) {
		return new Use(this.usedHere, requested(nowNanos), inFirstWindow);
	}

	/**
	 * Returns the use of all processes within the window, as far as it is known here.
	 * @return the units
	 */
	double usedInWindow() {
		return this.usedInWindow;
	}

	double usedHereInWindow() {
		return this.usedHereInWindow;
	}

	/**
	 * Returns the use here that not all other processes have confirmed.
	 * @return the units, as of the last confirmation
	 */
	double unconfirmed() {
		return this.unconfirmed;
	}

	private static Slot slot(Deque<Slot> slots, long nowNanos) {
		if (slots.isEmpty() || nowNanos - slots.getLast().atNanos >= SLOT_NANOS) {
			slots.addLast(new Slot(nowNanos));
		}
		return slots.getLast();
	}

	private static double units(Deque<Slot> slots) {
		return slots.stream().mapToDouble((slot) -> slot.units).sum();
	}

	/** The last use reported by another process. */
	private record RemoteUse(Use use, long atNanos) {
	}

	/** Use that was included in a report. */
	private record ReportedUse(int report, double units) {
	}

	/** Units used or requested at one time. */
	private static final class Slot {

		private final long atNanos;

		private double units;

		/** The sum of the squares of the units of requested calls. */
		private double squares;

		/** The units that this process used. */
		private double ownUnits;

		private Slot(long atNanos) {
			this.atNanos = atNanos;
		}

	}

}
