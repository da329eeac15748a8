package org.rosemaryfront.tables;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rosemaryfront.tables.Freshness.Source;
import org.rosemaryfront.tables.Question.Asked;
import org.rosemaryfront.tables.TableFollower.Answer;

import static org.assertj.core.api.Assertions.assertThat;

class TableFollowerTests {

	private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	private static final long OUTAGE_NANOS = 2_400 * MILLI;

	private final Freshness freshness = Freshness.unproven(OUTAGE_NANOS);

	private final TableFollower follower = TableFollower.of(this.freshness, FreshnessLimits.usual(), () -> 0.5);

	private Asked feed;

	// At time 0 the whole table is read at version 10, and a query for changes is
	// pending.
	@BeforeEach
	void follow() {
		Asked whole = only(Question.Whole.class, this.follower.tick(Role.FIRST, 0));
		this.follower.answered(whole, 10, true, 0);
		this.feed = only(Question.Feed.class, this.follower.tick(Role.FIRST, 0));
	}

	// -- queries

	@Test
	void shouldQueryChangesAfterLocalVersion() {
		assertThat(this.feed.question()).isEqualTo(new Question.Feed(10, TimeUnit.SECONDS.toNanos(20)));
		assertThat(this.follower.tick(Role.FIRST, 100 * MILLI)).isEmpty();
	}

	@ParameterizedTest
	@CsvSource({ "FIRST, 500", "STAND_BY, 800", "RESTING, 1175" })
	void shouldCheckWhenLastConfirmationIsTooOld(Role role, long limitMillis) {
		assertThat(this.follower.tick(role, (limitMillis - 1) * MILLI)).isEmpty();
		Asked check = only(Question.Check.class, this.follower.tick(role, limitMillis * MILLI));
		assertThat(check.question()).isEqualTo(new Question.Check(10));
	}

	// Guards against relying on one connection: an unanswered query must not keep
	// another one from being sent.
	@Test
	void shouldCheckAgainWhenCheckIsNotAnswered() {
		only(Question.Check.class, this.follower.tick(Role.FIRST, 500 * MILLI));
		assertThat(this.follower.tick(Role.FIRST, 799 * MILLI)).isEmpty();
		only(Question.Check.class, this.follower.tick(Role.FIRST, 800 * MILLI));
		assertThat(this.follower.isReading(800 * MILLI)).isFalse();
	}

	@Test
	void shouldNotCheckWhenReportConfirmsTheTable() {
		this.follower.told(10, true, Optional.of(1_000 * MILLI), 1_100 * MILLI);
		assertThat(this.follower.tick(Role.RESTING, 1_200 * MILLI)).isEmpty();
		assertThat(this.freshness.source()).isEqualTo(Source.REPORT);
	}

	@Test
	void shouldCheckWhenReportedChangesAreIncomplete() {
		this.follower.told(12, false, Optional.of(100 * MILLI), 100 * MILLI);
		only(Question.Check.class, this.follower.tick(Role.RESTING, 100 * MILLI));
		assertThat(this.freshness.ageNanos(100 * MILLI)).hasValue(100 * MILLI);
	}

	// Guards against a store that serves other gateways and not this one.
	@Test
	void shouldQueryGatewayWhenStoreDoesNotRespond() {
		this.follower.told(12, false, Optional.empty(), 100 * MILLI);
		only(Question.Check.class, this.follower.tick(Role.RESTING, 100 * MILLI));
		Asked ofGateway = only(Question.OfGateway.class, this.follower.tick(Role.RESTING, 250 * MILLI));
		assertThat(ofGateway.question()).isEqualTo(new Question.OfGateway(10));
		this.follower.told(12, true, Optional.empty(), 260 * MILLI);
		assertThat(this.follower.tick(Role.RESTING, 600 * MILLI)).isEmpty();
	}

	// -- responses

	// Guards against waiting for a response on a connection that carries nothing any
	// more.
	@Test
	void shouldAbandonFeedWhenCheckFindsMissedChanges() {
		Asked check = only(Question.Check.class, this.follower.tick(Role.FIRST, 500 * MILLI));
		Answer answer = this.follower.answered(check, 11, true, 510 * MILLI);
		assertThat(answer.lostFeed()).contains(this.feed);
		Asked next = only(Question.Feed.class, this.follower.tick(Role.FIRST, 510 * MILLI));
		assertThat(next.question()).isEqualTo(new Question.Feed(11, TimeUnit.SECONDS.toNanos(20)));
	}

