package org.rosemaryfront.moves;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.moves.CopyAnswer.Copied;
import org.rosemaryfront.moves.CopyAnswer.NoRoom;
import org.rosemaryfront.moves.MoveDecision.Abandon;
import org.rosemaryfront.moves.MoveDecision.Copy;
import org.rosemaryfront.moves.MoveDecision.Reason;
import org.rosemaryfront.moves.MoveDecision.Stay;
import org.rosemaryfront.moves.MovePlanner.Planned;
import org.rosemaryfront.routes.ServiceSpec.EngineSpec;
import org.rosemaryfront.routes.ServiceSpec.MoveSpec;

import static org.assertj.core.api.Assertions.assertThat;

class MovePlannerTests {

	private static final BackendServer SOURCE = server("source", "a", "v1", false);

	private static final int GAP_MILLIS = 500;

	/** A transfer of 1,000 tokens takes 100 ms within a zone. */
	private static final EngineSpec ENGINE = engine(1_000);

	private final MoveTable moves = MoveTable.empty();

	private int retries = 100;

	@ParameterizedTest
	@CsvSource({ "0, false", "200, true", "201, false" })
	void shouldStayOnlyWhenRunIsSureToEnd(long tokensLeft, boolean stays) {
		OptionalLong maximum = (tokensLeft > 0) ? OptionalLong.of(100 + tokensLeft) : OptionalLong.empty();
		RunState run = new RunState("c1", 1, 900, 100, maximum, 10, GAP_MILLIS, false);
		assertThat(decision(plan(2_000, List.of(run), target("t", "a"))) instanceof Stay).isEqualTo(stays);
	}

	// Guards against a stream that goes on at another version, or at a server that leaves
	// as well.
	@ParameterizedTest
	@CsvSource({ "v1, false, true", "v2, false, false", "v1, true, false" })
	void shouldMoveOnlyToServerOfSameVersionThatStays(String version, boolean leaving, boolean moves) {
		MoveTarget target = new MoveTarget(server("t", "a", version, leaving), 4, 100_000);
		assertThat(decision(plan(2_000, List.of(run("c1", 1)), target)) instanceof Copy).isEqualTo(moves);
	}

	@ParameterizedTest
	@CsvSource({ "1, 1000, true", "0, 1000, false", "1, 999, false" })
	void shouldMoveOnlyToServerWithRoom(int slots, long tokens, boolean moves) {
		MoveTarget target = new MoveTarget(server("t", "a", "v1", false), slots, tokens);
		assertThat(decision(plan(2_000, List.of(run("c1", 1)), target)) instanceof Copy).isEqualTo(moves);
	}

	@Test
	void shouldPreferOwnZoneOfSource() {
		for (int i = 0; i < 20; i++) {
			MoveDecision decision = decision(
					plan(2_000, List.of(run("c" + i, 1)), target("far", "b"), target("near", "a")));
			assertThat(((Copy) decision).target().id()).isEqualTo("near");
		}
	}

	// Guards against gateways that all choose the server with the most room.
	@Test
	void shouldSpreadRunsInProportionToRoom() {
		MoveTarget small = new MoveTarget(server("small", "b", "v1", false), 10, 100_000);
		MoveTarget large = new MoveTarget(server("large", "b", "v1", false), 30, 100_000);
		this.retries = 400;
		long atLarge = IntStream.range(0, 400)
			.mapToObj((i) -> (Copy) decision(plan(2_000, List.of(run("c" + i, 1)), small, large)))
			.filter((copy) -> copy.target().id().equals("large"))
			.count();
		assertThat(atLarge).isBetween(260L, 340L);
	}

	// Guards against a link whose copies all come too late because they share it.
	@Test
	void shouldCopyMostUrgentThenIrretrievableThenSmallestFirst() {
		RunState resumable = new RunState("resumable", 0, 50, 0, OptionalLong.empty(), 8, GAP_MILLIS, true);
		List<RunState> runs = List.of(run("last", 2, 2_000), resumable, run("large", 0, 900), run("small", 0, 100));
		List<Planned> planned = plan(2_000, runs, target("t", "a"));
		assertThat(planned).extracting((one) -> one.run().call())
			.containsExactly("small", "large", "resumable", "last");
		assertThat(planned).extracting((one) -> one.decision() instanceof Copy)
			.containsExactly(true, true, true, false);
	}

