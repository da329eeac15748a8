package org.rosemaryfront.tables;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rosemaryfront.tables.Freshness.Source;
import org.rosemaryfront.tables.TableFollower.Response;
import org.rosemaryfront.tables.TableQuery.Sent;

import static org.assertj.core.api.Assertions.assertThat;

class TableFollowerTests {

	private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	private static final long OUTAGE_NANOS = 2_400 * MILLI;

	private final Freshness freshness = Freshness.unconfirmed(OUTAGE_NANOS);

	private final TableFollower follower = TableFollower.of(this.freshness, FreshnessLimits.defaults(), () -> 0.5);

	private Sent feed;

	// At time 0 the whole table is read at version 10, and a query for changes is
	// pending.
	@BeforeEach
	void follow() {
		Sent whole = only(TableQuery.FullTable.class, this.follower.tick(Role.FIRST, 0));
		this.follower.responseReceived(whole, 10, true, 0);
		this.feed = only(TableQuery.Feed.class, this.follower.tick(Role.FIRST, 0));
	}

	// -- queries

	@Test
	void shouldQueryChangesAfterLocalVersion() {
		assertThat(this.feed.query()).isEqualTo(new TableQuery.Feed(10, TimeUnit.SECONDS.toNanos(20)));
		assertThat(this.follower.tick(Role.FIRST, 100 * MILLI)).isEmpty();
	}

	@ParameterizedTest
	@CsvSource({ "FIRST, 500", "STAND_BY, 800", "RESTING, 1175" })
	void shouldCheckWhenLastConfirmationIsTooOld(Role role, long limitMillis) {
		assertThat(this.follower.tick(role, (limitMillis - 1) * MILLI)).isEmpty();
		Sent check = only(TableQuery.Check.class, this.follower.tick(role, limitMillis * MILLI));
		assertThat(check.query()).isEqualTo(new TableQuery.Check(10));
	}

	// Guards against relying on one connection: an unanswered query must not keep
	// another one from being sent.
	@Test
	void shouldCheckAgainWhenCheckIsNotAnswered() {
		only(TableQuery.Check.class, this.follower.tick(Role.FIRST, 500 * MILLI));
		assertThat(this.follower.tick(Role.FIRST, 799 * MILLI)).isEmpty();
		only(TableQuery.Check.class, this.follower.tick(Role.FIRST, 800 * MILLI));
		assertThat(this.follower.isReading(800 * MILLI)).isFalse();
	}

	@Test
	void shouldNotCheckWhenReportConfirmsTheTable() {
		this.follower.reportReceived(10, true, Optional.of(1_000 * MILLI), 1_100 * MILLI);
		assertThat(this.follower.tick(Role.RESTING, 1_200 * MILLI)).isEmpty();
		assertThat(this.freshness.source()).isEqualTo(Source.REPORT);
	}

	@Test
	void shouldCheckWhenReportedChangesAreIncomplete() {
		this.follower.reportReceived(12, false, Optional.of(100 * MILLI), 100 * MILLI);
		only(TableQuery.Check.class, this.follower.tick(Role.RESTING, 100 * MILLI));
		assertThat(this.freshness.ageNanos(100 * MILLI)).hasValue(100 * MILLI);
	}

	// Guards against a store that serves other gateways and not this one.
	@Test
	void shouldQueryGatewayWhenStoreDoesNotRespond() {
		this.follower.reportReceived(12, false, Optional.empty(), 100 * MILLI);
		only(TableQuery.Check.class, this.follower.tick(Role.RESTING, 100 * MILLI));
		Sent ofGateway = only(TableQuery.FromGateway.class, this.follower.tick(Role.RESTING, 250 * MILLI));
		assertThat(ofGateway.query()).isEqualTo(new TableQuery.FromGateway(10));
		this.follower.reportReceived(12, true, Optional.empty(), 260 * MILLI);
		assertThat(this.follower.tick(Role.RESTING, 600 * MILLI)).isEmpty();
	}

	// Guards against a query for each table while no table changes.
	@ParameterizedTest
	@CsvSource({ "0, 65", "1000, 90", "250, 107" })
	void shouldQueryOneTableForAllWhenStoreSeldomChanges(long writeIntervalMillis, int maxChecks) {
		TableFollower second = TableFollower.of(Freshness.unconfirmed(OUTAGE_NANOS),
				FreshnessLimits.defaults().staggered(), () -> 0.5);
		second.responseReceived(only(TableQuery.FullTable.class, second.tick(Role.FIRST, 0)), 10, true, 0);
		int checks = 0;
		for (long millis = 0; millis < 30_000; millis += 50) {
			long version = 10 + ((writeIntervalMillis > 0) ? millis / writeIntervalMillis : 0);
			for (TableFollower asking : List.of(this.follower, second)) {
				for (Sent sent : asking.tick(Role.FIRST, millis * MILLI)) {
					if (sent.query() instanceof TableQuery.Check) {
						checks++;
						asking.responseReceived(sent, version, false, (millis + 4) * MILLI);
						this.follower.storeVersionSeen(version, sent.sentNanos());
						second.storeVersionSeen(version, sent.sentNanos());
					}
				}
			}
		}
		System.out.println("a write each " + writeIntervalMillis + " ms: " + checks + " checks of two tables in 30 s");
		assertThat(checks).isLessThanOrEqualTo(maxChecks);
	}

