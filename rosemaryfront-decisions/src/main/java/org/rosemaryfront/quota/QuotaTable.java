package org.rosemaryfront.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

import org.rosemaryfront.quota.Fleet.Sharing;
import org.rosemaryfront.routes.Organisation;

/**
 * The quotas of the organisations over all processes together.
 *
 * <p>
 * In any window an organisation may use its rate times the window, and its burst. This
 * process counts its own use at once and that of other processes when they tell of it, so
 * that callers may come to any process, however unevenly. A window admits more of what is
 * due than a bucket of the burst's size would: such a bucket loses what was not used for
 * a second.
 *
 * <p>
 * What others use reaches this process late, or not at all. Two bounds hold the sum
 * whatever is heard. Of what is left, each takes only its share before the others have
 * confirmed that they know: with an organisation that asks through nine processes for 1.2
 * quotas a second, all of them together let 1.25 quotas pass in a window without that
 * bound, and 1.02 with it. And a group of processes that exchange reports with just one
 * another lets only its part of the quota pass. Both cost nothing while an organisation
 * keeps to half of its quota.
 */
public final class QuotaTable {

	/** Uses closer together than this are counted as one, in nanoseconds. */
	private static final long SLOT_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	/**
	 * The part of a window's quota that may be used at once; the rest comes evenly. An
	 * organisation that begins to flood would use the whole window in its first second;
	 * when all processes are killed right then and forget it, they let a part of the next
	 * window pass too: 1.2 of a quota was seen in one window, of 1.1 allowed.
	 */
	private static final double AT_ONCE = 0.2;

	/**
	 * The part of a window's quota that only small calls may use, as long as there are
	 * any. A booking counts a hundredth of what a summary does: in a flood of summaries
	 * every tenth booking of the same organisation was refused, for units that all of
	 * them together hardly need.
	 */
	private static final double KEPT_FOR_SMALL = 0.03;

	/** A call is small that counts at most this part of what calls usually do. */
	private static final double SMALL = 0.1;

	/** The weight of the newest call in what calls usually count. */
	private static final double USUAL_NEWEST = 0.02;

	/** Over this time counts what an organisation asks for, in nanoseconds. */
	private static final long ASKED_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** Fewer calls than this in a second say nothing of a rise. */
	private static final int FEW_CALLS = 2;

	/**
	 * When to come back for units that others may be using, in milliseconds: by then they
	 * have told, two reports later.
	 */
	private static final long CONFIRM_MILLIS = 400;

	private final long windowNanos;

	private final long startedNanos;

	/** Draws who takes the rest of what is left, from 0 to 1. */
	private final DoubleSupplier draw;

	private Sharing sharing = Sharing.ALONE;

	private final Map<String, Account> accounts = new HashMap<>();

	/**
	 * Quotas of which nothing is used.
	 * @param windowMillis the window, in milliseconds
	 * @param nowNanos the time
	 * @param draw random numbers from 0 to 1
	 */
	public QuotaTable(long windowMillis, long nowNanos, DoubleSupplier draw) {
		this.startedNanos = nowNanos;
		this.draw = draw;
		this.windowNanos = TimeUnit.MILLISECONDS.toNanos(windowMillis);
	}

	// -- changes

	/**
	 * Takes units for a call if the quota allows it.
	 * @param organisation the organisation
	 * @param units the units that the call counts
	 * @param nowNanos the time
	 * @return whether they were taken, with what decided it
	 */
	public Taking take(Organisation organisation, double units, long nowNanos) {
		Account account = account(organisation.name());
		account.expire(nowNanos, this.windowNanos);
		account.confirm(this.sharing.confirmed());
		account.asked.add(units, nowNanos);
		boolean small = account.isSmall(units, nowNanos);
		double limit = limit(organisation, nowNanos);
		if (organisation.unitsPerSecond() > 0) {
			double window = windowUnits(organisation);
			account.fill(window, this.windowNanos, nowNanos);
			boolean keeps = !small && account.hadSmall(nowNanos, this.windowNanos);
			double open = limit - units - (keeps ? window * KEPT_FOR_SMALL : 0);
			long evenly = small ? 0 : account.waitMillis(units);
			long wait = Math.max(evenly, waitMillis(account, open, nowNanos));
			wait = Math.max(wait, small ? 0 : shareWaitMillis(account, units, limit, nowNanos));
			wait = Math.max(wait, ownPartWaitMillis(account, units, limit));
			if (wait > 0) {
				return new Taking(promise(account, open, units, wait, nowNanos), account.sum, limit,
						account.unconfirmed, this.sharing);
			}
		}
		account.take(units, nowNanos);
		return new Taking(0, account.sum, limit, account.unconfirmed, this.sharing);
	}

