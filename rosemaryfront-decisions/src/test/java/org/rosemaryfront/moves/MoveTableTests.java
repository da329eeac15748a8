package org.rosemaryfront.moves;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.moves.CopyAnswer.Copied;
import org.rosemaryfront.moves.CopyAnswer.Failed;
import org.rosemaryfront.moves.CopyAnswer.InProgress;
import org.rosemaryfront.moves.CopyAnswer.NoRoom;
import org.rosemaryfront.moves.CopyAnswer.NoRun;
import org.rosemaryfront.moves.Move.State;
import org.rosemaryfront.moves.MoveDecision.Transfer;
import org.rosemaryfront.moves.MoveStep.Continue;
import org.rosemaryfront.moves.MoveStep.Drop;
import org.rosemaryfront.moves.MoveStep.Lost;
import org.rosemaryfront.moves.MoveStep.None;
import org.rosemaryfront.moves.MoveStep.NotStopped;
import org.rosemaryfront.moves.MoveStep.Unknown;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

class MoveTableTests {

	private static final BackendServer SOURCE = server("source");

	private static final BackendServer TARGET = server("target");

	private static final BackendServer OTHER = server("other");

	private static final Transfer TRANSFER = new Transfer(5, 0, 1_000);

	private static final RunState RUN = new RunState("c1", 1, 900, 100, OptionalLong.empty(), 8, 500, false);

	private final MoveTable table = MoveTable.empty();

	static Stream<Arguments> answersToCopy() {
		return Stream.of(Arguments.of(new Copied("h1", 4), State.COPIED), Arguments.of(new NoRun(), State.ABANDONED),
				Arguments.of(new InProgress(), State.COPYING), Arguments.of(new NoRoom(Optional.empty()), State.FAILED),
				Arguments.of(new Failed("reset"), State.FAILED));
	}

	@ParameterizedTest
	@MethodSource("answersToCopy")
	void shouldLeaveRunWhereItIsWhenCopyIsAnswered(CopyAnswer answer, State state) {
		long attempt = copying(TARGET);
		assertThat(this.table.answered("c1", attempt, SOURCE, answer, 0)).isEqualTo(new None());
		assertThat(state()).isEqualTo(state);
	}

	static Stream<Arguments> answersToSwitch() {
		return Stream.of(Arguments.of(new Copied("h2", 9), new Continue(TARGET, SOURCE, "h2"), State.MOVED),
				Arguments.of(new NoRoom(Optional.of("h1")), new Continue(SOURCE, SOURCE, "h1"), State.MOVED),
				Arguments.of(new NoRoom(Optional.empty()), new Lost(), State.ABANDONED),
				Arguments.of(new InProgress(), new NotStopped(), State.COPIED),
				Arguments.of(new NoRun(), new NotStopped(), State.ABANDONED),
				Arguments.of(new Failed("reset"), new Unknown(), State.ABANDONED));
	}

	@ParameterizedTest
	@MethodSource("answersToSwitch")
	void shouldContinueOnlyRunThatHasStoppedWhenSwitchIsAnswered(CopyAnswer answer, MoveStep step, State state) {
		long attempt = switching();
		assertThat(this.table.answered("c1", attempt, SOURCE, answer, 0)).isEqualTo(step);
		assertThat(state()).isEqualTo(state);
	}

	// Guards against a run that continues at two servers because an answer came twice.
	@Test
	void shouldContinueOnceWhenSwitchIsAnsweredTwice() {
		long attempt = switching();
		CopyAnswer answer = new Copied("h1", 9);
		assertThat(this.table.answered("c1", attempt, SOURCE, answer, 0)).isInstanceOf(Continue.class);
		assertThat(this.table.answered("c1", attempt, SOURCE, answer, 0)).isEqualTo(new None());
		assertThat(this.table.answered("c1", attempt, SOURCE, new NoRoom(Optional.of("h1")), 0)).isEqualTo(new None());
	}

	// Guards against a stopped run that is taken to go on since an earlier request was
	// answered late.
	@Test
	void shouldChangeNothingWhenEarlierRequestIsAnsweredDuringSwitch() {
		long earlier = switching() - 1;
		assertThat(this.table.answered("c1", earlier, SOURCE, new Failed("timeout"), 0)).isEqualTo(new None());
		assertThat(this.table.answered("c1", earlier, SOURCE, new Copied("h1", 4), 0)).isEqualTo(new None());
		assertThat(state()).isEqualTo(State.SWITCHING);
	}

