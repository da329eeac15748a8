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
 * Decides what is asked to know a table of the store, from what was answered and told.
 * Times are on the monotonic clock, in nanoseconds. Not thread-safe.
 *
 * <p>
 * A connection may stay open and carry nothing, and the store may serve some gateways and
 * not others, so that silence never counts as "nothing changed": once the last proof is
 * older than a limit the store is asked, whatever else is under way.
 *
 * <pre>
 * TableFollower follower = TableFollower.of(freshness, FreshnessLimits.within(2_000), random);
 * for (Asked asked : follower.tick(Role.FIRST, now)) {
 *     ...
 * }
 * </pre>
 */
public final class TableFollower {

	/** How long one question for changes waits at the store, in nanoseconds. */
	private static final long FEED_NANOS = TimeUnit.SECONDS.toNanos(20);

	/**
	 * The pause behind an answer with changes, in nanoseconds: servers start and leave
	 * many at a time, and the next question is answered with all that came meanwhile.
	 */
	private static final long MERGE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	/** An unanswered question is asked once more behind this time, in nanoseconds. */
	private static final long AGAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	/** The same for a whole table, which takes longer to send and to read. */
	private static final long WHOLE_AGAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

	/**
	 * What the store does not tell for so long is asked of another gateway, in
	 * nanoseconds.
	 */
	private static final long GATEWAY_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

	/**
	 * A question for changes that waited so long when a check found changes is taken for
	 * lost, in nanoseconds; its own answer may be on its way.
	 */
	private static final long DEAF_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	/** The first pause behind a failure, in nanoseconds; it doubles with each. */
	private static final long BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	/**
	 * The longest pause, in nanoseconds: entries of servers are back two seconds after
	 * the store is, and must be seen by then.
	 */
	private static final long BACKOFF_MOST_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

	private static final int DOUBLINGS_MOST = 6;

	private final Freshness freshness;

	private final FreshnessLimits limits;

	private final DoubleSupplier random;

	/** Where this gateway stands among those who rest. */
	private final double place;

	private Role role = Role.STAND_BY;

	/** What the store proved to this gateway itself. */
	private final Freshness own = Freshness.unproven(Long.MAX_VALUE);

	private long version;

	/** Whether the table has to be read as a whole. */
	private boolean wholeWanted = true;

	private Optional<Long> nextWholeNanos = Optional.empty();

	/** The question for changes that is counted on. */
	private Optional<Asked> feed = Optional.empty();

	private Optional<Long> nextFeedNanos = Optional.empty();

	private Optional<Long> nextCheckNanos = Optional.empty();

	/** Since when a question that is answered at once waits for its answer. */
	private Optional<Long> waitingNanos = Optional.empty();

	/** The newest version that another gateway told of and that is not known here. */
	private long toldVersion;

	private Optional<Long> nextGatewayNanos = Optional.empty();

	private int failures;

	private TableFollower(Freshness freshness, FreshnessLimits limits, DoubleSupplier random) {
		this.freshness = freshness;
		this.limits = limits;
		this.random = random;
		this.place = random.getAsDouble();
	}

	// -- factories

	/**
	 * Begins to follow a table.
	 * @param freshness takes what is proven of the table
	 * @param limits how old that may become
	 * @param random from 0 to 1
	 * @return the follower
	 */
	public static TableFollower of(Freshness freshness, FreshnessLimits limits, DoubleSupplier random) {
		Objects.requireNonNull(freshness, "freshness is null");
		Objects.requireNonNull(limits, "limits is null");
		return new TableFollower(freshness, limits, random);
	}

	// -- events

	/**
	 * Looks at what is due.
	 * @param newRole what this gateway does for the others
	 * @param nowNanos the time
	 * @return what to ask now
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

	// The store may answer neither now nor later here, and serve other gateways.
	private void askGateway(List<Asked> questions, long nowNanos) {
		boolean missing = this.toldVersion > this.version && (this.waitingNanos.isPresent() || this.failures > 0);
		if (missing && isDue(this.nextGatewayNanos, nowNanos)) {
			this.nextGatewayNanos = Optional.of(nowNanos + AGAIN_NANOS);
			questions.add(new Asked(new Question.OfGateway(this.version), nowNanos));
		}
	}

	/**
	 * The store answered. To be called before the rows are taken, so that it is known by
	 * then whether the store was away.
	 * @param asked the question
	 * @param answerVersion the version of the store
	 * @param rows whether there were rows
	 * @param nowNanos the time
	 * @return what the answer is
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
			case Question.OfGateway _ -> throw new IllegalArgumentException("the store is no gateway");
		}
		return new Answer(failed, lost, older, firstHand);
	}

	/**
	 * The store did not answer.
	 * @param asked the question
	 * @param historyLost whether it does not keep the changes any more
	 * @param nowNanos the time
	 * @return what to ask another gateway, which the store may serve
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
			// A feed that breaks off may have told nothing for a while before.
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
	 * Another gateway told of the table.
	 * @param newest the version of the store up to which it knows the table
	 * @param whole whether all that changed up to then is known here now
	 * @param provenNanos when the table was proven there, empty when that is not known
	 * @param nowNanos the time
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
	 * The process stood still: what it knows is older than it looks.
	 * @param nowNanos the time at which it went on
	 */
	public void paused(long nowNanos) {
		this.own.forget(nowNanos);
		this.freshness.forget(nowNanos);
	}

	// -- queries

	/**
	 * Whether it reads the table and its knowledge is fresh.
	 * @param nowNanos the time
	 * @return false when others should not count on it
	 */
	public boolean isReading(long nowNanos) {
		boolean answered = this.failures == 0 && !isUnanswered(nowNanos);
		return this.role.reads() && answered && this.own.isWithin(this.limits.ownNanos(), nowNanos)
				&& this.freshness.isWithin(this.limits.restingNanos(), nowNanos);
	}

	/**
	 * How long ago the store proved to this gateway that all changes are known.
	 * @param nowNanos the time
	 * @return the time in nanoseconds, empty when it never did
	 */
	public OptionalLong ownAgeNanos(long nowNanos) {
		return this.own.ageNanos(nowNanos);
	}

	/**
	 * Whether the store did not answer the last question.
	 * @return true from a failure to the next answer
	 */
	public boolean isFailing() {
		return this.failures > 0;
	}

	// Who reads for others does not count on what these tell.
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

	// The moment up to which an answer proves that nothing is missing: changes that came
	// before the end of a wait were sent at an unknown moment of it.
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
	 * What an answer of the store is.
	 *
	 * @param failuresBefore how many questions had failed in a row before it
	 * @param lostFeed the question for changes that should have been answered before it,
	 * and is not waited for any more
	 * @param older whether it is older than what is known, and proves nothing
	 * @param firstHand whether its rows are of changes that no other gateway told of
	 */
	public record Answer(int failuresBefore, Optional<Asked> lostFeed, boolean older, boolean firstHand) {
	}

}
