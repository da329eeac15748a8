package org.rosemaryfront.tables;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

import org.rosemaryfront.tables.Freshness.Source;
import org.rosemaryfront.tables.Question.Asked;

/**
 * Decides which queries to send to keep a local copy of a table of the store up to date,
 * based on the responses and on the reports of other gateways. Times are on the monotonic
 * clock, in nanoseconds. Not thread-safe.
 *
 * <p>
 * A connection may stay open without carrying anything, and the store may serve some
 * gateways and not others. The absence of updates therefore never counts as the absence
 * of changes: once the last confirmation is older than a limit, the store is queried,
 * whatever other queries are pending.
 *
 * <pre>
 * TableFollower follower = TableFollower.of(freshness, FreshnessLimits.within(2_000), random);
 * for (Asked asked : follower.tick(Role.FIRST, now)) {
 *     ...
 * }
 * </pre>
 */
public final class TableFollower {

	/** How long the store holds one query for changes open, in nanoseconds. */
	private static final long FEED_NANOS = TimeUnit.SECONDS.toNanos(20);

	/**
	 * The pause after a response with changes, in nanoseconds. Servers start and leave
	 * many at a time, and the next response contains all changes made during the pause.
	 */
	private static final long MERGE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	/** The time after which an unanswered query is sent again, in nanoseconds. */
	private static final long AGAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	/**
	 * The time after which an unanswered query for the whole table is sent again, in
	 * nanoseconds. A whole table takes longer to send and to read.
	 */
	private static final long WHOLE_AGAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

	/**
	 * The time to wait for the store before another gateway is queried for a reported
	 * change, in nanoseconds.
	 */
	private static final long GATEWAY_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

	/**
	 * The age from which on a pending query for changes counts as lost when a check finds
	 * changes, in nanoseconds. The response to a younger one may still be in transit.
	 */
	private static final long DEAF_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	/**
	 * The backoff after the first failure, in nanoseconds; it doubles with each further
	 * one.
	 */
	private static final long BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	/**
	 * The maximum backoff, in nanoseconds. The entries of servers are back two seconds
	 * after the store is available again, and must be read by then.
	 */
	private static final long BACKOFF_MOST_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

	private static final int DOUBLINGS_MOST = 6;

	private final Freshness freshness;

	private final FreshnessLimits limits;

	private final DoubleSupplier random;

	/** The position of this gateway within the spread of the limits, from 0 to 1. */
	private final double place;

	private Role role = Role.STAND_BY;

	/** The confirmations that this gateway received from the store itself. */
	private final Freshness own = Freshness.unproven(Long.MAX_VALUE);

	private long version;

	/** Whether the whole table has to be read. */
	private boolean wholeWanted = true;

	private Optional<Long> nextWholeNanos = Optional.empty();

	/** The pending query for changes. */
	private Optional<Asked> feed = Optional.empty();

	private Optional<Long> nextFeedNanos = Optional.empty();

	private Optional<Long> nextCheckNanos = Optional.empty();

	/**
	 * Since when a query that is answered immediately has been waiting for its response.
	 */
	private Optional<Long> waitingNanos = Optional.empty();

	/** The newest version reported by another gateway whose changes were missing here. */
	private long toldVersion;

	private Optional<Long> nextGatewayNanos = Optional.empty();

	private int failures;

	private TableFollower(Freshness freshness, FreshnessLimits limits, DoubleSupplier random) {
		this.freshness = freshness;
		this.limits = limits;
		this.random = random;
		this.place = random.getAsDouble();
	}

	/**
	 * Creates a follower that begins with reading the whole table.
	 * @param freshness records the confirmations of the table
	 * @param limits the maximum ages of the last confirmation
	 * @param random a source of random numbers from 0 to 1
	 * @return the follower
	 */
	public static TableFollower of(Freshness freshness, FreshnessLimits limits, DoubleSupplier random) {
		Objects.requireNonNull(freshness, "freshness is null");
		Objects.requireNonNull(limits, "limits is null");
		return new TableFollower(freshness, limits, random);
	}

	/**
	 * Returns the queries that are due.
	 * @param newRole the role of this gateway
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the queries to send now
	 */
	public List<Asked> tick(Role newRole, long nowNanos) {
		this.role = newRole;
		List<Asked> questions = new ArrayList<>();
		if (this.wholeWanted) {
			askWhole(questions, nowNanos);
		}
		else {
			askFeed(questions, nowNanos);
			askCheck(questions, nowNanos);
		}
		askGateway(questions, nowNanos);
		return questions;
	}