	// Guards against copies that occupy servers after their calls have ended or moved on.
	@Test
	void shouldDropCopyWhenItIsCompleteTooLate() {
		long late = copying(TARGET);
		assertThat(this.table.expire(999)).isEmpty();
		assertThat(this.table.expire(1_000)).containsOnly(Map.entry("c1", new None()));
		assertThat(state()).isEqualTo(State.FAILED);
		assertThat(this.table.answered("c1", late, SOURCE, new Copied("h1", 4), 0)).isEqualTo(new Drop(SOURCE, "h1"));
		long second = copying(OTHER);
		assertThat(this.table.answered("c1", late, SOURCE, new Copied("h1", 4), 0)).isEqualTo(new Drop(SOURCE, "h1"));
		assertThat(this.table.ended("c1")).isEmpty();
		assertThat(this.table.answered("c1", second, SOURCE, new Copied("h2", 4), 0)).isEqualTo(new Drop(SOURCE, "h2"));
	}

	@Test
	void shouldDropCopyWhenCallEndsOrMoveIsGivenUp() {
		copied();
		assertThat(this.table.abandon("c1")).contains(new Drop(SOURCE, "h1"));
		assertThat(this.table.ended("c1")).isEmpty();
		copied();
		assertThat(this.table.ended("c1")).contains(new Drop(SOURCE, "h1"));
		assertThat(this.table.find("c1")).isEmpty();
	}

	@Test
	void shouldDropEarlierCopyWhenFurtherOneIsRefusedOrElsewhere() {
		copied();
		assertThat(this.table.answered("c1", copying(TARGET), SOURCE, new NoRoom(Optional.empty()), 0))
			.isEqualTo(new Drop(SOURCE, "h1"));
		copied();
		assertThat(this.table.copying(RUN, SOURCE, OTHER, TRANSFER).superseded()).contains(new Drop(SOURCE, "h1"));
	}

	// Guards against callers who lose a stream that its source still holds.
	@Test
	void shouldGoBackToSourceOnceWhenTargetRefuses() {
		long attempt = switching();
		this.table.answered("c1", attempt, SOURCE, new Copied("h1", 9), 0);
		assertThat(this.table.refused("c1", OTHER)).isEqualTo(new None());
		assertThat(this.table.refused("c1", TARGET)).isEqualTo(new Continue(SOURCE, SOURCE, "h1"));
		assertThat(this.table.refused("c1", SOURCE)).isEqualTo(new Lost());
		assertThat(this.table.refused("c1", SOURCE)).isEqualTo(new None());
	}

	// Guards against a run whose source is forgotten while it is not known to have
	// arrived
	// at its target: it would begin anew when the target refuses it.
	@Test
	void shouldNotCopyAgainBeforeRunHasArrived() {
		this.table.answered("c1", switching(), SOURCE, new Copied("h1", 9), 0);
		assertThatIllegalStateException().isThrownBy(() -> this.table.copying(RUN, TARGET, OTHER, TRANSFER));
		assertThat(this.table.refused("c1", TARGET)).isEqualTo(new Continue(SOURCE, SOURCE, "h1"));
	}

	@Test
	void shouldCopyAgainOnceRunHasArrived() {
		this.table.answered("c1", switching(), SOURCE, new Copied("h1", 9), 0);
		this.table.arrived("c1");
		assertThat(state()).isEqualTo(State.ARRIVED);
		assertThat(this.table.refused("c1", TARGET)).isEqualTo(new None());
		assertThat(this.table.copying(RUN, TARGET, OTHER, TRANSFER).superseded()).isEmpty();
		assertThat(state()).isEqualTo(State.COPYING);
		this.table.arrived("c1");
		assertThat(state()).isEqualTo(State.COPYING);
	}

	// Guards against a run that is taken to have stopped because no answer came.
	@Test
	void shouldNotKnowWhetherRunStoppedWhenSwitchIsNotAnswered() {
		switching();
		assertThat(this.table.expire(1_000)).containsOnly(Map.entry("c1", new Unknown()));
	}

	@Test
	void shouldRememberServersThatRefusedUntilRunIsAtAnotherServer() {
		this.table.answered("c1", copying(TARGET), SOURCE, new NoRoom(Optional.empty()), 0);
		copying(OTHER);
		assertThat(this.table.find("c1").orElseThrow().refusedBy()).containsExactly("target");
		this.table.copying(RUN, OTHER, TARGET, TRANSFER);
		assertThat(this.table.find("c1").orElseThrow().refusedBy()).isEmpty();
	}

	@Test
	void shouldNotSwitchWithoutCopy() {
		copying(TARGET);
		assertThatIllegalStateException().isThrownBy(() -> this.table.switching("c1", TRANSFER));
	}

	private long copying(BackendServer target) {
		return this.table.copying(RUN, SOURCE, target, TRANSFER).attempt();
	}

	private void copied() {
		this.table.answered("c1", copying(TARGET), SOURCE, new Copied("h1", 4), 0);
	}

	private long switching() {
		copied();
		return this.table.switching("c1", TRANSFER);
	}

	private State state() {
		return this.table.find("c1").orElseThrow().state();
	}

	private static BackendServer server(String id) {
		return new BackendServer(id, 1, "llm", "v1", "127.0.0.1:1", "a", 4, false, false, 0);
	}

}
