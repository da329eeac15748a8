package org.rosemaryfront.quota;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

import org.rosemaryfront.fleet.Fleet.Sharing;
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
 * confirmed that they know. And a group of processes that exchange reports with just one
 * another lets only its part of the quota pass. Both cost nothing while an organisation
 * keeps to half of its quota.
 */
public final class QuotaTable {

	/**
	 * The part of a window's quota that only small calls may use, as long as there are
	 * any: all of them together hardly need it, and a flood of large ones leaves nothing.
	 */
	private static final double KEPT_FOR_SMALL = 0.03;

	/**
	 * The parts of a quota that a process lets through by its start and by the end of its
	 * first window, evenly between them: it does not know what was used before. Callers
	 * whose calls a kill of all processes cut off come back at once, so that it begins
	 * with some; what was used right before the kill comes on top, so that it ends with
	 * less than all.
	 */
	private static final double AT_START = 0.06;

	private static final double FRESH = 0.9;

	/**
	 * The part of the slack beside a quota that is given out; the rest is for what the
	 * processes know late.
	 */
	private static final double SLACK_PART = 0.5;

	/**
	 * When to come back for units that others may be using, in milliseconds: by then they
	 * have told, two reports later.
	 */
	private static final long CONFIRM_MILLIS = 400;

	private final long windowNanos;

	private final long startedNanos;

	private final double slackUnits;

	/** Draws who takes the rest of what is left, from 0 to 1. */
	private final DoubleSupplier draw;

	private Sharing sharing = Sharing.ALONE;

	private final Map<String, Account> accounts = new HashMap<>();

	/** The processes that told anything. */
	private final Set<String> heard = new HashSet<>();

	/**
	 * Quotas of which nothing is used.
	 * @param windowMillis the window, in milliseconds
	 * @param nowNanos the time
	 * @param slackUnits what an organisation may use beside its quota in a window, in
	 * units, since processes know late what the others give out
	 * @param draw random numbers from 0 to 1
	 */
	public QuotaTable(long windowMillis, long nowNanos, double slackUnits, DoubleSupplier draw) {
		this.slackUnits = slackUnits;
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
		account.expire(nowNanos);
		account.confirm(this.sharing.confirmed());
		boolean small = account.ask(units, nowNanos);
		double window = windowUnits(organisation);
		Wish wish = new Wish(units, small, window, limit(window, nowNanos), slack(organisation));
		long wait = (organisation.unitsPerSecond() > 0) ? waitMillis(account, wish, nowNanos) : 0;
		if (wait == 0) {
			account.take(units, nowNanos);
		}
		return new Taking(wait, account.sum(), wish.limit(), account.unconfirmed(), this.sharing);
	}

	private long waitMillis(Account account, Wish wish, long nowNanos) {
		account.fill(wish.window(), isFresh(nowNanos) ? AT_START : 0, wish.slack(), nowNanos);
		boolean keeps = !wish.small() && account.hadSmall(nowNanos);
		double open = wish.limit() - wish.units() - (keeps ? wish.window() * KEPT_FOR_SMALL : 0);
		long wait = Math.max(windowMillis(account, open, wish, nowNanos), ownPartMillis(account, wish));
		if (!wish.small()) {
			wait = Math.max(wait, account.evenlyMillis(wish.units()));
			wait = Math.max(wait, shareMillis(account, wish, nowNanos));
		}
		return (wait > 0) ? promise(account, open, wish, wait, nowNanos) : 0;
	}

	// Guards against what others take at the same time. Of what is left, each process
	// takes its share until all have confirmed that they know of it. A call that is
	// larger than the share is let through as often as the share is a part of it: however
	// many processes there are, together they take what is left, and not that many times
	// over.
	private long shareMillis(Account account, Wish wish, long nowNanos) {
		double units = wish.units();
		if (this.sharing.group() == 1 || units <= 0) {
			return 0;
		}
		double share = account.share(units, wish.limit(), wish.slack(), nowNanos);
		boolean taken = account.unconfirmed() + units <= share
				|| this.draw.getAsDouble() * units < share - account.unconfirmed();
		return taken ? 0 : CONFIRM_MILLIS;
	}