	private void askWhole(List<Asked> questions, long nowNanos) {
		if (isDue(this.nextWholeNanos, nowNanos)) {
			this.nextWholeNanos = Optional.of(nowNanos + WHOLE_AGAIN_NANOS);
			questions.add(new Asked(new Question.Whole(), nowNanos));
			noteWaiting(nowNanos);
		}
	}

	private void askFeed(List<Asked> questions, long nowNanos) {
		if (this.role.reads() && this.feed.isEmpty() && isDue(this.nextFeedNanos, nowNanos)) {
			this.feed = Optional.of(new Asked(new Question.Feed(this.version, FEED_NANOS), nowNanos));
			questions.add(this.feed.get());
		}
	}

	private void askCheck(List<Asked> questions, long nowNanos) {
		boolean wanted = this.toldVersion > this.version || isOld(nowNanos);
		if (wanted && isDue(this.nextCheckNanos, nowNanos)) {
			this.nextCheckNanos = Optional.of(nowNanos + AGAIN_NANOS);
			questions.add(new Asked(new Question.Check(this.version), nowNanos));
			noteWaiting(nowNanos);
		}
	}

	// The store may never respond to this gateway and still serve others.
	private void askGateway(List<Asked> questions, long nowNanos) {
		boolean missing = this.toldVersion > this.version && (this.waitingNanos.isPresent() || this.failures > 0);
		if (missing && isDue(this.nextGatewayNanos, nowNanos)) {
			this.nextGatewayNanos = Optional.of(nowNanos + AGAIN_NANOS);
			questions.add(new Asked(new Question.OfGateway(this.version), nowNanos));
		}
	}

	/**
	 * Processes a response of the store. Must be called before the rows are applied, so
	 * that an outage of the store is known by then.
	 * @param asked the query
	 * @param answerVersion the version of the store
	 * @param rows whether the response contains rows
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the properties of the response
	 */
	public Answer answered(Asked asked, long answerVersion, boolean rows, long nowNanos) {
		int failed = this.failures;
		this.failures = 0;
		if (!(asked.question() instanceof Question.Feed)) {
			this.waitingNanos = Optional.empty();
		}
		Optional<Asked> lost = Optional.empty();
		boolean firstHand = rows && this.toldVersion <= this.version;
		boolean older = answerVersion < since(asked.question());
		if (!older) {
			long provenNanos = provenNanos(asked, rows, nowNanos);
			this.own.proven(provenNanos, Source.STORE);
			this.freshness.proven(provenNanos, Source.STORE);
			this.version = Math.max(this.version, answerVersion);
		}
		switch (asked.question()) {
			case Question.Whole _ -> {
				this.wholeWanted = older;
				this.feed = Optional.empty();
				this.nextFeedNanos = Optional.empty();
				this.nextCheckNanos = Optional.empty();
			}
			case Question.Feed _ -> feedOver(asked, rows ? nowNanos + MERGE_NANOS : nowNanos);
			case Question.Check _ -> {
				this.nextCheckNanos = Optional.empty();
				lost = rows ? deafFeed(nowNanos) : Optional.empty();
				lost.ifPresent((deaf) -> feedOver(deaf, nowNanos));
			}
			case Question.OfGateway _ ->
				throw new IllegalArgumentException("no response of the store answers a query to a gateway");
		}
		return new Answer(failed, lost, older, firstHand);
	}

	/**
	 * Processes the failure of a query to the store.
	 * @param asked the query
	 * @param historyLost whether the store no longer keeps the changes after the queried
	 * version
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the query to send to another gateway, which the store may serve; empty if
	 * none is needed
	 */
	public Optional<Asked> failed(Asked asked, boolean historyLost, long nowNanos) {
		long pause = jittered(historyLost ? BACKOFF_NANOS / 4
				: Math.min(BACKOFF_MOST_NANOS, BACKOFF_NANOS << Math.min(this.failures, DOUBLINGS_MOST)));
		Optional<Long> next = Optional.of(nowNanos + pause);
		if (asked.question() instanceof Question.Feed) {
			boolean counted = this.feed.equals(Optional.of(asked));
			feedOver(asked, nowNanos);
			if (!counted || !this.role.reads()) {
				return Optional.empty();
			}
			// The feed may have delivered nothing for a while before it broke off.
			this.wholeWanted = true;
		}
		else {
			this.waitingNanos = Optional.empty();
		}
		this.wholeWanted |= historyLost;
		this.nextWholeNanos = next;
		this.nextCheckNanos = next;
		if (historyLost) {
			return Optional.empty();
		}
		this.failures++;
		return Optional.of(new Asked(new Question.OfGateway(this.version), nowNanos));
	}