	// Guards against what others take at the same time. Of what is left, each process
	// takes the share that it has in what all ask for, until all have confirmed that they
	// know of it. A call that is larger than the share is let through as often as the
	// share is a part of it: however many processes there are, together they take what is
	// left, and not that many times over. What others ask for is as old as their reports;
	// it is taken to have risen as it did here, since a flood comes to all at once.
	private long shareWaitMillis(Account account, double units, double limit, long nowNanos) {
		if (this.sharing.group() == 1) {
			return 0;
		}
		double own = account.asked.units(nowNanos);
		double others = account.askedOfOthers(nowNanos);
		double rise = Math.max(1, own / Math.max(account.askedTold, FEW_CALLS * Math.max(units, account.usual)));
		double ofWindow = (limit - account.sum + account.unconfirmed) * own / (own + rise * others);
		double atOnce = (account.level + account.unconfirmed) * own / (own + others);
		double share = Math.min(ofWindow, atOnce);
		boolean taken = account.unconfirmed + units <= share
				|| (account.unconfirmed == 0 && this.draw.getAsDouble() * units < share);
		return taken ? 0 : CONFIRM_MILLIS;
	}

	// Guards against groups that overlap, as when one process hears two that do not hear
	// each other: each of these would take its group's part, the common member's twice.
	// Parts of single processes never overlap.
	private long ownPartWaitMillis(Account account, double units, double limit) {
		boolean withinPart = (account.ownInWindow + units) * this.sharing.group() <= limit;
		return (this.sharing.agreed() || withinPart) ? 0 : CONFIRM_MILLIS;
	}

	// When a refused call finds units that nobody was told of before. Told the same time,
	// all callers came back to the same units, and most were refused for good: they come
	// back once.
	private long promise(Account account, double open, double units, long leastMillis, long nowNanos) {
		double told = account.promisedUnits(nowNanos) * this.sharing.group();
		long wait = Math.max(leastMillis, waitMillis(account, open - told, nowNanos));
		account.promise(units, nowNanos + TimeUnit.MILLISECONDS.toNanos(wait));
		return wait;
	}

	/**
	 * Takes how quotas are shared from now on.
	 * @param now the sharing; {@link Sharing#ALONE} before the first
	 */
	public void sharing(Sharing now) {
		this.sharing = now;
	}

	/**
	 * Notes that a report goes out with what was used up to now.
	 * @param report its number
	 * @param nowNanos the time
	 */
	public void told(int report, long nowNanos) {
		this.accounts.values().forEach((account) -> account.told(report, nowNanos));
	}

	/**
	 * Gives back the units of a call that did not run.
	 * @param organisation the name of the organisation
	 * @param units the units
	 * @param takenNanos when they were taken
	 * @param nowNanos the time
	 */
	public void giveBack(String organisation, double units, long takenNanos, long nowNanos) {
		if (nowNanos - takenNanos < this.windowNanos) {
			Account account = account(organisation);
			account.remove(units);
			account.own -= units;
		}
	}

	/**
	 * Takes what another process tells of an organisation.
	 * @param process the process
	 * @param organisation the name of the organisation
	 * @param use what it tells
	 * @param nowNanos the time
	 */
	public void usedByOther(String process, String organisation, Use use, long nowNanos) {
		Account account = account(organisation);
		Other other = account.others.computeIfAbsent(process, (_) -> Other.first(use));
		if (use.units() >= other.units) {
			account.add(use.units() - other.units, nowNanos);
		}
		else {
			account.remove(other.units - use.units());
		}
		other.units = use.units();
		other.asked = use.asked();
		other.heardNanos = nowNanos;
	}

