package org.rosemaryfront.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

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

	private final long windowNanos;

	private final long startedNanos;

	/** The processes that callers come to. */
	private int processes = 1;

	/** The part of them whose use this process hears of, its own included. */
	private double heardPart = 1;

	private final Map<String, Account> accounts = new HashMap<>();

	/**
	 * Quotas of which nothing is used.
	 * @param windowMillis the window, in milliseconds
	 * @param nowNanos the time
	 */
	public QuotaTable(long windowMillis, long nowNanos) {
		this.startedNanos = nowNanos;
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
		boolean small = account.isSmall(units, nowNanos);
		double limit = limit(organisation, nowNanos);
		if (organisation.unitsPerSecond() > 0) {
			double window = windowUnits(organisation);
			account.fill(window, this.windowNanos, nowNanos);
			boolean keeps = !small && account.hadSmall(nowNanos, this.windowNanos);
			double open = limit - units - (keeps ? window * KEPT_FOR_SMALL : 0);
			long evenly = small ? 0 : account.waitMillis(units);
			long wait = Math.max(evenly, waitMillis(account, open, nowNanos));
			if (wait > 0) {
				return new Taking(promise(account, open, units, wait, nowNanos), account.sum, limit);
			}
		}
		account.add(units, nowNanos);
		account.own += units;
		return new Taking(0, account.sum, limit);
	}

	// When a refused call finds units that nobody was told of before. Told the same time,
	// all callers came back to the same units, and most were refused for good: they come
	// back once.
	private long promise(Account account, double open, double units, long leastMillis, long nowNanos) {
		double told = account.told(nowNanos) * this.processes;
		long wait = Math.max(leastMillis, waitMillis(account, open - told, nowNanos));
		account.tell(units, nowNanos + TimeUnit.MILLISECONDS.toNanos(wait));
		return wait;
	}

	/**
	 * Takes how many processes callers come to: each refuses about its part of them.
	 * @param count the processes, this one included
	 */
	public void processes(int count) {
		this.processes = Math.max(1, count);
	}

	/**
	 * Takes of what part of the processes this one hears. Processes that are cut off from
	 * one another do not count each other's use: one third of them let an organisation
	 * that flooded have 1.17 of its quota together with the others. Each group lets its
	 * own part pass, so that the sum holds however they are cut.
	 * @param part the part, 1 when none is missing
	 */
	public void heardPart(double part) {
		this.heardPart = Math.clamp(part, 0, 1);
	}

	/**
	 * Gives back the units of a call that did not run.
	 * @param organisation the name of the organisation
	 * @param units the units
	 */
	public void giveBack(String organisation, double units) {
		Account account = account(organisation);
		account.remove(units);
		account.own -= units;
	}

	/**
	 * Takes what another process has used since it started.
	 * @param process the process
	 * @param organisation the name of the organisation
	 * @param total the units used since the process started
	 * @param fresh whether the process started less than a window ago
	 * @param nowNanos the time
	 */
	public void usedByOther(String process, String organisation, double total, boolean fresh, long nowNanos) {
		Account account = account(organisation);
		// What was used before the first telling was used at an unknown time, unless the
		// process is fresh. Guards quotas over a kill of all processes: what each
		// admitted
		// before the others heard of it was never counted, 3% over in one window.
		double before = Optional.ofNullable(account.others.put(process, total)).orElse(fresh ? 0 : total);
		if (total >= before) {
			account.add(total - before, nowNanos);
		}
		else {
			account.remove(before - total);
		}
	}

	// -- queries

	/**
	 * What this process has used since it started.
	 * @return the units by organisation
	 */
	public Map<String, Double> used() {
		Map<String, Double> used = new HashMap<>();
		this.accounts.forEach((name, account) -> used.put(name, account.own));
		return used;
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
		return this.heardPart * (organisation.unitsPerSecond() * this.windowNanos / 1e9 + organisation.burst());
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
	 */
	public record Taking(long waitMillis, double used, double limit) {
	}

	/** What an organisation used within the window. */
	private static final class Account {

		private final Deque<Slot> slots = new ArrayDeque<>();

		private final Map<String, Double> others = new HashMap<>();

		/** Units that callers were told to come back for, with the times told. */
		private final Deque<Slot> promised = new ArrayDeque<>();

		private double sum;

		private double own;

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

		private double told(long nowNanos) {
			this.promised.removeIf((slot) -> slot.atNanos - nowNanos <= 0);
			return this.promised.stream().mapToDouble((slot) -> slot.units).sum();
		}

		private void tell(double units, long atNanos) {
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

		private void remove(double units) {
			this.level += units;
			double left = units;
			for (Iterator<Slot> newest = this.slots.descendingIterator(); left > 0 && newest.hasNext();) {
				Slot slot = newest.next();
				double taken = Math.min(left, slot.units);
				slot.units -= taken;
				this.sum -= taken;
				left -= taken;
			}
		}

		private void expire(long nowNanos, long windowNanos) {
			while (!this.slots.isEmpty() && nowNanos - this.slots.getFirst().atNanos > windowNanos) {
				this.sum -= this.slots.removeFirst().units;
			}
		}

	}

	private static final class Slot {

		private final long atNanos;

		private double units;

		private Slot(long atNanos) {
			this.atNanos = atNanos;
		}

	}

}