	@Test
	void shouldNotConfirmTableWhenStoreHasChangedSince() {
		this.follower.storeVersionSeen(11, 100 * MILLI);
		assertThat(this.freshness.ageNanos(100 * MILLI)).hasValue(100 * MILLI);
		this.follower.storeVersionSeen(10, 100 * MILLI);
		assertThat(this.freshness.ageNanos(100 * MILLI)).hasValue(0);
	}

	// Guards against a copy that a store confirms that came back without its rows.
	@Test
	void shouldNotConfirmTableWhenStoreWasRestored() {
		this.follower.storeRestored(1, 100 * MILLI);
		this.follower.storeVersionSeen(StoreVersion.of(1, 5), 150 * MILLI);
		this.follower.storeVersionSeen(10, 150 * MILLI);
		assertThat(this.freshness.ageNanos(150 * MILLI)).hasValue(150 * MILLI);
	}

	// -- responses

	// Guards against waiting for a response on a connection that carries nothing any
	// more.
	@Test
	void shouldAbandonFeedWhenCheckFindsMissedChanges() {
		Sent check = only(TableQuery.Check.class, this.follower.tick(Role.FIRST, 500 * MILLI));
		Response answer = this.follower.responseReceived(check, 11, true, 510 * MILLI);
		assertThat(answer.lostFeed()).contains(this.feed);
		Sent next = only(TableQuery.Feed.class, this.follower.tick(Role.FIRST, 510 * MILLI));
		assertThat(next.query()).isEqualTo(new TableQuery.Feed(11, TimeUnit.SECONDS.toNanos(20)));
	}

	@Test
	void shouldReadWholeTableWhenFeedFailsOrHistoryIsLost() {
		this.follower.queryFailed(this.feed, false, 100 * MILLI);
		assertThat(this.follower.tick(Role.FIRST, 199 * MILLI)).isEmpty();
		Sent whole = only(TableQuery.FullTable.class, this.follower.tick(Role.FIRST, 200 * MILLI));
		this.follower.responseReceived(whole, 11, true, 210 * MILLI);
		Sent again = only(TableQuery.Feed.class, this.follower.tick(Role.FIRST, 210 * MILLI));
		this.follower.queryFailed(again, true, 300 * MILLI);
		only(TableQuery.FullTable.class, this.follower.tick(Role.FIRST, 325 * MILLI));
	}

	// Guards against a whole table that is older than the local copy: it confirms
	// nothing, and later queries must not start from its version.
	@Test
	void shouldReadAgainWhenWholeTableIsOlder() {
		this.follower.queryFailed(this.feed, true, 100 * MILLI);
		Sent whole = only(TableQuery.FullTable.class, this.follower.tick(Role.FIRST, 200 * MILLI));
		assertThat(this.follower.responseReceived(whole, 9, true, 210 * MILLI).outdated()).isTrue();
		assertThat(this.freshness.ageNanos(210 * MILLI)).hasValue(210 * MILLI);
		assertThat(this.follower.tick(Role.FIRST, 300 * MILLI)).isEmpty();
		only(TableQuery.FullTable.class, this.follower.tick(Role.FIRST, 800 * MILLI));
	}

	// Guards against noticing the end of an outage only with the next change: a server
	// that leaves then would be taken for one whose registration expired.
	@Test
	void shouldDetectEndOfOutageBeforeTheNextChange() {
		long now = 0;
		this.follower.queryFailed(this.feed, false, now);
		while (now < 5_000 * MILLI) {
			now += 50 * MILLI;
			long failedAt = now;
			this.follower.tick(Role.FIRST, now).forEach((sent) -> this.follower.queryFailed(sent, false, failedAt));
		}
		while (this.freshness.outageEndNanos().isEmpty()) {
			now += 50 * MILLI;
			long respondedAt = now;
			this.follower.tick(Role.FIRST, now)
				.stream()
				.filter((sent) -> !(sent.query() instanceof TableQuery.FromGateway))
				.forEach((sent) -> this.follower.responseReceived(sent, 10, false, respondedAt));
		}
		assertThat(now).isLessThanOrEqualTo(5_800 * MILLI);
	}

	@Test
	void shouldBackOffLongerWithEachFailure() {
		Sent check = only(TableQuery.Check.class, this.follower.tick(Role.FIRST, 500 * MILLI));
		this.follower.queryFailed(check, false, 500 * MILLI);
		check = only(TableQuery.Check.class, this.follower.tick(Role.FIRST, 600 * MILLI));
		this.follower.queryFailed(check, false, 600 * MILLI);
		assertThat(this.follower.tick(Role.FIRST, 799 * MILLI)).isEmpty();
		only(TableQuery.Check.class, this.follower.tick(Role.FIRST, 800 * MILLI));
	}