	// -- queries

	/**
	 * What this process tells of its use.
	 * @param nowNanos the time
	 * @return the use by organisation
	 */
	public Map<String, Use> used(long nowNanos) {
		boolean fresh = isFresh(nowNanos);
		Map<String, Use> used = new HashMap<>();
		this.accounts
			.forEach((name, account) -> used.put(name, new Use(account.own, account.asked.units(nowNanos), fresh)));
		return used;
	}

	/**
	 * Whether this process has counted for less than a window.
	 * @param nowNanos the time
	 * @return true until then
	 */
	public boolean isFresh(long nowNanos) {
		return nowNanos - this.startedNanos < this.windowNanos;
	}

	private Account account(String organisation) {
		return this.accounts.computeIfAbsent(organisation, (_) -> new Account(this.startedNanos));
	}

	// A process that has just started does not know what was used before: many
	// processes killed at once would let every organisation use its whole window
	// again. It takes the quota as used up to its start.
	private double limit(Organisation organisation, long nowNanos) {
		double known = Math.min(1, (nowNanos - this.startedNanos) / (double) this.windowNanos);
		return known * windowUnits(organisation);
	}

	private double windowUnits(Organisation organisation) {
		return this.sharing.part() * (organisation.unitsPerSecond() * this.windowNanos / 1e9 + organisation.burst());
	}

