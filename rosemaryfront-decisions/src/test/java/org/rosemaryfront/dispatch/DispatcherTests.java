package org.rosemaryfront.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongUnaryOperator;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rosemaryfront.admission.Admission;
import org.rosemaryfront.admission.UrgentTarget;
import org.rosemaryfront.dispatch.BackendServer.Incarnation;
import org.rosemaryfront.dispatch.Dispatcher.CallRequirements;
import org.rosemaryfront.dispatch.Dispatcher.Choice;
import org.rosemaryfront.dispatch.FirstTokenModel.Work;
import org.rosemaryfront.routes.ServiceSpec.EngineSpec;
import org.rosemaryfront.speeds.SpeedSample;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class DispatcherTests {

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	private static final long LONG_AGO = -TimeUnit.MINUTES.toNanos(5);

	/** The capacity of an engine's KV cache, in tokens. */
	private static final long CACHE_TOKENS = 700_000;

	private final BackendTable table = new BackendTable();

	private final Dispatcher dispatcher = new Dispatcher(this.table, "a", () -> 0);

	private long nowNanos;

	@BeforeEach
	void register() {
		for (String id : List.of("s1", "s2", "s3")) {
			this.table.recordRegistration(server(id, false), LONG_AGO);
		}
	}

	// -- placement of prompts

	// If prompts with the same prefix are spread over the servers, each server prefills
	// the prefix again until no prefix stays in any cache, and half of the prefill
	// capacity is lost.
	@Test
	void shouldUseOneServerForPrefixWhenItHasCapacity() {
		Set<String> used = new HashSet<>();
		for (int i = 0; i < 4; i++) {
			BackendServer chosen = chosen(promptRequirements("part", 800));
			used.add(chosen.id());
			this.table.recordCallSent(start(chosen.id()), 0);
			this.table.recordPrefillStart(start(chosen.id()), prefix("part"), CACHE_TOKENS);
		}
		assertThat(used).hasSize(1);
	}

	// After the loss of a zone its prefixes move to other servers. When the dispatcher
	// assumed that servers cached them by the common order, a third of them were
	// prefilled again at each call.
	@Test
	void shouldChooseServerWhenItPrefilledPrefixForAnotherProcess() {
		for (String cachingServer : List.of("s1", "s2", "s3")) {
			PromptPrefix prefix = prefix("part of " + cachingServer);
			this.table.recordPeerPrefill(start(cachingServer), prefix.segments(), CACHE_TOKENS);
			assertThat(chosen(requirements(prefix, 800)).id()).isEqualTo(cachingServer);
		}
	}

	// The server that has a prefix cached has a long queue. Prefilling the prefix at
	// another server takes 60 ms of engine time and delays the calls queued there; a
	// transfer takes a few milliseconds.
	@Test
	void shouldTransferSegmentsWhenCachingServerHasLongQueue() {
		this.table.recordPrefillStart(start("s1"), prefix("part"), CACHE_TOKENS);
		this.table.recordCallSent(start("s1"), 40_000);
		Choice.Chosen chosen = choose(requirements(prefix("part"), 800));
		assertThat(chosen.server().id()).isNotEqualTo("s1");
		assertThat(chosen.transferSource()).map(BackendServer::id).contains("s1");
		assertThat(chosen.uncachedTokens()).isEqualTo(800);
	}

	// After the reclaim notice for a zone its servers accept no new calls, but their
	// caches remain available for two more seconds.
	@Test
	void shouldTransferSegmentsWhenCachingServerIsLeaving() {
		this.table.recordPrefillStart(start("s1"), prefix("part"), CACHE_TOKENS);
		this.table.recordRegistration(server("s1", true), 0);
		assertThat(choose(requirements(prefix("part"), 800)).transferSource()).map(BackendServer::id).contains("s1");
	}

	// Guards against KV cache entries that one version wrote and another one reads.
	@Test
	void shouldTransferSegmentsOnlyBetweenServersOfOneVersion() {
		this.table.recordRegistration(serverOfVersion("s1", "v2"), LONG_AGO);
		this.table.recordPrefillStart(start("s1"), prefix("part"), CACHE_TOKENS);
		this.table.recordCallSent(start("s1"), 40_000);
		assertThat(choose(requirements(prefix("part"), 800)).transferSource()).isEmpty();
		this.table.recordRegistration(serverOfVersion("s2", "v2"), LONG_AGO);
		Choice.Chosen chosen = choose(requirements(prefix("part"), 800));
		assertThat(chosen.server().id()).isEqualTo("s2");
		assertThat(chosen.transferSource()).map(BackendServer::id).contains("s1");
	}

	@ParameterizedTest
	@ValueSource(longs = { 0, 160_000 })
	void shouldPrefillSegmentsWhenTransferIsNotFaster(long tokenBytes) {
		this.table.recordPrefillStart(start("s1"), prefix("part"), CACHE_TOKENS);
		this.table.recordCallSent(start("s1"), 40_000);
		EngineSpec slow = new EngineSpec(4, CACHE_TOKENS, tokenBytes, 1_000);
		Choice.Chosen chosen = choose(new CallRequirements("llm", prefix("part"), Optional.of(slow), 800, 10_000, 0));
		assertThat(chosen.transferSource()).isEmpty();
		assertThat(chosen.uncachedTokens()).isEqualTo(4_800);
	}

	// A cached segment can be reused only after the same preceding segments: the same
	// text after another beginning has other KV cache entries.
	@Test
	void shouldReuseSegmentsOnlyWhenPrecedingSegmentsMatch() {
		this.table.recordPrefillStart(start("s1"), PromptPrefix.of(List.of("a", "b"), List.of(1_000, 3_000)),
				CACHE_TOKENS);
		PromptPrefix other = PromptPrefix.of(List.of("c", "b"), List.of(1_000, 3_000));
		assertThat(choose(requirements(other, 800)).uncachedTokens()).isEqualTo(4_800);
		PromptPrefix longer = PromptPrefix.of(List.of("a", "d"), List.of(1_000, 3_000));
		assertThat(choose(requirements(longer, 800)).uncachedTokens()).isEqualTo(3_800);
	}

	// An engine's KV cache is limited; the least recently used segments are evicted.
	@Test
	void shouldEvictSegmentsWhenCacheIsFull() {
		for (int i = 0; i < 40; i++) {
			this.table.recordPrefillStart(start("s1"), prefix("part " + i), 80_000);
		}
		assertThat(choose(requirements(prefix("part 0"), 800)).uncachedTokens()).isEqualTo(4_800);
		assertThat(choose(requirements(prefix("part 39"), 800)).uncachedTokens()).isEqualTo(800);
	}

	@Test
	void shouldDiscardSegmentsWhenServerRestarts() {
		this.table.recordPrefillStart(start("s1"), prefix("part"), CACHE_TOKENS);
		this.table.recordRegistration(serverStartedAt("s1", 77, false), LONG_AGO);
		this.table.recordPeerPrefill(start("s1"), prefix("part").segments(), CACHE_TOKENS);
		assertThat(choose(requirements(prefix("part"), 800)).uncachedTokens()).isEqualTo(4_800);
	}

	// Each segment is reported to the other processes twice, since a report may be lost.
	@Test
	void shouldReportSegmentsTwice() {
		this.table.recordPrefillStart(start("s1"), prefix("part"), CACHE_TOKENS);
		this.table.recordPrefillStart(start("s1"), prefix("part"), CACHE_TOKENS);
		assertThat(this.table.takeSegmentUpdates()).containsEntry(start("s1"), prefix("part").segments());
		assertThat(this.table.takeSegmentUpdates()).containsEntry(start("s1"), prefix("part").segments());
		assertThat(this.table.takeSegmentUpdates()).isEmpty();
	}

	// All processes are killed and restarted while the servers keep running. With empty
	// caches assumed, every prompt seemed to need a full prefill and calls that were due
	// were rejected.
	@Test
	void shouldAssumeWarmCacheWhenServerWasRegisteredAtStart() {
		BackendTable restarted = new BackendTable();
		restarted.recordExistingRegistration(server("s1", false));
		BackendTable scaledOut = new BackendTable();
		scaledOut.recordRegistration(server("s1", false), 0);
		CallRequirements requirements = new CallRequirements("llm", PromptPrefix.of(List.of("part"), List.of(100_000)),
				Optional.empty(), 800, 600, 0);
		assertThat(new Dispatcher(restarted, "a", () -> 0).choose(requirements, Set.of(), SECOND))
			.isInstanceOf(Choice.Chosen.class);
		assertThat(new Dispatcher(scaledOut, "a", () -> 0).choose(requirements, Set.of(), SECOND))
			.isInstanceOf(Choice.Full.class);
	}

	// One prefix is requested far more often than others: calls would queue at its
	// server while other servers are idle.
	@Test
	void shouldUseAnotherServerWhenCachingServerHasLongQueue() {
		BackendServer first = chosen(promptRequirements("part", 800));
		this.table.recordCallSent(start(first.id()), 100_000);
		assertThat(chosen(promptRequirements("part", 2_000)).id()).isNotEqualTo(first.id());
	}

	@Test
	void shouldUseAllServersWhenPrefixesDiffer() {
		Set<String> used = new HashSet<>();
		for (int i = 0; i < 50; i++) {
			used.add(chosen(promptRequirements("part-" + i, 800)).id());
		}
		assertThat(used).hasSize(3);
	}

	@Test
	void shouldUseAnotherServerWhenOtherProcessesLoadIt() {
		BackendServer first = chosen(promptRequirements("part", 2_000));
		this.table.recordPeerUse("gateway-2", Map.of(first.incarnation(), new BackendUse(9, 100_000)));
		assertThat(chosen(promptRequirements("part", 2_000)).id()).isNotEqualTo(first.id());
		this.table.recordPeerUse("gateway-2", Map.of());
		assertThat(chosen(promptRequirements("part", 2_000))).isEqualTo(first);
	}

	@Test
	void shouldUseAnotherServerWhenFirstTokensAreSlow() {
		BackendServer first = chosen(promptRequirements("part", 2_000));
		for (int i = 0; i < 30; i++) {
			this.table.recordResponseTime(start(first.id()), 100, 900, 0);
		}
		assertThat(chosen(promptRequirements("part", 2_000)).id()).isNotEqualTo(first.id());
	}

	// Guards against servers of calls without a prompt that get the same share of them
	// although some are much slower.
	@Test
	void shouldSendCallsWithoutPromptToFasterServersWhenLoadIsEqual() {
		for (int i = 0; i < 30; i++) {
			long now = i * SECOND / 10;
			this.dispatcher.recordResponse("llm", start("s1"), 250, now);
			this.dispatcher.recordResponse("llm", start("s2"), 100, now);
			this.dispatcher.recordResponse("llm", start("s3"), 100, now);
		}
		Set<String> used = new HashSet<>();
		for (int i = 0; i < 4; i++) {
			Choice choice = this.dispatcher.choose(withoutPrompt(), Set.of(), 3 * SECOND);
			String id = ((Choice.Chosen) choice).server().id();
			this.table.recordCallSent(start(id), 0);
			used.add(id);
		}
		assertThat(used).containsExactlyInAnyOrder("s2", "s3");
	}

	// Guards against a server that never gets a call again, because its few measured
	// calls
	// were slower.
	@ParameterizedTest
	@CsvSource({ "11, 10, 300, 700", "50, 10, 4, 40" })
	void shouldSendCallsWithoutPromptToSlowerServerWhenAllAreIdle(long slowMillis, long millis, int least, int most) {
		Random random = new Random(1);
		Dispatcher drawing = new Dispatcher(this.table, "a", random::nextDouble);
		Map<String, Long> responseMillis = Map.of("s1", slowMillis, "s2", millis);
		Map<String, Integer> calls = new HashMap<>();
		for (int i = 0; i < 1_000; i++) {
			long now = i * SECOND / 200;
			Choice.Chosen chosen = (Choice.Chosen) drawing.choose(withoutPrompt(), Set.of("s3"), now);
			Incarnation server = chosen.server().incarnation();
			calls.merge(server.id(), 1, Integer::sum);
			this.table.recordCallSent(server, 0);
			this.table.recordCallEnd(server, false, now);
			drawing.recordResponse("llm", server, responseMillis.get(server.id()), now);
		}
		assertThat(calls.getOrDefault("s1", 0)).isBetween(least, most);
	}

	// Guards against a factor that includes itself: it settled at the square root.
	@Test
	void shouldExpectMeasuredTimeWhenServerIsHalfAsFast() {
		Work work = Work.of(0, 2_000, 2_000, 0);
		double typicalMillis = this.dispatcher.model("llm").expectedMillis(work);
		for (int i = 0; i < 60; i++) {
			for (String id : List.of("s1", "s2", "s3")) {
				double factor = id.equals("s3") ? 2 : 1;
				this.dispatcher.recordFirstToken("llm", start(id), work, (long) (factor * typicalMillis), i * SECOND);
			}
		}
		CallRequirements requirements = new CallRequirements("llm", PromptPrefix.none(), Optional.empty(), 2_000,
				10_000, 0);
		Choice choice = this.dispatcher.choose(requirements, Set.of("s1", "s2"), 60 * SECOND);
		assertThat((double) ((Choice.Chosen) choice).expectedMillis()).isCloseTo(2 * typicalMillis,
				within(0.2 * typicalMillis));
	}

	@Test
	void shouldKnowSpeedWhenOnlyOtherProcessesMeasuredIt() {
		this.table.recordPeerSpeed(new SpeedSample(start("s1"), 30, 30 * Math.log(2.5)), 0);
		assertThat(this.table.timeFactor(server("s1", false), 0)).isGreaterThan(2);
		assertThat(this.table.takeSpeedSamples()).isEmpty();
	}

	// Guards against reports of a broken gateway, and against those about an earlier run.
	@Test
	void shouldIgnoreSpeedWhenSampleIsInvalidOrOfAnotherRun() {
		this.table.recordPeerSpeed(new SpeedSample(start("s1"), 1, 99), 0);
		this.table.recordPeerSpeed(new SpeedSample(new Incarnation("s1", 77), 30, 30), 0);
		assertThat(this.table.timeFactor(server("s1", false), 0)).isEqualTo(1);
		assertThat(this.table.invalidSpeeds()).isEqualTo(1);
	}

	@Test
	void shouldForgetSpeedWhenServerRestarts() {
		this.table.recordPeerSpeed(new SpeedSample(start("s1"), 30, 30), 0);
		this.table.recordRegistration(serverStartedAt("s1", 77, false), SECOND);
		assertThat(this.table.timeFactor(serverStartedAt("s1", 77, false), SECOND)).isEqualTo(1);
		assertThat(this.table.timeFactor(server("s1", false), SECOND)).isEqualTo(1);
	}

	// -- rejection of calls

	// Under overload, calls were sent to servers that could only respond late and
	// delayed the calls queued after them, so that no call met its target. A call whose
	// first token cannot be in time is rejected immediately, less urgent calls first.
	@ParameterizedTest
	@ValueSource(ints = { 0, 1, 2 })
	void shouldRejectLessUrgentCallsFirstWhenServersAreOverloaded(int priority) {
		List<Integer> accepted = new ArrayList<>();
		for (String id : List.of("s1", "s2", "s3")) {
			this.table.recordCallSent(start(id), 40_000);
		}
		for (int rank = 0; rank <= 2; rank++) {
			CallRequirements requirements = new CallRequirements("llm", PromptPrefix.none(), Optional.empty(), 1_000,
					500, rank);
			if (this.dispatcher.choose(requirements, Set.of(), 0) instanceof Choice.Chosen) {
				accepted.add(rank);
			}
		}
		assertThat(accepted.contains(priority)).isEqualTo(priority == 0);
	}

	// Guards against long prompts of less urgent calls ahead of urgent ones: with a
	// target
	// that is far off, they were sent however long the urgent ones behind them waited.
	@Test
	void shouldRejectLessUrgentCallsOfOrganisationsWhenUrgentOnesWouldWaitAndSpeedIsKnown() {
		Admission admission = Admission.of(() -> 0.5);
		admission.urgentTargets(Map.of("llm", new UrgentTarget(0, 500)));
		Dispatcher limited = new Dispatcher(this.table, "a", admission, () -> 0);
		for (String id : List.of("s1", "s2", "s3")) {
			this.table.recordCallSent(start(id), 24_000);
		}
		assertThat(limited.choose(organisationRequirements(10_000, 1), Set.of(), 0)).isInstanceOf(Choice.Chosen.class);
		Work work = Work.of(0, 2_000, 2_000, 0);
		for (int i = 0; i < 20; i++) {
			limited.recordFirstToken("llm", start("s" + (1 + i % 3)), work,
					(long) limited.model("llm").expectedMillis(work), 0);
		}
		Choice urgent = limited.choose(organisationRequirements(500, 0), Set.of(), 0);
		Choice lessUrgent = limited.choose(organisationRequirements(10_000, 1), Set.of(), 0);
		assertThat(urgent).isInstanceOf(Choice.Chosen.class);
		assertThat(lessUrgent).isInstanceOfSatisfying(Choice.Full.class,
				(full) -> assertThat(full.refused()).isPresent());
	}

	private static CallRequirements organisationRequirements(long targetMillis, int priority) {
		return new CallRequirements("llm", PromptPrefix.none(), Optional.empty(), 1_000, targetMillis, priority, "sfax",
				20_000, targetMillis);
	}

	// A server crashes two seconds into a stream that can be resumed at another server.
	// The first token was due long before: when the call was rejected for that, the
	// stream was broken off although other servers were idle.
	@ParameterizedTest
	@CsvSource({ "true, 2000", "false, 0" })
	void shouldNotRejectLateCallWhenItHasRun(boolean ran, long expectedMillis) {
		long remainingMillis = CallRequirements.remainingMillis(600 - 2_600, 2_000, ran);
		assertThat(remainingMillis).isEqualTo(expectedMillis);
		CallRequirements requirements = new CallRequirements("llm", PromptPrefix.none(), Optional.empty(), 1_000,
				remainingMillis, 0);
		Choice choice = this.dispatcher.choose(requirements, Set.of("s1"), 0);
		assertThat(choice instanceof Choice.Chosen).isEqualTo(ran);
	}

	// Guards against refusing the largest prompts always, because reading them takes
	// longer than the target at any server.
	@ParameterizedTest
	@CsvSource({ "0, 10000, true", "24000, 10000, false", "0, 800, false" })
	void shouldSendPromptLongerThanTargetWhenServersAreIdle(long queuedTokens, long remainingMillis, boolean sent) {
		for (String id : List.of("s1", "s2", "s3")) {
			this.table.recordCallSent(start(id), queuedTokens);
		}
		CallRequirements requirements = new CallRequirements("llm", PromptPrefix.none(), Optional.empty(), 60_000, 500,
				1, "", remainingMillis, 500);
		Choice choice = this.dispatcher.choose(requirements, Set.of(), 0);
		assertThat(choice instanceof Choice.Chosen).isEqualTo(sent);
	}

	// Guards against times learned while servers were slow that refuse all later calls,
	// and that therefore no call corrects.
	@ParameterizedTest
	@ValueSource(longs = { 1_000, 2_000, 5_000, 15_000 })
	void shouldSendCallsWhenServersAreFastAgain(long slowMillis) {
		Random tokens = new Random(1);
		call(this.dispatcher, 200, 10_000, tokens, (_) -> slowMillis);
		assertThat(call(this.dispatcher, 400, 10_000, tokens, (own) -> 40 + own / 60)).isGreaterThan(360);
	}

	// Guards against the same where calls have so little time that what was learned says
	// that they cannot be answered.
	@ParameterizedTest
	@CsvSource({ "2000, 1500, 1", "2000, 1500, 2", "2000, 1500, 3", "2000, 1500, 4", "2000, 1500, 5", "2000, 1500, 6",
			"1000, 800, 1", "2000, 800, 2", "2000, 1000, 3", "5000, 1500, 3", "15000, 1500, 3" })
	void shouldSendCallsWhenServersAreFastAgainAndTimeoutIsShort(long slowMillis, long timeoutMillis, long seed) {
		Dispatcher drawing = new Dispatcher(this.table, "a", Admission.of(new Random(seed)::nextDouble), () -> 0);
		Random tokens = new Random(1);
		call(drawing, 200, timeoutMillis, tokens, (_) -> slowMillis);
		int sent = call(drawing, 400, timeoutMillis, tokens, (own) -> 40 + own / 60);
		assertThat(sent).isGreaterThan(360);
	}

	// Returns how many of the calls, ten a second, were sent.
	private int call(Dispatcher dispatcher, int calls, long timeoutMillis, Random tokens,
			LongUnaryOperator firstTokenMillis) {
		int sent = 0;
		for (int i = 0; i < calls; i++) {
			this.nowNanos += SECOND / 10;
			int own = 500 + tokens.nextInt(3_000);
			CallRequirements requirements = new CallRequirements("llm", PromptPrefix.none(), Optional.empty(), own, 500,
					0, "sfax", timeoutMillis, 500);
			if (dispatcher.choose(requirements, Set.of(), this.nowNanos) instanceof Choice.Chosen chosen) {
				dispatcher.recordFirstToken("llm", chosen.server().incarnation(), chosen.work().orElseThrow(),
						firstTokenMillis.applyAsLong(own), this.nowNanos);
				sent++;
			}
		}
		return sent;
	}

	@Test
	void shouldRejectWhenAllSlotsAreInUse() {
		for (String id : List.of("s1", "s2", "s3")) {
			for (int i = 0; i < 4; i++) {
				this.table.recordCallSent(start(id), 0);
			}
		}
		assertThat(this.dispatcher.choose(withoutPrompt(), Set.of(), 0)).isEqualTo(new Choice.Full(3, 0));
	}

	@Test
	void shouldFindNoServerWhenAllWereTried() {
		assertThat(this.dispatcher.choose(withoutPrompt(), Set.of("s1", "s2", "s3"), 0))
			.isEqualTo(new Choice.NoServer());
	}

	// -- calls without a prompt

	@Test
	void shouldPreferOwnZoneWhenLoadIsEqual() {
		this.table.recordRegistration(new BackendServer("s0", 0, "llm", "v1", "h:1", "b", 4, false, false, 0),
				LONG_AGO);
		assertThat(chosen(withoutPrompt()).zone()).isEqualTo("a");
	}

	@Test
	void shouldUseServersInTurnWhenLoadIsEqual() {
		Set<String> used = new HashSet<>();
		for (int i = 0; i < 3; i++) {
			String id = chosen(withoutPrompt()).id();
			this.table.recordCallSent(start(id), 0);
			this.table.recordCallEnd(start(id), false, 0);
			used.add(id);
		}
		assertThat(used).hasSize(3);
	}

	// -- servers that leave or fail

	@Test
	void shouldNotChooseServerWhenItIsLeaving() {
		this.table.recordRegistration(server("s1", true), 0);
		this.table.recordRegistration(server("s2", true), 0);
		assertThat(chosen(withoutPrompt()).id()).isEqualTo("s3");
	}

	// The store is unavailable for some seconds and the registrations of live servers
	// lapse; they register again two seconds after it recovers. If they are removed
	// immediately, no server is left for calls.
	@ParameterizedTest
	@CsvSource({ "0, 1600", "500, 1600", "1000, 1200", "2200, 0", "9000, 0" })
	void shouldRetainLapsedServerWhenRegistryRecoveredRecently(long sinceReturnMillis, long keptMillis) {
		long now = TimeUnit.MILLISECONDS.toNanos(sinceReturnMillis);
		long dropped = now + TimeUnit.MILLISECONDS.toNanos(keptMillis);
		this.table.recordLapse("s1", now, OptionalLong.of(0));
		assertThat(this.table.removeExpired(dropped - 1)).isEmpty();
		assertThat(this.table.removeExpired(dropped)).extracting(BackendServer::id).containsExactly("s1");
	}

	@Test
	void shouldRemoveServerImmediatelyWhenRegistryWasNeverUnavailable() {
		this.table.recordLapse("s1", 1_000, OptionalLong.empty());
		assertThat(this.table.removeExpired(1_000)).hasSize(1);
	}

	@Test
	void shouldRetainLapsedServerWhenItRegistersAgain() {
		this.table.recordLapse("s1", 0, OptionalLong.of(0));
		assertThat(this.table.recordRegistration(server("s1", false), 500)).isTrue();
		assertThat(this.table.removeExpired(9 * SECOND)).isEmpty();
	}

	// The registration of a crashed server lapses only after some seconds; until then
	// consecutive calls are sent to it and fail.
	@Test
	void shouldAvoidServerForSomeTimeWhenCallsFailConsecutively() {
		String failing = chosen(withoutPrompt()).id();
		for (int i = 0; i < 2; i++) {
			this.table.recordCallSent(start(failing), 0);
			this.table.recordCallEnd(start(failing), true, 0);
		}
		assertThat(chosen(withoutPrompt()).id()).isNotEqualTo(failing);
		Set<String> later = new HashSet<>();
		for (int i = 0; i < 3; i++) {
			Choice.Chosen chosen = (Choice.Chosen) this.dispatcher.choose(withoutPrompt(), Set.of(),
					TimeUnit.SECONDS.toNanos(9));
			this.table.recordCallSent(start(chosen.server().id()), 0);
			later.add(chosen.server().id());
		}
		assertThat(later).contains(failing);
	}

	@Test
	void shouldUseAvoidedServersWhenNoOtherIsLeft() {
		for (String id : List.of("s1", "s2", "s3")) {
			this.table.recordCallEnd(start(id), true, 0);
			this.table.recordCallEnd(start(id), true, 0);
		}
		assertThat(this.dispatcher.choose(withoutPrompt(), Set.of(), 0)).isInstanceOf(Choice.Chosen.class);
	}

	// -- servers that restart

	// A server crashes with all slots in use and restarts under its id a second later.
	// The calls of its previous run were still counted: it got no new calls, and each
	// caller was rejected although the server was idle.
	@Test
	void shouldResetLoadWhenServerRestarts() {
		for (String id : List.of("s1", "s2", "s3")) {
			for (int i = 0; i < 4; i++) {
				this.table.recordCallSent(start(id), 9_000);
			}
			this.table.recordPeerUse("gateway-2", Map.of(start(id), new BackendUse(4, 9_000)));
		}
		assertThat(this.table.recordRegistration(serverStartedAt("s2", 77, false), 0)).isTrue();
		this.table.recordPeerUse("gateway-2", Map.of(start("s2"), new BackendUse(4, 9_000)));
		Choice.Chosen chosen = (Choice.Chosen) this.dispatcher.choose(withoutPrompt(), Set.of(), 0);
		assertThat(chosen.server().startedMillis()).isEqualTo(77);
		assertThat(chosen.load()).isZero();
	}

	// Calls of the previous run end after the new run has registered. If counted for the
	// new run, they hide calls that it really executes and count as its failures.
	@Test
	void shouldIgnoreCallEndsOfPreviousRunWhenServerRestarts() {
		this.table.recordCallSent(start("s1"), 500);
		this.table.recordRegistration(serverStartedAt("s1", 77, false), 0);
		this.table.recordCallSent(new Incarnation("s1", 77), 800);
		this.table.recordCallEnd(start("s1"), true, 0);
		this.table.recordPrefillEnd(start("s1"), 500);
		this.table.recordCallEnd(start("s1"), true, 0);
		this.table.recordCallCancelled(start("s1"));
		assertThat(this.table.ownUse()).containsEntry(new Incarnation("s1", 77), new BackendUse(1, 800));
		Choice.Chosen chosen = (Choice.Chosen) this.dispatcher.choose(withoutPrompt(), Set.of("s2", "s3"), 0);
		assertThat(chosen.candidates()).isOne();
	}

	// -- registrations that cannot be parsed

	// Another writer corrupts the registration of a valid server. The server gets no
	// calls until it has written its registration again, and its load is retained.
	@Test
	void shouldNotChooseServerWhenRegistrationIsInvalid() {
		this.table.recordCallSent(start("s1"), 700);
		this.table.recordInvalidRegistration("s1");
		this.table.recordInvalidRegistration("never-seen");
		assertThat(this.dispatcher.choose(withoutPrompt(), Set.of("s2", "s3"), 0)).isInstanceOf(Choice.NoServer.class);
		assertThat(this.table.recordRegistration(server("s1", false), 0)).isTrue();
		assertThat(this.table.ownUse()).containsEntry(start("s1"), new BackendUse(1, 700));
		assertThat(this.dispatcher.choose(withoutPrompt(), Set.of("s2", "s3"), 0)).isInstanceOf(Choice.Chosen.class);
	}

	private BackendServer chosen(CallRequirements requirements) {
		return choose(requirements).server();
	}

	private Choice.Chosen choose(CallRequirements requirements) {
		return (Choice.Chosen) this.dispatcher.choose(requirements, Set.of(), 0);
	}

	private static PromptPrefix prefix(String segment) {
		return PromptPrefix.of(List.of(segment), List.of(4_000));
	}

	private static CallRequirements requirements(PromptPrefix prefix, int ownTokens) {
		return new CallRequirements("llm", prefix, Optional.of(new EngineSpec(4, CACHE_TOKENS, 160_000, 370_000)),
				ownTokens, 10_000, 0);
	}

	private static CallRequirements promptRequirements(String segment, int ownTokens) {
		return requirements(prefix(segment), ownTokens);
	}

	private static CallRequirements withoutPrompt() {
		return new CallRequirements("llm", PromptPrefix.none(), Optional.empty(), 0, 500, 0);
	}

	private static BackendServer server(String id, boolean leaving) {
		return serverStartedAt(id, 0, leaving);
	}

	private static BackendServer serverOfVersion(String id, String version) {
		return new BackendServer(id, 0, "llm", version, "127.0.0.1:1", "a", 4, false, false, 1);
	}

	private static BackendServer serverStartedAt(String id, long startedMillis, boolean leaving) {
		return new BackendServer(id, startedMillis, "llm", "v1", "127.0.0.1:1", "a", 4, leaving, false, 0);
	}

	private static Incarnation start(String id) {
		return new Incarnation(id, 0);
	}

}