	// Guards against groups that overlap, as when one process hears two that do not hear
	// each other: each of these would take its group's part, the common member's twice.
	// Parts of single processes never overlap.
	private long ownPartMillis(Account account, Wish wish) {
		boolean withinPart = (account.ownInWindow() + wish.units()) * this.sharing.group() <= wish.limit();
		return (this.sharing.agreed() || withinPart) ? 0 : CONFIRM_MILLIS;
	}

	// When a refused call finds units that nobody was told of before. Callers come back
	// once: told the same time, most would find the units taken.
	private long promise(Account account, double open, Wish wish, long leastMillis, long nowNanos) {
		double told = account.promised(nowNanos) * this.sharing.group();
		long wait = Math.max(leastMillis, windowMillis(account, open - told, wish, nowNanos));
		account.promise(wish.units(), nowNanos + TimeUnit.MILLISECONDS.toNanos(wait));
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
		this.accounts.values().forEach((account) -> account.tell(report, nowNanos));
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
			account(organisation).giveBack(units);
		}
	}

	/**
	 * Takes what another process tells.
	 * @param process the process
	 * @param uses what it tells, by organisation; those that are absent never asked there
	 * @param nowNanos the time
	 */
	public void usedByOther(String process, Map<String, Use> uses, long nowNanos) {
		boolean known = !this.heard.add(process);
		uses.forEach((organisation, use) -> account(organisation).hear(process, use, known, nowNanos));
	}

	// -- queries

	/**
	 * What this process tells of its use.
	 * @param nowNanos the time
	 * @return the use by organisation, without those that never asked for any here
	 */
	public Map<String, Use> used(long nowNanos) {
		boolean fresh = isFresh(nowNanos);
		Map<String, Use> used = new HashMap<>();
		this.accounts.forEach((name, account) -> {
			Use use = account.use(fresh, nowNanos);
			if (use.units() > 0 || use.asked() > 0) {
				used.put(name, use);
			}
		});
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
		return this.accounts.computeIfAbsent(organisation, (_) -> new Account(this.windowNanos, this.startedNanos));
	}

	// A process that has just started does not know what was used before: many
	// processes killed at once would let every organisation use its whole window
	// again. It takes most of the quota as used up to its start.
	private double limit(double window, long nowNanos) {
		double known = (nowNanos - this.startedNanos) / (double) this.windowNanos;
		double part = (known < 1) ? AT_START + (FRESH - AT_START) * known : 1;
		return part * window;
	}

	// The time until no more than what is open was used. In its first window a process
	// counts what it may give out as it grows.
	private long windowMillis(Account account, double open, Wish wish, long nowNanos) {
		long wait = account.windowMillis(open, nowNanos);
		if (wait == 0 || !isFresh(nowNanos)) {
			return wait;
		}
		double missing = account.sum() - open;
		double growthPerNano = (FRESH - AT_START) * wish.window() / this.windowNanos;
		return Math.clamp(TimeUnit.NANOSECONDS.toMillis((long) (missing / growthPerNano)), 1, wait);
	}

	// The window's limit stays: what is used at once is used of it.
	private double slack(Organisation organisation) {
		boolean counted = organisation.counts() == Organisation.Counts.TOKENS;
		return counted ? this.sharing.part() * this.slackUnits * SLACK_PART : 0;
	}

	private double windowUnits(Organisation organisation) {
		return this.sharing.part() * (organisation.unitsPerSecond() * this.windowNanos / 1e9 + organisation.burst());
	}

	/**
	 * A wish for units, with what decides it.
	 *
	 * @param units the units that the call counts
	 * @param small whether it is small among the calls of late
	 * @param window the units that a whole window allows
	 * @param limit the units that may be used by now
	 * @param slack the units beside the window's that may be used at once
	 */
	private record Wish(double units, boolean small, double window, double limit, double slack) {
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

}