	@Test
	void shouldReadWholeTableWhenFeedFailsOrHistoryIsLost() {
		this.follower.failed(this.feed, false, 100 * MILLI);
		assertThat(this.follower.tick(Role.FIRST, 199 * MILLI)).isEmpty();
		Asked whole = only(Question.Whole.class, this.follower.tick(Role.FIRST, 200 * MILLI));
		this.follower.answered(whole, 11, true, 210 * MILLI);
		Asked again = only(Question.Feed.class, this.follower.tick(Role.FIRST, 210 * MILLI));
		this.follower.failed(again, true, 300 * MILLI);
		only(Question.Whole.class, this.follower.tick(Role.FIRST, 325 * MILLI));
	}

	// Guards against a whole table that is older than the local copy: it confirms
	// nothing, and later queries must not start from its version.
	@Test
	void shouldReadAgainWhenWholeTableIsOlder() {
		this.follower.failed(this.feed, true, 100 * MILLI);
		Asked whole = only(Question.Whole.class, this.follower.tick(Role.FIRST, 200 * MILLI));
		assertThat(this.follower.answered(whole, 9, true, 210 * MILLI).older()).isTrue();
		assertThat(this.freshness.ageNanos(210 * MILLI)).hasValue(210 * MILLI);
		assertThat(this.follower.tick(Role.FIRST, 300 * MILLI)).isEmpty();
		only(Question.Whole.class, this.follower.tick(Role.FIRST, 800 * MILLI));
	}

	// Guards against noticing the end of an outage only with the next change: a server
	// that leaves then would be taken for one whose registration expired.
	@Test
	void shouldDetectEndOfOutageBeforeTheNextChange() {
		long now = 0;
		this.follower.failed(this.feed, false, now);
		while (now < 5_000 * MILLI) {
			now += 50 * MILLI;
			long failedAt = now;
			this.follower.tick(Role.FIRST, now).forEach((sent) -> this.follower.failed(sent, false, failedAt));
		}
		while (this.freshness.returnedNanos().isEmpty()) {
			now += 50 * MILLI;
			long respondedAt = now;
			this.follower.tick(Role.FIRST, now)
				.stream()
				.filter((sent) -> !(sent.question() instanceof Question.OfGateway))
				.forEach((sent) -> this.follower.answered(sent, 10, false, respondedAt));
		}
		assertThat(now).isLessThanOrEqualTo(5_800 * MILLI);
	}

	@Test
	void shouldBackOffLongerWithEachFailure() {
		Asked check = only(Question.Check.class, this.follower.tick(Role.FIRST, 500 * MILLI));
		this.follower.failed(check, false, 500 * MILLI);
		check = only(Question.Check.class, this.follower.tick(Role.FIRST, 600 * MILLI));
		this.follower.failed(check, false, 600 * MILLI);
		assertThat(this.follower.tick(Role.FIRST, 799 * MILLI)).isEmpty();
		only(Question.Check.class, this.follower.tick(Role.FIRST, 800 * MILLI));
	}

	// Guards against a reader that the store no longer serves: other gateways would
	// rely on it.
	@Test
	void shouldNotCountAsReaderWhenStoreFails() {
		assertThat(this.follower.isReading(100 * MILLI)).isTrue();
		this.follower.failed(this.feed, false, 100 * MILLI);
		assertThat(this.follower.isReading(100 * MILLI)).isFalse();
	}

	@Test
	void shouldIgnoreFailureWhenGatewayIsResting() {
		this.follower.tick(Role.RESTING, 100 * MILLI);
		assertThat(this.follower.failed(this.feed, false, 110 * MILLI)).isEmpty();
		assertThat(this.follower.isFailing()).isFalse();
		assertThat(this.follower.tick(Role.RESTING, 200 * MILLI)).isEmpty();
	}

	// Guards against reporting a confirmation from before the suspension of the VM to
	// other gateways.
	@Test
	void shouldConfirmNothingToOthersUntilStoreRespondsAfterPause() {
		Asked sent = only(Question.Check.class, this.follower.tick(Role.FIRST, 500 * MILLI));
		this.follower.paused(600 * MILLI);
		this.follower.answered(sent, 10, false, 610 * MILLI);
		this.follower.told(10, true, Optional.of(605 * MILLI), 610 * MILLI);
		assertThat(this.follower.isReading(610 * MILLI)).isFalse();
		assertThat(this.follower.ownAgeNanos(610 * MILLI)).isEmpty();
		Asked again = only(Question.Check.class, this.follower.tick(Role.FIRST, 610 * MILLI));
		this.follower.answered(again, 11, true, 620 * MILLI);
		assertThat(this.follower.ownAgeNanos(620 * MILLI)).hasValue(10 * MILLI);
	}

	private static Asked only(Class<? extends Question> kind, List<Asked> sent) {
		assertThat(sent).hasSize(1);
		assertThat(sent.getFirst().question()).isInstanceOf(kind);
		return sent.getFirst();
	}

}
