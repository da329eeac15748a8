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
	private static final double AT_ONCE = 0.2;

	/**
	 * A call is small if its units are at most this fraction of the recent average of a
	 * call.
	 */
	private static final double SMALL = 0.1;

	/** The weight of the newest call in the average units of a call. */
	private static final double USUAL_NEWEST = 0.02;

	/** The period over which requested units are summed up, in nanoseconds. */
	private static final long ASKED_NANOS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * The number of calls in a second below which no rise in requests can be determined.
	 */
	private static final int FEW_CALLS = 2;

	private final long windowNanos;

	/** The use of all processes within the window, as far as it is known here. */
	private final Deque<Slot> slots = new ArrayDeque<>();

	/** The last use reported by each other process. */
	private final Map<String, Told> others = new HashMap<>();

	/** The units requested here within the last second. */
	private final Deque<Slot> asked = new ArrayDeque<>();

	/** The use here that was reported and is not yet confirmed by all other processes. */
	private final Deque<Reported> reported = new ArrayDeque<>();

	/**
	 * The units of refused calls, with the times at which their callers were told to
	 * retry.
	 */
	private final Deque<Slot> promised = new ArrayDeque<>();

	private double sum;

	/** The units used by this process since it started. */
	private double own;

	/** The units of the sum that this process used. */
	private double ownInWindow;

	private double unconfirmed;

	/** The units used here since the last report. */
	private double sinceReport;

	/** The units requested here within the last second when the last report was sent. */
	private double askedThen;

	/** The moving average of the units of a call; 0 before the first call. */
	private double usual;

	private OptionalLong smallNanos = OptionalLong.empty();

	/** The units available in one burst; below 0 after other processes reported use. */
	private double level;

	/** The maximum of the units available in one burst. */
	private double atOnce;

	/**
	 * The units that were added to the level for the start of the process; raised when
	 * more gateways share the quota.
	 */
	private double givenAtStart;

	private double unitsPerNano;

	private long filledNanos;

	/**
	 * Creates an account without any use.
	 * @param windowNanos the window of quotas, in nanoseconds
	 * @param startedNanos when the process started
	 */
	Account(long windowNanos, long startedNanos) {
		this.windowNanos = windowNanos;
		this.filledNanos = startedNanos;
	}

	/**
	 * Records that a call requests units.
	 * @param units the units
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return whether the call is small compared with recent calls
	 */
	boolean ask(double units, long nowNanos) {
		slot(this.asked, nowNanos).units += units;
		this.usual = (this.usual == 0) ? units : this.usual + USUAL_NEWEST * (units - this.usual);
		boolean small = units <= this.usual * SMALL;
		if (small) {
			this.smallNanos = OptionalLong.of(nowNanos);
		}
		return small;
	}

	boolean hadSmall(long nowNanos) {
		return this.smallNanos.isPresent() && nowNanos - this.smallNanos.getAsLong() < this.windowNanos;
	}

	private double asked(long nowNanos) {
		this.asked.removeIf((slot) -> nowNanos - slot.atNanos > ASKED_NANOS);
		return units(this.asked);
	}

	private double askedOfOthers(long nowNanos) {
		return this.others.values()
			.stream()
			.filter((told) -> nowNanos - told.atNanos < ASKED_NANOS)
			.mapToDouble((told) -> told.use.asked())
			.sum();
	}

	/**
	 * Returns the share of the remaining units that this process may use, in proportion
	 * to what all processes request, while the others do not know its use. The requests
	 * at the others are as old as their reports. For the units that remain of the window
	 * they are assumed to have risen as they did here, since an overload reaches all
	 * processes at the same time.
	 * @param units the units requested
	 * @param limit the units that the window allows
	 * @param slack the units that may be used in addition to those of the window
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the share in units, unconfirmed use included
	 */
	double share(double units, double limit, double slack, long nowNanos) {
		double here = asked(nowNanos);
		double elsewhere = askedOfOthers(nowNanos);
		double rise = Math.max(1, here / Math.max(this.askedThen, FEW_CALLS * Math.max(units, this.usual)));
		double ofWindow = (limit - this.sum + this.unconfirmed + slack) * here / (here + rise * elsewhere);
		double atOnce = (this.level + this.unconfirmed) * here / (here + elsewhere);
		return Math.min(ofWindow, atOnce);
	}

	void take(double units, long nowNanos) {
		add(units, nowNanos);
		this.slots.getLast().own += units;
		this.ownInWindow += units;
		this.own += units;
		this.sinceReport += units;
	}

	void giveBack(double units) {
		remove(units);
		this.own -= units;
	}

	private void add(double units, long nowNanos) {
		slot(this.slots, nowNanos).units += units;
		this.level -= units;
		this.sum += units;
	}

	// Begins with the oldest slots, since the returned units were counted in them or
	// later. Removed from the newest slots, units that were really used would leave the
	// window too early.
	private void remove(double units) {
		this.level += units;
		double left = units;
		for (Iterator<Slot> oldest = this.slots.iterator(); left > 0 && oldest.hasNext();) {
			Slot slot = oldest.next();
			double taken = Math.min(left, slot.units);
			slot.units -= taken;
			this.sum -= taken;
			left -= taken;
		}
	}

	/**
	 * Removes the use that has left the window.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void expire(long nowNanos) {
		while (!this.slots.isEmpty() && nowNanos - this.slots.getFirst().atNanos > this.windowNanos) {
			Slot old = this.slots.removeFirst();
			this.sum -= old.units;
			this.ownInWindow -= old.own;
		}
	}

	/**
	 * Raises the units available in one burst up to the current time.
	 * @param window the units that a whole window allows
	 * @param atStart the fraction of a window that may be used at the start, 0 later
	 * @param slack the units that may be used in one burst in addition to the fraction of
	 * the window
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void fill(double window, double atStart, double slack, long nowNanos) {
		this.atOnce = window * AT_ONCE + slack;
		this.level += Math.max(0, window * atStart - this.givenAtStart);
		this.givenAtStart = Math.max(window * atStart, this.givenAtStart);
		this.unitsPerNano = window / this.windowNanos;
		this.level += this.unitsPerNano * (nowNanos - this.filledNanos);
		this.level = Math.min(this.atOnce, this.level);
		this.filledNanos = nowNanos;
	}

	/**
	 * Returns the time until units are available in one burst. A call with more units
	 * than can ever be available in one burst passes once the maximum is available.
	 * @param units the units
	 * @return the time in milliseconds, 0 if they are available now
	 */
	long evenlyMillis(double units) {
		double missing = Math.min(units, this.atOnce) - this.level;
		return (missing > 0) ? Math.max(1, TimeUnit.NANOSECONDS.toMillis((long) (missing / this.unitsPerNano))) : 0;
	}

	/**
	 * Returns the time until at most the given units were used within a window.
	 * @param allowed the units
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the time in milliseconds, 0 if that is so now
	 */
	long windowMillis(double allowed, long nowNanos) {
		if (this.sum <= allowed) {
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

	void promise(double units, long atNanos) {
		Slot slot = new Slot(atNanos);
		slot.units = units;
		this.promised.addLast(slot);
	}

	double promised(long nowNanos) {
		this.promised.removeIf((slot) -> slot.atNanos - nowNanos <= 0);
		return units(this.promised);
	}

	/**
	 * Records that a report with the use up to now is sent.
	 * @param report the number of the report
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void tell(int report, long nowNanos) {
		this.askedThen = asked(nowNanos);
		if (this.sinceReport > 0) {
			this.reported.addLast(new Reported(report, this.sinceReport));
			this.sinceReport = 0;
		}
	}

	/**
	 * Records that all other processes received the use up to a report.
	 * @param report the number of the last report that all of them received
	 */
	void confirm(int report) {
		this.reported.removeIf((use) -> use.report <= report);
		this.unconfirmed = this.sinceReport + this.reported.stream().mapToDouble(Reported::units).sum();
	}

	/**
	 * Processes the use reported by another process.
	 * @param process the name of the process
	 * @param use the reported use
	 * @param known whether a report of the process was received before, for this
	 * organisation or another one
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void hear(String process, Use use, boolean known, long nowNanos) {
		Told before = this.others.put(process, new Told(use, nowNanos));
		double unheard = known ? 0 : unheard(use);
		double more = use.units() - ((before != null) ? before.use.units() : unheard);
		if (more >= 0) {
			add(more, nowNanos);
		}
		else {
			remove(-more);
		}
	}

	// The use before the first report happened at an unknown time, unless the process
	// has just started.
	private static double unheard(Use use) {
		return use.fresh() ? 0 : use.units();
	}

	Use use(boolean fresh, long nowNanos) {
		return new Use(this.own, asked(nowNanos), fresh);
	}

	/**
	 * Returns the use of all processes within the window, as far as it is known here.
	 * @return the units
	 */
	double sum() {
		return this.sum;
	}

	double ownInWindow() {
		return this.ownInWindow;
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
	private record Told(Use use, long atNanos) {
	}

	/** Use that was included in a report. */
	private record Reported(int report, double units) {
	}

	/** Units used or requested at one time. */
	private static final class Slot {

		private final long atNanos;

		private double units;

		/** The units that this process used. */
		private double own;

		private Slot(long atNanos) {
			this.atNanos = atNanos;
		}

	}

}
