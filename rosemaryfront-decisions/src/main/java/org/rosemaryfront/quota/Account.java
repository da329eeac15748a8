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
 * What one organisation uses and asks for, here and at other processes. It decides
 * nothing: {@link QuotaTable} does.
 */
final class Account {

	/** Uses closer together than this are counted as one, in nanoseconds. */
	private static final long SLOT_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	/**
	 * The part of a window's quota that may be used at once; the rest comes evenly. It
	 * bounds what a kill of all processes makes them forget.
	 */
	private static final double AT_ONCE = 0.2;

	/** A call is small that counts at most this part of what calls usually do. */
	private static final double SMALL = 0.1;

	/** The weight of the newest call in what calls usually count. */
	private static final double USUAL_NEWEST = 0.02;

	/** Over this time counts what an organisation asks for, in nanoseconds. */
	private static final long ASKED_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** Fewer calls than this in a second say nothing of a rise. */
	private static final int FEW_CALLS = 2;

	private final long windowNanos;

	/** What all used within the window, as far as it is known. */
	private final Deque<Slot> slots = new ArrayDeque<>();

	/** What each other process told last. */
	private final Map<String, Told> others = new HashMap<>();

	/** What was asked for here within the last second. */
	private final Deque<Slot> asked = new ArrayDeque<>();

	/** What was used here and told, as long as not all have confirmed it. */
	private final Deque<Reported> reported = new ArrayDeque<>();

	/** Units that callers were told to come back for, with the times told. */
	private final Deque<Slot> promised = new ArrayDeque<>();

	private double sum;

	/** What this process used since it started. */
	private double own;

	/** What of the sum this process used. */
	private double ownInWindow;

	private double unconfirmed;

	/** What was used here since the last report. */
	private double sinceReport;

	/** What was asked for here when the last report went out. */
	private double askedThen;

	/** What calls count of late, smoothed; 0 before the first. */
	private double usual;

	/** When the last small call came. */
	private OptionalLong smallNanos = OptionalLong.empty();

	/** What may be used at once; below 0 after news of the use of other processes. */
	private double level;

	/** What may be used at once at most. */
	private double atOnce;

	/** What the start added to that; more once more gateways share the quota. */
	private double givenAtStart;

	private double unitsPerNano;

	private long filledNanos;

	/**
	 * An account of which nothing is used.
	 * @param windowNanos the window of quotas, in nanoseconds
	 * @param startedNanos when the process started
	 */
	Account(long windowNanos, long startedNanos) {
		this.windowNanos = windowNanos;
		this.filledNanos = startedNanos;
	}

	// -- asking

	/**
	 * Notes that a call asks for units.
	 * @param units the units
	 * @param nowNanos the time
	 * @return whether it is small among the calls of late
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
	 * The part of what is left that is for this process, by what all ask for, as long as
	 * the others do not know what it takes of it. What they ask for is as old as their
	 * reports. Of the window's rest it is taken to have risen as it did here, since a
	 * flood comes to all at once.
	 * @param units the units asked for
	 * @param limit the units that the window allows
	 * @param slack the units that may be used beside the window's
	 * @param nowNanos the time
	 * @return the units, those not confirmed included
	 */
	double share(double units, double limit, double slack, long nowNanos) {
		double here = asked(nowNanos);
		double elsewhere = askedOfOthers(nowNanos);
		double rise = Math.max(1, here / Math.max(this.askedThen, FEW_CALLS * Math.max(units, this.usual)));
		double ofWindow = (limit - this.sum + this.unconfirmed + slack) * here / (here + rise * elsewhere);
		double atOnce = (this.level + this.unconfirmed) * here / (here + elsewhere);
		return Math.min(ofWindow, atOnce);
	}

	// -- using

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

	// The oldest first: what was not used after all was counted then or later. Off the
	// newest, use that is real would leave the window too early.
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
	 * Forgets what has left the window.
	 * @param nowNanos the time
	 */
	void expire(long nowNanos) {
		while (!this.slots.isEmpty() && nowNanos - this.slots.getFirst().atNanos > this.windowNanos) {
			Slot old = this.slots.removeFirst();
			this.sum -= old.units;
			this.ownInWindow -= old.own;
		}
	}

	// -- what comes evenly

	/**
	 * Lets what may be used at once grow up to now.
	 * @param window the units that a whole window allows
	 * @param atStart the part of a window that may be used at the start, 0 later
	 * @param slack the units that may be used at once beside a part of the window
	 * @param nowNanos the time
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
	 * The time until units may be used at once. A call that counts more than may ever be
	 * used at once goes when as much as possible is there.
	 * @param units the units
	 * @return the time in milliseconds, 0 for now
	 */
	long evenlyMillis(double units) {
		double missing = Math.min(units, this.atOnce) - this.level;
		return (missing > 0) ? Math.max(1, TimeUnit.NANOSECONDS.toMillis((long) (missing / this.unitsPerNano))) : 0;
	}

	/**
	 * The time until no more than the given units were used within a window.
	 * @param allowed the units
	 * @param nowNanos the time
	 * @return the time in milliseconds, 0 for now
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

	// -- what callers were told

	void promise(double units, long atNanos) {
		Slot slot = new Slot(atNanos);
		slot.units = units;
		this.promised.addLast(slot);
	}

	double promised(long nowNanos) {
		this.promised.removeIf((slot) -> slot.atNanos - nowNanos <= 0);
		return units(this.promised);
	}

	// -- what processes tell one another

	/**
	 * Notes that a report goes out with what was used up to now.
	 * @param report its number
	 * @param nowNanos the time
	 */
	void tell(int report, long nowNanos) {
		this.askedThen = asked(nowNanos);
		if (this.sinceReport > 0) {
			this.reported.addLast(new Reported(report, this.sinceReport));
			this.sinceReport = 0;
		}
	}

	/**
	 * Notes that all others know what was told.
	 * @param report the number of the last report that all had
	 */
	void confirm(int report) {
		this.reported.removeIf((use) -> use.report <= report);
		this.unconfirmed = this.sinceReport + this.reported.stream().mapToDouble(Reported::units).sum();
	}

	/**
	 * Takes what another process tells.
	 * @param process the process
	 * @param use what it tells
	 * @param known whether the process was heard before, of this organisation or others
	 * @param nowNanos the time
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

	// What was used before the first telling was used at an unknown time, unless the
	// process is fresh.
	private static double unheard(Use use) {
		return use.fresh() ? 0 : use.units();
	}

	Use use(boolean fresh, long nowNanos) {
		return new Use(this.own, asked(nowNanos), fresh);
	}

	// -- queries

	/**
	 * What all used within the window, as far as it is known.
	 * @return the units
	 */
	double sum() {
		return this.sum;
	}

	double ownInWindow() {
		return this.ownInWindow;
	}

	/**
	 * What was used here of which not all others have confirmed that they know.
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

	/** What another process told last. */
	private record Told(Use use, long atNanos) {
	}

	/** Use that a report told of. */
	private record Reported(int report, double units) {
	}

	/** Units of one moment. */
	private static final class Slot {

		private final long atNanos;

		private double units;

		/** What of it this process used. */
		private double own;

		private Slot(long atNanos) {
			this.atNanos = atNanos;
		}

	}

}
