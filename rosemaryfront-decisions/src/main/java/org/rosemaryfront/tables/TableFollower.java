package org.rosemaryfront.tables;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

import org.rosemaryfront.tables.Freshness.Source;
import org.rosemaryfront.tables.TableQuery.Sent;

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
	private static final long FEED_WAIT_NANOS = TimeUnit.SECONDS.toNanos(20);

	/**
	 * The pause after a response with changes, in nanoseconds. Servers start and leave
	 * many at a time, and the next response contains all changes made during the pause.
	 */
	private static final long FEED_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	/** The time after which an unanswered query is sent again, in nanoseconds. */
	private static final long RETRY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	/**
	 * The time after which an unanswered query for the whole table is sent again, in
	 * nanoseconds. A whole table takes longer to send and to read.
	 */
	private static final long WHOLE_TABLE_RETRY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

	/**
	 * The time to wait for the store before another gateway is queried for a reported
	 * change, in nanoseconds.
	 */
	private static final long GATEWAY_QUERY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

	/**
	 * The age from which on a pending query for changes counts as lost when a check finds
	 * changes, in nanoseconds. The response to a younger one may still be in transit.
	 */
	private static final long LOST_FEED_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	/**
	 * The backoff after the first failure, in nanoseconds; it doubles with each further
	 * one.
	 */
	private static final long INITIAL_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	/**
	 * The maximum backoff, in nanoseconds. With its jitter it ends within a second of the
	 * store's return.
	 */
	private static final long MAX_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	/**
	 * The range over which resting gateways read the table after the store was restored,
	 * in nanoseconds.
	 */
	private static final long RESTORE_SPREAD_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	/**
	 * The number of times that a resting gateway asks other gateways for the table after
	 * the store was restored, before it asks the store.
	 */
	private static final int RESTORE_GATEWAY_QUERIES = 2;

	private static final int MAX_DOUBLINGS = 6;

	/**
	 * The time without a further part after which a response no longer counts as
	 * arriving, in nanoseconds.
	 */
	private static final long ARRIVAL_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	/** The maximum number of unanswered queries that the store answers immediately. */
	private static final int MAX_UNANSWERED = 3;

	private final Freshness freshness;

	private final FreshnessLimits limits;

	private final DoubleSupplier random;

	/** The position of this gateway within the spread of the limits, from 0 to 1. */
	private final double spreadPosition;

	private Role role = Role.STAND_BY;

	/** The confirmations that this gateway received from the store itself. */
	private final Freshness ownFreshness = Freshness.unconfirmed(Long.MAX_VALUE);

	private long version;

	/** The newest generation of the store known. */
	private long generation;

	/** Whether the whole table has to be read. */
	private boolean wholeTableNeeded = true;

	/** How often other gateways are still asked for the whole table first. */
	private int gatewayQueriesLeft;

	private Optional<Long> nextWholeTableNanos = Optional.empty();

	/** The pending query for changes. */
	private Optional<Sent> feed = Optional.empty();

	private Optional<Long> nextFeedNanos = Optional.empty();

	private Optional<Long> nextCheckNanos = Optional.empty();

	/**
	 * Since when a query that is answered immediately has been waiting for its response.
	 */
	private Optional<Long> unansweredSinceNanos = Optional.empty();

	/** The queries that are answered immediately and wait for their responses. */
	private final Set<Sent> unanswered = new LinkedHashSet<>();

	/** When the last part of a response arrived that is not complete yet. */
	private Optional<Long> arrivedNanos = Optional.empty();

	/** The newest version reported by another gateway whose changes were missing here. */
	private long reportedVersion;

	private Optional<Long> nextGatewayNanos = Optional.empty();

	private int failures;

	private TableFollower(Freshness freshness, FreshnessLimits limits, DoubleSupplier random) {
		this.freshness = freshness;
		this.limits = limits;
		this.random = random;
		this.spreadPosition = random.getAsDouble();
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
	 * Records how far the outstanding responses have arrived. While one arrives, however
	 * long it takes, no other query is sent: its response would share the link and make
	 * both later.
	 * @param atNanos when the last part of an incomplete response arrived, empty if there
	 * is none
	 */
	public void arriving(Optional<Long> atNanos) {
		this.arrivedNanos = atNanos;
	}

	/**
	 * Returns the queries that are due.
	 * @param newRole the role of this gateway
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the queries to send now
	 */
	public List<Sent> tick(Role newRole, long nowNanos) {
		this.role = newRole;
		List<Sent> queries = new ArrayList<>();
		if (this.wholeTableNeeded) {
			addWholeTableQuery(queries, nowNanos);
		}
		else {
			addFeed(queries, nowNanos);
			addCheck(queries, nowNanos);
		}
		addGatewayQuery(queries, nowNanos);
		return queries;
	}

	private void addWholeTableQuery(List<Sent> queries, long nowNanos) {
		if (!isDue(this.nextWholeTableNanos, nowNanos) || !mayQuery(nowNanos)) {
			return;
		}
		if (this.gatewayQueriesLeft > 0) {
			this.gatewayQueriesLeft--;
			this.nextWholeTableNanos = Optional.of(nowNanos + RETRY_INTERVAL_NANOS);
			queries.add(new Sent(new TableQuery.FromGateway(this.version), nowNanos));
		}
		else {
			this.nextWholeTableNanos = Optional.of(nowNanos + WHOLE_TABLE_RETRY_INTERVAL_NANOS);
			recordUnanswered(new Sent(new TableQuery.FullTable(), nowNanos), queries);
		}
	}

	private void addFeed(List<Sent> queries, long nowNanos) {
		if (this.role.reads() && this.feed.isEmpty() && isDue(this.nextFeedNanos, nowNanos)) {
			this.feed = Optional.of(new Sent(new TableQuery.Feed(this.version, FEED_WAIT_NANOS), nowNanos));
			queries.add(this.feed.get());
		}
	}

	private void addCheck(List<Sent> queries, long nowNanos) {
		boolean needed = this.reportedVersion > this.version || isConfirmationTooOld(nowNanos);
		if (needed && isDue(this.nextCheckNanos, nowNanos) && mayQuery(nowNanos)) {
			this.nextCheckNanos = Optional.of(nowNanos + RETRY_INTERVAL_NANOS);
			recordUnanswered(new Sent(new TableQuery.Check(this.version), nowNanos), queries);
		}
	}

	// The store may never respond to this gateway and still serve others.
	private void addGatewayQuery(List<Sent> queries, long nowNanos) {
		boolean missing = this.reportedVersion > this.version
				&& (this.unansweredSinceNanos.isPresent() || this.failures > 0);
		if (missing && isDue(this.nextGatewayNanos, nowNanos) && !isArriving(nowNanos)) {
			this.nextGatewayNanos = Optional.of(nowNanos + RETRY_INTERVAL_NANOS);
			queries.add(new Sent(new TableQuery.FromGateway(this.version), nowNanos));
		}
	}

	/**
	 * Processes a response of the store. Must be called before the rows are applied, so
	 * that an outage of the store is known by then.
	 * @param sent the query
	 * @param storeVersion the version of the store
	 * @param rows whether the response contains rows
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the properties of the response
	 */
	public Response responseReceived(Sent sent, long storeVersion, boolean rows, long nowNanos) {
		int failuresBefore = this.failures;
		this.failures = 0;
		this.arrivedNanos = Optional.empty();
		if (!(sent.query() instanceof TableQuery.Feed)) {
			this.unanswered.remove(sent);
			this.unansweredSinceNanos = Optional.empty();
		}
		Optional<Sent> lost = Optional.empty();
		boolean unreported = rows && this.reportedVersion <= this.version;
		boolean outdated = storeVersion < queriedVersion(sent.query())
				|| StoreVersion.generation(storeVersion) < this.generation;
		if (!outdated) {
			long confirmedNanos = confirmedNanos(sent, rows, nowNanos);
			this.ownFreshness.confirm(confirmedNanos, Source.STORE);
			this.freshness.confirm(confirmedNanos, Source.STORE);
			this.version = Math.max(this.version, storeVersion);
		}
		switch (sent.query()) {
			case TableQuery.FullTable _ -> {
				this.wholeTableNeeded = outdated;
				this.feed = Optional.empty();
				this.nextFeedNanos = Optional.empty();
				this.nextCheckNanos = Optional.empty();
			}
			case TableQuery.Feed _ -> endFeed(sent, rows ? nowNanos + FEED_PAUSE_NANOS : nowNanos);
			case TableQuery.Check _ -> {
				this.nextCheckNanos = Optional.empty();
				lost = rows ? lostFeed(nowNanos) : Optional.empty();
				lost.ifPresent((lostQuery) -> endFeed(lostQuery, nowNanos));
			}
			case TableQuery.FromGateway _ ->
				throw new IllegalArgumentException("no response of the store answers a query to a gateway");
		}
		return new Response(failuresBefore, lost, (rows && !outdated) ? superseded(sent) : List.of(), outdated,
				unreported);
	}

	// What they would bring has arrived, and what came later is requested anew. Only a
	// whole table replaces a whole table.
	private List<Sent> superseded(Sent sent) {
		boolean whole = sent.query() instanceof TableQuery.FullTable;
		List<Sent> others = this.unanswered.stream()
			.filter((other) -> whole || other.query() instanceof TableQuery.Check)
			.toList();
		others.forEach(this.unanswered::remove);
		if (this.unanswered.isEmpty()) {
			this.unansweredSinceNanos = Optional.empty();
			this.nextCheckNanos = Optional.empty();
		}
		return others;
	}

	/**
	 * Processes a response without rows of the store about any table. All tables share
	 * the versions of the store, so that it confirms this table as well if the store has
	 * not changed since the version up to which the local copy is complete.
	 * @param storeVersion the newest version of the store
	 * @param sentNanos when the query was sent
	 */
	public void storeVersionSeen(long storeVersion, long sentNanos) {
		boolean unchanged = storeVersion <= this.version && StoreVersion.sameGeneration(storeVersion, this.version)
				&& StoreVersion.generation(storeVersion) >= this.generation;
		if (unchanged && !this.wholeTableNeeded) {
			this.ownFreshness.confirm(sentNanos, Source.STORE);
			this.freshness.confirm(sentNanos, Source.STORE);
		}
	}

	/**
	 * Processes the failure of a query to the store.
	 * @param sent the query
	 * @param historyLost whether the store no longer keeps the changes after the queried
	 * version
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the query to send to another gateway, which the store may serve; empty if
	 * none is needed
	 */
	public Optional<Sent> queryFailed(Sent sent, boolean historyLost, long nowNanos) {
		long backoff = jittered(historyLost ? INITIAL_BACKOFF_NANOS / 4
				: Math.min(MAX_BACKOFF_NANOS, INITIAL_BACKOFF_NANOS << Math.min(this.failures, MAX_DOUBLINGS)));
		Optional<Long> next = Optional.of(nowNanos + backoff);
		this.arrivedNanos = Optional.empty();
		this.unanswered.remove(sent);
		if (sent.query() instanceof TableQuery.Feed) {
			boolean current = this.feed.equals(Optional.of(sent));
			endFeed(sent, nowNanos);
			if (!current || !this.role.reads()) {
				return Optional.empty();
			}
			// The feed may have delivered nothing for a while before it broke off.
			this.wholeTableNeeded = true;
		}
		else {
			this.unansweredSinceNanos = Optional.empty();
		}
		this.wholeTableNeeded |= historyLost;
		this.nextWholeTableNanos = next;
		this.nextCheckNanos = next;
		if (historyLost) {
			return Optional.empty();
		}
		this.failures++;
		return Optional.of(new Sent(new TableQuery.FromGateway(this.version), nowNanos));
	}

	/**
	 * Processes what another gateway reports of the table.
	 * @param otherVersion the version of the store up to which the other gateway has the
	 * table
	 * @param complete whether the local copy now includes all changes up to that version
	 * @param confirmedNanos when the copy of the other gateway was last confirmed to be
	 * current, empty if unknown
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void reportReceived(long otherVersion, boolean complete, Optional<Long> confirmedNanos, long nowNanos) {
		if (complete) {
			boolean restored = StoreVersion.generation(otherVersion) > StoreVersion.generation(this.version);
			if (restored && StoreVersion.generation(otherVersion) >= this.generation) {
				this.wholeTableNeeded = false;
			}
			this.version = Math.max(this.version, otherVersion);
			confirmedNanos.ifPresent((at) -> this.freshness.confirm(at, Source.REPORT));
		}
		else if (otherVersion > this.version) {
			recordMissing(otherVersion, nowNanos);
		}
	}

	private void recordMissing(long otherVersion, long nowNanos) {
		if (otherVersion > this.reportedVersion) {
			this.reportedVersion = otherVersion;
			this.nextGatewayNanos = Optional.of(nowNanos + GATEWAY_QUERY_DELAY_NANOS);
		}
	}

	/**
	 * Reads the whole table again, because the store came back from a copy: changes known
	 * here may be lost, and its versions are assigned again.
	 * @param newGeneration the generation of the store
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void storeRestored(long newGeneration, long nowNanos) {
		this.generation = newGeneration;
		this.freshness.storeRestored(nowNanos);
		this.wholeTableNeeded = true;
		this.gatewayQueriesLeft = this.role.reads() ? 0 : RESTORE_GATEWAY_QUERIES;
		long delayNanos = this.role.reads() ? 0 : Math.round(RESTORE_SPREAD_NANOS * this.spreadPosition);
		this.nextWholeTableNanos = Optional.of(nowNanos + delayNanos);
		this.feed = Optional.empty();
		this.nextFeedNanos = Optional.empty();
		this.nextCheckNanos = Optional.empty();
		this.unanswered.clear();
		this.unansweredSinceNanos = Optional.empty();
	}

	/**
	 * Discards all confirmations after a process pause, since the local copy is older
	 * than it appears to be.
	 * @param nowNanos the time at which the process resumed, on the monotonic clock
	 */
	public void resumedAfterPause(long nowNanos) {
		this.ownFreshness.discardConfirmation(nowNanos);
		this.freshness.discardConfirmation(nowNanos);
	}

	/**
	 * Returns whether this gateway reads the table and its copy is up to date.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return false if other gateways should not rely on it
	 */
	public boolean isReading(long nowNanos) {
		boolean answered = this.failures == 0 && !isUnanswered(nowNanos);
		return this.role.reads() && answered && this.ownFreshness.isWithin(this.limits.ownNanos(), nowNanos)
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
		return this.ownFreshness.ageNanos(nowNanos);
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
	private boolean isConfirmationTooOld(long nowNanos) {
		boolean ownTooOld = this.role.reads() && !this.ownFreshness.isWithin(this.limits.ownNanos() / 2, nowNanos);
		return ownTooOld || !this.freshness.isWithin(this.limits.forRole(this.role, this.spreadPosition), nowNanos);
	}

	private boolean isArriving(long nowNanos) {
		return this.arrivedNanos.filter((at) -> nowNanos - at < ARRIVAL_GAP_NANOS).isPresent();
	}

	private boolean mayQuery(long nowNanos) {
		return !isArriving(nowNanos) && this.unanswered.size() < MAX_UNANSWERED;
	}

	private boolean isUnanswered(long nowNanos) {
		return !isArriving(nowNanos)
				&& this.unansweredSinceNanos.filter((since) -> nowNanos - since >= RETRY_INTERVAL_NANOS).isPresent();
	}

	private void recordUnanswered(Sent sent, List<Sent> queries) {
		queries.add(sent);
		this.unanswered.add(sent);
		if (this.unansweredSinceNanos.isEmpty()) {
			this.unansweredSinceNanos = Optional.of(sent.sentNanos());
		}
	}

	private Optional<Sent> lostFeed(long nowNanos) {
		return this.feed.filter((sent) -> nowNanos - sent.sentNanos() > LOST_FEED_AGE_NANOS);
	}

	private void endFeed(Sent sent, long nextNanos) {
		if (this.feed.equals(Optional.of(sent))) {
			this.feed = Optional.empty();
			this.nextFeedNanos = Optional.of(nextNanos);
		}
	}

	// Returns the time up to which a response confirms that all changes were received.
	// Changes that arrived before the end of the wait were sent at an unknown time
	// during it.
	private static long confirmedNanos(Sent sent, boolean rows, long nowNanos) {
		boolean waited = sent.query() instanceof TableQuery.Feed && !rows;
		return waited ? Math.min(nowNanos, sent.sentNanos() + FEED_WAIT_NANOS) : sent.sentNanos();
	}

	private long queriedVersion(TableQuery query) {
		return switch (query) {
			case TableQuery.Feed feedQuery -> feedQuery.since();
			case TableQuery.Check check -> check.since();
			case TableQuery.FullTable _, TableQuery.FromGateway _ -> this.version;
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
	 * @param superseded other queries whose responses are no longer awaited, since this
	 * one brought what they would
	 * @param outdated whether it is older than the local copy, and confirms nothing
	 * @param unreported whether its rows hold changes that no other gateway reported
	 */
	public record Response(int failuresBefore, Optional<Sent> lostFeed, List<Sent> superseded, boolean outdated,
			boolean unreported) {

		public Response {
			superseded = List.copyOf(superseded);
		}

	}

}