	/**
	 * Processes what another gateway reports of the table.
	 * @param newest the version of the store up to which the other gateway has the table
	 * @param whole whether the local copy now includes all changes up to that version
	 * @param provenNanos when the copy of the other gateway was last confirmed to be
	 * current, empty if unknown
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void told(long newest, boolean whole, Optional<Long> provenNanos, long nowNanos) {
		if (whole) {
			this.version = Math.max(this.version, newest);
			provenNanos.ifPresent((at) -> this.freshness.proven(at, Source.REPORT));
		}
		else if (newest > this.version) {
			noteMissing(newest, nowNanos);
		}
	}

	private void noteMissing(long newest, long nowNanos) {
		if (newest > this.toldVersion) {
			this.toldVersion = newest;
			this.nextGatewayNanos = Optional.of(nowNanos + GATEWAY_NANOS);
		}
	}

	/**
	 * Discards all confirmations after a process pause, since the local copy is older
	 * than it appears to be.
	 * @param nowNanos the time at which the process resumed, on the monotonic clock
	 */
	public void paused(long nowNanos) {
		this.own.forget(nowNanos);
		this.freshness.forget(nowNanos);
	}

	/**
	 * Returns whether this gateway reads the table and its copy is up to date.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return false if other gateways should not rely on it
	 */
	public boolean isReading(long nowNanos) {
		boolean answered = this.failures == 0 && !isUnanswered(nowNanos);
		return this.role.reads() && answered && this.own.isWithin(this.limits.ownNanos(), nowNanos)
				&& this.freshness.isWithin(this.limits.restingNanos(), nowNanos);
	}

	/**
	 * Returns how long ago the store itself last confirmed to this gateway that the local
	 * copy is current.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the time in nanoseconds, empty if there was no confirmation since the start
	 * or the last process pause
	 */
	public OptionalLong ownAgeNanos(long nowNanos) {
		return this.own.ageNanos(nowNanos);
	}

	/**
	 * Returns whether the last query to the store failed.
	 * @return true from a failure until the next response
	 */
	public boolean isFailing() {
		return this.failures > 0;
	}

	// A gateway that reads for others does not rely on the confirmations that they
	// report.
	private boolean isOld(long nowNanos) {
		boolean ownOld = this.role.reads() && !this.own.isWithin(this.limits.ownNanos() / 2, nowNanos);
		return ownOld || !this.freshness.isWithin(this.limits.of(this.role, this.place), nowNanos);
	}

	private boolean isUnanswered(long nowNanos) {
		return this.waitingNanos.filter((since) -> nowNanos - since >= AGAIN_NANOS).isPresent();
	}

	private void noteWaiting(long nowNanos) {
		if (this.waitingNanos.isEmpty()) {
			this.waitingNanos = Optional.of(nowNanos);
		}
	}

	private Optional<Asked> deafFeed(long nowNanos) {
		return this.feed.filter((asked) -> nowNanos - asked.sentNanos() > DEAF_NANOS);
	}

	private void feedOver(Asked asked, long nextNanos) {
		if (this.feed.equals(Optional.of(asked))) {
			this.feed = Optional.empty();
			this.nextFeedNanos = Optional.of(nextNanos);
		}
	}

	// Returns the time up to which a response confirms that all changes were received.
	// Changes that arrived before the end of the wait were sent at an unknown time
	// during it.
	private static long provenNanos(Asked asked, boolean rows, long nowNanos) {
		boolean waited = asked.question() instanceof Question.Feed && !rows;
		return waited ? Math.min(nowNanos, asked.sentNanos() + FEED_NANOS) : asked.sentNanos();
	}

	private long since(Question question) {
		return switch (question) {
			case Question.Feed feedQuestion -> feedQuestion.since();
			case Question.Check check -> check.since();
			case Question.Whole _, Question.OfGateway _ -> this.version;
		};
	}

	private long jittered(long nanos) {
		return nanos / 2 + (long) (nanos * this.random.getAsDouble());
	}

	private static boolean isDue(Optional<Long> atNanos, long nowNanos) {
		return atNanos.isEmpty() || nowNanos - atNanos.get() >= 0;
	}

	/**
	 * The properties of a response of the store.
	 *
	 * @param failuresBefore the number of consecutive failures before it
	 * @param lostFeed the query for changes that should have been answered before it, and
	 * whose response is no longer awaited
	 * @param older whether it is older than the local copy, and confirms nothing
	 * @param firstHand whether its rows hold changes that no other gateway reported
	 */
	public record Answer(int failuresBefore, Optional<Asked> lostFeed, boolean older, boolean firstHand) {
	}

}