	@ParameterizedTest
	@CsvSource({ "600, 1, true", "599, 1, false", "600, 0, false" })
	void shouldCopyOnlyWhenTimeAndRetryAreLeft(long remainingMillis, int retriesLeft, boolean copies) {
		this.retries = retriesLeft;
		assertThat(decision(plan(remainingMillis, List.of(run("c1", 1)), target("t", "a"))) instanceof Copy)
			.isEqualTo(copies);
		assertThat(this.retries).isEqualTo(copies ? 0 : retriesLeft);
	}

	// Guards against a pause that the caller sees as late: copies queued before the last
	// transfer delay it.
	@ParameterizedTest
	@CsvSource({ "0, Switch", "5000, Stay" })
	void shouldSwitchWhenPauseIsShort(long queuedTokens, String decision) {
		copied("c1", run("c1", 1));
		if (queuedTokens > 0) {
			copying(run("c2", 1, queuedTokens));
		}
		assertThat(decision(plan(2_000, List.of(run("c1", 1)), target("t", "a"))).getClass().getSimpleName())
			.isEqualTo(decision);
	}

	// Guards against first copies of other gateways that delay the last one: behind them
	// a
	// further copy is complete.
	@ParameterizedTest
	@CsvSource({ "1, 1, Switch", "2, 1, Copy", "2, 2, Switch" })
	void shouldSwitchBehindFirstCopiesOfOtherGateways(int runs, int copies, String decision) {
		for (int i = 0; i < copies; i++) {
			copied("c1", run("c1", 1));
		}
		LeavingServer shared = new LeavingServer(SOURCE, 0, TimeUnit.SECONDS.toNanos(2), runs);
		assertThat(decision(planner().plan(shared, List.of(run("c1", 1)), List.of(target("t", "a")), 0)).getClass()
			.getSimpleName()).isEqualTo(decision);
	}

	// Guards against gateways that all copy at the same moment, and against more copies
	// than a link can carry.
	@ParameterizedTest
	@CsvSource({ "10, 0, 0, 5", "10, 900, 165, 195", "10, 1999, 0, 0", "20, 900, 70, 110", "20, 1400, 80, 120" })
	void shouldSpreadCopiesOfGatewaysOverNotice(int runs, long afterMillis, int atLeast, int atMost) {
		LeavingServer shared = new LeavingServer(SOURCE, 0, TimeUnit.SECONDS.toNanos(2), runs);
		this.retries = 1_000;
		long copies = IntStream.range(0, 200)
			.mapToObj((i) -> planner().plan(shared, List.of(run("c" + i, 1, 500)), List.of(target("t", "a")),
					TimeUnit.MILLISECONDS.toNanos(afterMillis)))
			.filter((planned) -> decision(planned) instanceof Copy)
			.count();
		assertThat(copies).isBetween((long) atLeast, (long) atMost);
	}

	@Test
	void shouldStartNoFurtherCopyWhenSwitchWaits() {
		copied("c1", run("c1", 1));
		copying(run("c2", 1, 5_000));
		List<Planned> planned = plan(2_000, List.of(run("c0", 0), run("c1", 1)), target("t", "a"));
		assertThat(planned).extracting(Planned::decision).containsOnly(new Stay());
	}

	@ParameterizedTest
	@CsvSource({ "2000, Copy", "1100, Switch", "600, Abandon" })
	void shouldCopyAgainUntilLastChanceWhenMuchIsNew(long remainingMillis, String decision) {
		copied("c1", run("c1", 1));
		RunState grown = run("c1", 1, 7_000);
		assertThat(decision(plan(remainingMillis, List.of(grown), target("t", "a"))).getClass().getSimpleName())
			.isEqualTo(decision);
	}

