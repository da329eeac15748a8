package org.rosemaryfront.quota;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

import org.rosemaryfront.fleet.Fleet.Sharing;
import org.rosemaryfront.routes.Organisation;

/**
 * Applies the quotas of the organisations across all processes together.
 *
 * <p>
 * In any window an organisation may use its rate times the window, plus its burst. This
 * process counts its own use immediately and that of other processes when they report it,
 * so that callers may connect to any process, however unevenly. A window admits more of
 * the permitted use than a token bucket of the burst's size would: such a bucket loses
 * what is not used within a second.
 *
 * <p>
 * The use at other processes becomes known here late or not at all. Two rules bound the
 * sum regardless of which reports arrive. First, of the remaining units each process uses
 * only its share until the others have confirmed that they received its use. Second, a
 * group of processes that exchange reports with only each other uses only its part of the
 * quota. Both refuse nothing while an organisation stays within half of its quota.
 */
public final class QuotaTable {

	/**
	 * The fraction of a window's quota that only small calls may use, as long as there
	 * are any. All of them together hardly need it, and an overload of large calls uses
	 * up the rest.
	 */
	private static final double SMALL_CALL_RESERVE = 0.03;

	/**
	 * The fraction of a quota that processes may admit in a large burst before they know
	 * of one another's use.
	 */
	private static final double LATE_FRACTION = 0.1;

	private static final StartLimit USUAL_START_LIMIT = StartLimit.behindBursts(Account.BURST_FRACTION);

	private static final StartLimit CAREFUL_START_LIMIT = StartLimit
		.behindBursts(Account.LARGE_BURST_FRACTION + LATE_FRACTION);

	/**
	 * The fraction of the slack beyond a quota that is given out. The rest covers the use
	 * that the processes learn of late.
	 */
	private static final double SLACK_FRACTION = 0.5;

	/**
	 * The time after which to retry for units that other processes may be using, in
	 * milliseconds: they have reported their use by then, two reports later.
	 */
	private static final long CONFIRMATION_WAIT_MILLIS = 400;

	private final long windowNanos;

	private final long startedNanos;

	private final double slackUnits;

	/**
	 * Random numbers from 0 to 1 that decide which process takes the rest of the
	 * remaining units.
	 */
	private final DoubleSupplier random;

	private Sharing sharing = Sharing.ALONE;

	private final Map<String, Account> accounts = new HashMap<>();

	private EarlierBursts earlierBursts = EarlierBursts.NONE;

	/** The time until which organisations may use a large burst. */
	private final Map<String, Long> largeBurstsUntilNanos = new HashMap<>();

	/** The processes from which a report was received. */
	private final Set<String> reportingProcesses = new HashSet<>();

	/**
	 * Creates quotas of which nothing is used.
	 * @param windowMillis the window, in milliseconds
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @param slackUnits the units that an organisation may use in a window beyond its
	 * quota, since processes learn late what the others give out
	 * @param random a source of random numbers from 0 to 1
	 */
	public QuotaTable(long windowMillis, long nowNanos, double slackUnits, DoubleSupplier random) {
		this.slackUnits = slackUnits;
		this.startedNanos = nowNanos;
		this.random = random;
		this.windowNanos = TimeUnit.MILLISECONDS.toNanos(windowMillis);
	}

	/**
	 * Takes units for a call if the quota allows it.
	 * @param organisation the organisation
	 * @param units the units of the call
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return whether the units were taken, with the values that decided it
	 */
	public QuotaDecision take(Organisation organisation, double units, long nowNanos) {
		Account account = account(organisation.name());
		account.expire(nowNanos);
		account.reportConfirmed(this.sharing.confirmed());
		boolean small = account.request(units, nowNanos);
		double window = windowUnits(organisation);
		UnitRequest request = new UnitRequest(organisation, units, small, window, limit(organisation, window, nowNanos),
				slack(organisation));
		long wait = (organisation.unitsPerSecond() > 0) ? waitMillis(account, request, nowNanos) : 0;
		if (wait == 0) {
			account.take(units, nowNanos);
		}
		return new QuotaDecision(wait, account.usedInWindow(), request.limit(), account.unconfirmed(), this.sharing);
	}

	private long waitMillis(Account account, UnitRequest request, long nowNanos) {
		refill(account, request.organisation(), nowNanos);
		boolean reserves = !request.small() && account.hadSmallCall(nowNanos);
		double allowed = request.limit() - request.units() - (reserves ? request.window() * SMALL_CALL_RESERVE : 0);
		long wait = Math.max(windowWaitMillis(account, allowed, request, nowNanos),
				ownPartWaitMillis(account, request));
		if (!request.small()) {
			wait = Math.max(wait, account.burstWaitMillis(request.units()));
			wait = Math.max(wait, shareWaitMillis(account, request, nowNanos));
		}
		return (wait > 0) ? retryMillis(account, allowed, request, wait, nowNanos) : 0;
	}