	// Guards against a reader that the store no longer serves: other gateways would
	// rely on it.
	@Test
	void shouldNotCountAsReaderWhenStoreFails() {
		assertThat(this.follower.isReading(100 * MILLI)).isTrue();
		this.follower.queryFailed(this.feed, false, 100 * MILLI);
		assertThat(this.follower.isReading(100 * MILLI)).isFalse();
	}

	@Test
	void shouldIgnoreFailureWhenGatewayIsResting() {
		this.follower.tick(Role.RESTING, 100 * MILLI);
		assertThat(this.follower.queryFailed(this.feed, false, 110 * MILLI)).isEmpty();
		assertThat(this.follower.isFailing()).isFalse();
		assertThat(this.follower.tick(Role.RESTING, 200 * MILLI)).isEmpty();
	}

	// Guards against reporting a confirmation from before the suspension of the VM to
	// other gateways.
	@Test
	void shouldConfirmNothingToOthersUntilStoreRespondsAfterPause() {
		Sent sent = only(TableQuery.Check.class, this.follower.tick(Role.FIRST, 500 * MILLI));
		this.follower.resumedAfterPause(600 * MILLI);
		this.follower.responseReceived(sent, 10, false, 610 * MILLI);
		this.follower.reportReceived(10, true, Optional.of(605 * MILLI), 610 * MILLI);
		assertThat(this.follower.isReading(610 * MILLI)).isFalse();
		assertThat(this.follower.ownAgeNanos(610 * MILLI)).isEmpty();
		Sent again = only(TableQuery.Check.class, this.follower.tick(Role.FIRST, 610 * MILLI));
		this.follower.responseReceived(again, 11, true, 620 * MILLI);
		assertThat(this.follower.ownAgeNanos(620 * MILLI)).hasValue(10 * MILLI);
	}

	// -- a store that comes back from a copy

	// Guards against taking the restored table for an outdated one, since its versions
	// are lower.
	@Test
	void shouldReadWholeTableWhenStoreWasRestored() {
		this.follower.storeRestored(1, 100 * MILLI);
		Sent whole = only(TableQuery.FullTable.class, this.follower.tick(Role.FIRST, 100 * MILLI));
		assertThat(this.follower.responseReceived(whole, StoreVersion.of(1, 7), true, 110 * MILLI).outdated())
			.isFalse();
		Sent next = only(TableQuery.Feed.class, this.follower.tick(Role.FIRST, 110 * MILLI));
		assertThat(next.query()).isEqualTo(new TableQuery.Feed(StoreVersion.of(1, 7), TimeUnit.SECONDS.toNanos(20)));
	}

	@Test
	void shouldReadWholeTableAgainWhenResponseIsFromBeforeRestore() {
		this.follower.storeRestored(1, 100 * MILLI);
		Sent whole = only(TableQuery.FullTable.class, this.follower.tick(Role.FIRST, 100 * MILLI));
		assertThat(this.follower.responseReceived(whole, 12, true, 110 * MILLI).outdated()).isTrue();
		assertThat(this.follower.ownAgeNanos(110 * MILLI)).hasValue(110 * MILLI);
		only(TableQuery.FullTable.class, this.follower.tick(Role.FIRST, 700 * MILLI));
	}

	// Guards against hundreds of gateways that read whole tables from the store at once.
	@Test
	void shouldAskGatewaysBeforeStoreWhenRestingAndStoreWasRestored() {
		this.follower.tick(Role.RESTING, 90 * MILLI);
		this.follower.storeRestored(1, 100 * MILLI);
		assertThat(this.follower.tick(Role.RESTING, 249 * MILLI)).isEmpty();
		only(TableQuery.FromGateway.class, this.follower.tick(Role.RESTING, 250 * MILLI));
		only(TableQuery.FromGateway.class, this.follower.tick(Role.RESTING, 550 * MILLI));
		only(TableQuery.FullTable.class, this.follower.tick(Role.RESTING, 850 * MILLI));
	}

	@Test
	void shouldNotAskStoreWhenGatewaySentRestoredTable() {
		this.follower.tick(Role.RESTING, 90 * MILLI);
		this.follower.storeRestored(1, 100 * MILLI);
		only(TableQuery.FromGateway.class, this.follower.tick(Role.RESTING, 250 * MILLI));
		this.follower.reportReceived(StoreVersion.of(1, 7), true, Optional.of(240 * MILLI), 260 * MILLI);
		assertThat(this.follower.tick(Role.RESTING, 850 * MILLI)).isEmpty();
	}

	private static Sent only(Class<? extends TableQuery> kind, List<Sent> sent) {
		assertThat(sent).hasSize(1);
		assertThat(sent.getFirst().query()).isInstanceOf(kind);
		return sent.getFirst();
	}

}