	// The time until no more than the given units were used within a window, 0 for now.
	private long waitMillis(Account account, double allowed, long nowNanos) {
		if (account.sum <= allowed) {
			return 0;
		}
		double used = 0;
		for (Iterator<Slot> newest = account.slots.descendingIterator(); newest.hasNext();) {
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

	/**
	 * What came of a wish for units.
	 *
	 * @param waitMillis the time until the units are there, in milliseconds; 0 when they
	 * were taken
	 * @param used the units used within the window, by all processes
	 * @param limit the units that the window allows
	 * @param unconfirmed the units used here before of which not all others know
	 * @param sharing with whom the quota was shared
	 */
	public record Taking(long waitMillis, double used, double limit, double unconfirmed, Sharing sharing) {
	}

	/**
	 * What a process tells of an organisation.
	 *
	 * @param units the units used since the process started
	 * @param asked the units asked for there within the last second, refused ones too
	 * @param fresh whether the process started less than a window ago
	 */
	public record Use(double units, double asked, boolean fresh) {
	}

	/** What another process told last. */
	private static final class Other {

		private double units;

		private double asked;

		private long heardNanos;

		// What was used before the first telling was used at an unknown time, unless the
		// process is fresh. Guards quotas over a kill of all processes: what each
		// admitted before the others heard of it was never counted, 3% over in one
		// window.
		private static Other first(Use use) {
			Other other = new Other();
			other.units = use.fresh() ? 0 : use.units();
			return other;
		}

	}

	/** What was asked for within the last second. */
	private static final class Asked {

		private final Deque<Slot> slots = new ArrayDeque<>();

		private double sum;

		private void add(double units, long nowNanos) {
			if (this.slots.isEmpty() || nowNanos - this.slots.getLast().atNanos >= SLOT_NANOS) {
				this.slots.addLast(new Slot(nowNanos));
			}
			this.slots.getLast().units += units;
			this.sum += units;
		}

		private double units(long nowNanos) {
			while (!this.slots.isEmpty() && nowNanos - this.slots.getFirst().atNanos > ASKED_NANOS) {
				this.sum -= this.slots.removeFirst().units;
			}
			return this.slots.isEmpty() ? 0 : this.sum;
		}

	}

	/** What an organisation used within the window. */
	private static final class Account {

		private final Deque<Slot> slots = new ArrayDeque<>();

		private final Map<String, Other> others = new HashMap<>();

		private final Asked asked = new Asked();

		/** What this process used that not all others have confirmed, by report. */
		private final Deque<Untold> untold = new ArrayDeque<>();

		/** Units that callers were told to come back for, with the times told. */
		private final Deque<Slot> promised = new ArrayDeque<>();

		private double sum;

		/** What this process used since it started. */
		private double own;

		/** What of the sum this process used. */
		private double ownInWindow;

		/** The sum of what is not confirmed, of the next report too. */
		private double unconfirmed;

		/** What was used since the last report. */
		private double sinceReport;

		/** What was asked for here when the last report went out. */
		private double askedTold;

		/** What calls count of late, smoothed; 0 before the first. */
		private double usual;

		/** When the last small call came. */
		private OptionalLong smallNanos = OptionalLong.empty();

		/** What may be used at once; below 0 after news of the use of other processes. */
		private double level;

		private double unitsPerNano;

		private long filledNanos;

		private Account(long startedNanos) {
			this.filledNanos = startedNanos;
		}

		private void fill(double limit, long windowNanos, long nowNanos) {
			this.unitsPerNano = limit / windowNanos;
			this.level += this.unitsPerNano * (nowNanos - this.filledNanos);
			this.level = Math.min(limit * AT_ONCE, this.level);
			this.filledNanos = nowNanos;
		}

		private boolean isSmall(double units, long nowNanos) {
			this.usual = (this.usual == 0) ? units : this.usual + USUAL_NEWEST * (units - this.usual);
			boolean small = units <= this.usual * SMALL;
			if (small) {
				this.smallNanos = OptionalLong.of(nowNanos);
			}
			return small;
		}

		private boolean hadSmall(long nowNanos, long windowNanos) {
			return this.smallNanos.isPresent() && nowNanos - this.smallNanos.getAsLong() < windowNanos;
		}

		private double askedOfOthers(long nowNanos) {
			double asked = 0;
			for (Other other : this.others.values()) {
				asked += (nowNanos - other.heardNanos < ASKED_NANOS) ? other.asked : 0;
			}
			return asked;
		}

		private void told(int report, long nowNanos) {
			this.askedTold = this.asked.units(nowNanos);
			if (this.sinceReport > 0) {
				this.untold.addLast(new Untold(report, this.sinceReport));
				this.sinceReport = 0;
			}
		}

		private void confirm(int report) {
			while (!this.untold.isEmpty() && this.untold.getFirst().report <= report) {
				this.untold.removeFirst();
			}
			this.unconfirmed = this.sinceReport;
			this.untold.forEach((use) -> this.unconfirmed += use.units);
		}

		private double promisedUnits(long nowNanos) {
			this.promised.removeIf((slot) -> slot.atNanos - nowNanos <= 0);
			return this.promised.stream().mapToDouble((slot) -> slot.units).sum();
		}

		private void promise(double units, long atNanos) {
			Slot slot = new Slot(atNanos);
			slot.units = units;
			this.promised.addLast(slot);
		}

		private long waitMillis(double units) {
			double missing = units - this.level;
			return (missing > 0) ? Math.max(1, TimeUnit.NANOSECONDS.toMillis((long) (missing / this.unitsPerNano))) : 0;
		}

		private void add(double units, long nowNanos) {
			if (this.slots.isEmpty() || nowNanos - this.slots.getLast().atNanos >= SLOT_NANOS) {
				this.slots.addLast(new Slot(nowNanos));
			}
			this.slots.getLast().units += units;
			this.level -= units;
			this.sum += units;
		}

		private void take(double units, long nowNanos) {
			add(units, nowNanos);
			this.slots.getLast().own += units;
			this.ownInWindow += units;
			this.own += units;
			this.sinceReport += units;
		}

		// The oldest first: what was not used after all was counted then or later. Taken
		// off the newest, use that is real left the sum with it, and was let through a
		// second time once the slot of what was given back had left the window.
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

		private void expire(long nowNanos, long windowNanos) {
			while (!this.slots.isEmpty() && nowNanos - this.slots.getFirst().atNanos > windowNanos) {
				Slot old = this.slots.removeFirst();
				this.sum -= old.units;
				this.ownInWindow -= old.own;
			}
		}

	}

	/** Use that a report told of. */
	private record Untold(int report, double units) {
	}

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