	@Test
	void shouldGiveUpWhenServerWithCopyLeavesAndNoOtherHasRoom() {
		copied("c1", run("c1", 1));
		assertThat(decision(plan(2_000, List.of(run("c1", 1))))).isEqualTo(new Abandon(Reason.TARGET_LOST));
		assertThat(decision(plan(2_000, List.of(run("c1", 1)), target("u", "a")))).isInstanceOf(Copy.class);
	}

	@Test
	void shouldTryFewServersWhenTheyRefuse() {
		List<String> tried = new ArrayList<>();
		MoveTarget[] targets = IntStream.range(0, 6).mapToObj((i) -> target("t" + i, "a")).toArray(MoveTarget[]::new);
		while (decision(plan(2_000, List.of(run("c1", 1)), targets)) instanceof Copy copy) {
			tried.add(copy.target().id());
			long attempt = this.moves.copying(run("c1", 1), SOURCE, copy.target(), copy.transfer()).attempt();
			this.moves.answered("c1", attempt, SOURCE, new NoRoom(Optional.empty()), 0);
		}
		assertThat(tried).hasSize(3).doesNotHaveDuplicates();
		assertThat(this.retries).isEqualTo(99);
	}

	// Guards against copies between engines whose links are not known.
	@Test
	void shouldMoveNothingWhenEnginesCannot() {
		EngineSpec fixed = new EngineSpec(4, 100_000, 12_500, 1_000);
		EngineSpec unknownLink = new EngineSpec(4, 100_000, 0, 0, Optional.of(new MoveSpec(5_000, 1)));
		List<RunState> runs = List.of(run("c1", 1));
		assertThat(
				MovePlanner.of(fixed, this.moves, () -> true).plan(source(2_000), runs, List.of(target("t", "a")), 0))
			.isEmpty();
		assertThat(decision(MovePlanner.of(unknownLink, this.moves, () -> true)
			.plan(source(2_000), runs, List.of(target("t", "a")), 0))).isEqualTo(new Stay());
	}

	private List<Planned> plan(long remainingMillis, List<RunState> runs, MoveTarget... targets) {
		return planner().plan(source(remainingMillis), runs, List.of(targets), 0);
	}

	private MovePlanner planner() {
		return MovePlanner.of(ENGINE, this.moves, this::takeRetry);
	}

	private boolean takeRetry() {
		boolean taken = this.retries > 0;
		this.retries -= taken ? 1 : 0;
		return taken;
	}

	private static MoveDecision decision(List<Planned> planned) {
		return planned.getFirst().decision();
	}

	private long copying(RunState run) {
		MoveDecision.Transfer transfer = new MoveDecision.Transfer(ENGINE.transferMillis(run.tokens()), 0, 1);
		return this.moves.copying(run, SOURCE, server("t", "a", "v1", false), transfer).attempt();
	}

	private void copied(String call, RunState run) {
		this.moves.answered(call, copying(run), SOURCE, new Copied("h1", 4), 0);
	}

	private static LeavingServer source(long remainingMillis) {
		return new LeavingServer(SOURCE, 0, TimeUnit.MILLISECONDS.toNanos(remainingMillis), 1);
	}

	private static RunState run(String call, int priority) {
		return run(call, priority, 1_000);
	}

	private static RunState run(String call, int priority, long tokens) {
		return new RunState(call, priority, tokens, 0, OptionalLong.empty(), 8, GAP_MILLIS, false);
	}

	private static MoveTarget target(String id, String zone) {
		return new MoveTarget(server(id, zone, "v1", false), 8, 100_000);
	}

	private static EngineSpec engine(double megabitsPerSecond) {
		return new EngineSpec(4, 100_000, 12_500, megabitsPerSecond, Optional.of(new MoveSpec(5_000, 1)));
	}

	private static BackendServer server(String id, String zone, String version, boolean leaving) {
		return new BackendServer(id, 1, "llm", version, "127.0.0.1:1", zone, 4, leaving, false, 0);
	}

}