	private void refill(Account account, Organisation organisation, long nowNanos) {
		boolean large = Optional.ofNullable(this.largeBurstsUntilNanos.get(organisation.name()))
			.filter((until) -> nowNanos - until < 0)
			.isPresent();
		account.refill(windowUnits(organisation), isInFirstWindow(nowNanos) ? StartLimit.START_FRACTION : 0,
				slack(organisation), nowNanos);
		account.allowLargeBurst(large);
	}

	// Limits what processes take at the same time. Of the remaining units each process
	// takes its share until all others have confirmed its use. A call larger than the
	// share passes with a probability of the share divided by its units. However many
	// processes there are, together they then take what remains, and not a multiple of
	// it.
	private long shareWaitMillis(Account account, UnitRequest request, long nowNanos) {
		double units = request.units();
		if (this.sharing.group() == 1 || units <= 0) {
			return 0;
		}
		double share = account.share(units, request.limit(), request.slack(), this.sharing.group() - 1, nowNanos);
		boolean taken = account.unconfirmed() + units <= share
				|| this.random.getAsDouble() * units < share - account.unconfirmed();
		return taken ? 0 : CONFIRMATION_WAIT_MILLIS;
	}

	// Limits groups that overlap, as when one process exchanges reports with two that
	// receive none from each other. Each of these two would use the part of its group,
	// and so the common member's part twice. The parts of single processes never
	// overlap.
	private long ownPartWaitMillis(Account account, UnitRequest request) {
		boolean withinPart = (account.usedHereInWindow() + request.units()) * this.sharing.group() <= request.limit();
		return (this.sharing.agreed() || withinPart) ? 0 : CONFIRMATION_WAIT_MILLIS;
	}

	// Returns the time until a refused call finds units for which no other caller was
	// told to retry. Callers retry once: if all were told the same time, most of them
	// would find the units taken.
	private long retryMillis(Account account, double allowed, UnitRequest request, long minWaitMillis, long nowNanos) {
		double unitsToRetry = account.unitsToRetry(nowNanos) * this.sharing.group();
		long wait = Math.max(minWaitMillis, windowWaitMillis(account, allowed - unitsToRetry, request, nowNanos));
		account.addRetry(request.units(), nowNanos + TimeUnit.MILLISECONDS.toNanos(wait));
		return wait;
	}

	/**
	 * Sets how quotas are shared from now on.
	 * @param newSharing the sharing; {@link Sharing#ALONE} before the first call
	 */
	public void sharing(Sharing newSharing) {
		this.sharing = newSharing;
	}

	/**
	 * Records that a report with the use up to now is sent.
	 * @param report the number of the report
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void reportSent(int report, long nowNanos) {
		this.accounts.values().forEach((account) -> account.reportSent(report, nowNanos));
	}

	/**
	 * Gives back the units of a call that did not run.
	 * @param organisation the name of the organisation
	 * @param units the units
	 * @param takenNanos when the units were taken, on the monotonic clock
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void giveBack(String organisation, double units, long takenNanos, long nowNanos) {
		if (nowNanos - takenNanos < this.windowNanos) {
			account(organisation).giveBack(units);
		}
	}

	/**
	 * Processes the use reported by another process.
	 * @param process the name of the process
	 * @param uses the reported use by organisation; absent organisations never requested
	 * units there
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void reportReceived(String process, Map<String, Use> uses, long nowNanos) {
		boolean known = !this.reportingProcesses.add(process);
		uses.forEach((organisation, use) -> account(organisation).reportReceived(process, use, known, nowNanos));
	}

	/**
	 * Returns the use to report to the other processes.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the use by organisation, without organisations that never requested units
	 * here
	 */
	public Map<String, Use> useToReport(long nowNanos) {
		boolean inFirstWindow = isInFirstWindow(nowNanos);
		Map<String, Use> used = new HashMap<>();
		this.accounts.forEach((name, account) -> {
			Use use = account.use(inFirstWindow, nowNanos);
			if (use.units() > 0 || use.requested() > 0) {
				used.put(name, use);
			}
		});
		return used;
	}

	/**
	 * Returns what all organisations requested within the last second at all processes,
	 * as far as it is known here.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the units by organisation, including refused ones
	 */
	public Map<String, Double> requestedUnits(long nowNanos) {
		Map<String, Double> requested = new HashMap<>();
		this.accounts.forEach((name, account) -> requested.put(name, account.requestedAnywhere(nowNanos)));
		return requested;
	}

	/**
	 * Returns whether this process started less than a window ago.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return true during the first window
	 */
	public boolean isInFirstWindow(long nowNanos) {
		return nowNanos - this.startedNanos < this.windowNanos;
	}

	/**
	 * Sets which organisations may have used a large burst before this process started.
	 * @param earlier the organisations; {@link EarlierBursts#NONE} before the first call
	 */
	public void earlierBursts(EarlierBursts earlier) {
		this.earlierBursts = earlier;
	}

	/**
	 * Allows large bursts for one window. After a kill of all processes, those that start
	 * then must learn of them.
	 * @param organisations the names of the organisations
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void allowLargeBursts(Collection<String> organisations, long nowNanos) {
		organisations.forEach((name) -> this.largeBurstsUntilNanos.put(name, nowNanos + this.windowNanos));
	}

	/**
	 * Ends the large bursts of organisations of which processes that start later will not
	 * learn any more.
	 * @param retained the names of the organisations that may go on
	 */
	public void retainLargeBursts(Collection<String> retained) {
		this.largeBurstsUntilNanos.keySet().retainAll(retained);
	}

	/**
	 * Returns the organisations that use much of their burst.
	 * @param organisations all organisations
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the names, none while this process does not know the use of a whole window
	 */
	public Set<String> organisationsInBurst(Collection<Organisation> organisations, long nowNanos) {
		Set<String> names = new HashSet<>();
		for (Organisation organisation : organisations) {
			Account account = account(organisation.name());
			refill(account, organisation, nowNanos);
			if (organisation.unitsPerSecond() > 0 && !isInFirstWindow(nowNanos) && account.usesMuchOfBurst()) {
				names.add(organisation.name());
			}
		}
		return names;
	}

	private Account account(String organisation) {
		return this.accounts.computeIfAbsent(organisation, (_) -> new Account(this.windowNanos, this.startedNanos));
	}

	// A process that has just started does not know the earlier use: when many
	// processes are killed at the same time, every organisation could use its whole
	// window again. So most of the quota counts as used at the start.
	private double limit(Organisation organisation, double window, long nowNanos) {
		return startLimit(organisation).fraction(nowNanos - this.startedNanos, this.windowNanos) * window;
	}

	private StartLimit startLimit(Organisation organisation) {
		return this.earlierBursts.mayInclude(organisation.name()) ? CAREFUL_START_LIMIT : USUAL_START_LIMIT;
	}

	// Returns the time until the use is no more than the allowed units. In its first
	// window a process takes into account that the limit grows.
	private long windowWaitMillis(Account account, double allowed, UnitRequest request, long nowNanos) {
		long wait = account.windowWaitMillis(allowed, nowNanos);
		if (wait == 0 || !isInFirstWindow(nowNanos)) {
			return wait;
		}
		double missing = (account.usedInWindow() - allowed) / request.window();
		return Math.clamp(
				startLimit(request.organisation()).waitMillis(missing, nowNanos - this.startedNanos, this.windowNanos),
				1, wait);
	}

	// The limit of the window is not raised: what is used in one burst counts towards
	// it.
	private double slack(Organisation organisation) {
		boolean countsTokens = organisation.quotaUnit() == Organisation.QuotaUnit.TOKENS;
		return countsTokens ? this.sharing.fraction() * this.slackUnits * SLACK_FRACTION : 0;
	}

	private double windowUnits(Organisation organisation) {
		return this.sharing.fraction()
				* (organisation.unitsPerSecond() * this.windowNanos / 1e9 + organisation.burst());
	}

	/**
	 * A request for units, with the values that decide it.
	 *
	 * @param organisation the organisation
	 * @param units the units of the call
	 * @param small whether the call is small compared with recent calls
	 * @param window the units that a whole window allows
	 * @param limit the units that may be used by now
	 * @param slack the units that may be used in one burst in addition to those of the
	 * window
	 */
	private record UnitRequest(Organisation organisation, double units, boolean small, double window, double limit,
			double slack) {
	}

	/**
	 * The result of a request for units.
	 *
	 * @param waitMillis the time until the units are available, in milliseconds; 0 if
	 * they were taken
	 * @param used the units used within the window, by all processes
	 * @param limit the units that the window allows
	 * @param unconfirmed the units used here before that not all other processes have
	 * confirmed
	 * @param sharing how the quota was shared
	 */
	public record QuotaDecision(long waitMillis, double used, double limit, double unconfirmed, Sharing sharing) {
	}

	/**
	 * The use of an organisation that a process reports.
	 *
	 * @param units the units used since the process started
	 * @param requested the units requested there within the last second, including
	 * refused ones
	 * @param inFirstWindow whether the process started less than a window ago
	 */
	public record Use(double units, double requested, boolean inFirstWindow) {
	}

}
