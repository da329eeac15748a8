package org.rosemaryfront.slots;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rosemaryfront.dispatch.BackendServer.Incarnation;
import org.rosemaryfront.slots.SlotAnswer.Answered;
import org.rosemaryfront.slots.SlotMessage.Addressed;
import org.rosemaryfront.slots.SlotMessage.Ask;
import org.rosemaryfront.slots.SlotMessage.Decline;
import org.rosemaryfront.slots.SlotMessage.Full;
import org.rosemaryfront.slots.SlotMessage.Grant;
import org.rosemaryfront.slots.SlotMessage.Held;
import org.rosemaryfront.slots.SlotMessage.Outcome;
import org.rosemaryfront.slots.SlotMessage.Passed;
import org.rosemaryfront.slots.SlotMessage.Release;
import org.rosemaryfront.slots.SlotRequests.SlotCall;

import static org.assertj.core.api.Assertions.assertThat;

class SlotRequestsTests {

	private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	private static final int START = -5;

	private static final Incarnation SERVER = new Incarnation("s1", 0);

	private final SlotRequests requests = SlotRequests.of(START, SERVER::equals);

	@Test
	void shouldSendCallOnceWhenGrantIsRepeated() {
		long number = ask(0);
		this.requests.receive("k1", new Grant(number, SERVER), MILLI);
		assertThat(this.requests.takeAnswers()).containsExactly(new Answered(number, new SlotAnswer.Send(SERVER)));
		this.requests.takeMessages();
		this.requests.receive("k1", new Grant(number, SERVER), 2 * MILLI);
		this.requests.receive("k1", new Full(number, 10), 2 * MILLI);
		assertThat(this.requests.takeAnswers()).isEmpty();
		assertThat(this.requests.takeMessages()).isEmpty();
		assertThat(this.requests.lateMessages()).isEqualTo(2);
	}

	@Test
	void shouldRefuseCallWhenKeeperSaysSo() {
		long number = ask(0);
		this.requests.receive("k1", new Full(number, 40), MILLI);
		assertThat(this.requests.takeAnswers()).containsExactly(new Answered(number, new SlotAnswer.Refuse(40)));
	}

	// Guards against a call that is sent by a grant after the gateway sent it by itself.
	@Test
	void shouldGiveSlotBackWhenGrantComesTooLate() {
		long number = ask(0);
		assertThat(tick(75 * MILLI - 1)).isEmpty();
		assertThat(tick(75 * MILLI)).containsExactly(new Answered(number, new SlotAnswer.ChooseAlone()));
		this.requests.chosenAlone(number, "small", SERVER, 75 * MILLI);
		this.requests.ended(number, Outcome.ENDED, 76 * MILLI);
		this.requests.takeMessages();
		this.requests.receive("k1", new Grant(number, SERVER), 80 * MILLI);
		assertThat(this.requests.takeAnswers()).isEmpty();
		assertThat(this.requests.takeMessages())
			.containsExactly(new Addressed("k1", new Release(number, Outcome.UNUSED)));
	}

	// Guards against each call waiting for a keeper that is gone.
	@Test
	void shouldAskNextKeeperWhenFirstOneIsSilent() {
		ask(0);
		tick(75 * MILLI);
		this.requests.takeMessages();
		long second = ask(80 * MILLI);
		assertThat(this.requests.takeMessages()).contains(asked("k2", second, 56));
		tick(155 * MILLI);
		long third = ask(160 * MILLI);
		assertThat(this.requests.takeAnswers()).contains(new Answered(third, new SlotAnswer.ChooseAlone()));
		this.requests.takeMessages();
		long fourth = ask(2_075 * MILLI);
		assertThat(this.requests.takeMessages()).contains(asked("k1", fourth, 56));
	}

	// Guards against a keeper that was heard of late and is not asked for one lost
	// datagram.
	@Test
	void shouldAskKeeperAgainWhenItAnsweredOthers() {
		long first = ask(0);
		long second = ask(0);
		this.requests.receive("k1", new Grant(second, SERVER), MILLI);
		assertThat(tick(75 * MILLI)).contains(new Answered(first, new SlotAnswer.ChooseAlone()));
		this.requests.takeMessages();
		long third = ask(80 * MILLI);
		assertThat(this.requests.takeMessages()).contains(asked("k1", third, 56));
	}

	@Test
	void shouldRepeatAskWithTimeLeft() {
		long number = ask(0);
		assertThat(this.requests.takeMessages()).containsExactly(asked("k1", number, 56));
		tick(20 * MILLI);
		assertThat(this.requests.takeMessages()).containsExactly(asked("k1", number, 36));
	}

	@Test
	void shouldAskNextKeeperWhenItTellsThatFirstOneIsPassedOver() {
		this.requests.receive("k2", new Passed(77, Set.of("k1")), 0);
		long number = ask(MILLI);
		assertThat(this.requests.takeMessages()).containsExactly(asked("k2", number, 56));
	}

	@Test
	void shouldAskNextKeeperAtOnceWhenFirstOneDeclines() {
		long number = ask(0);
		this.requests.takeMessages();
		this.requests.receive("k1", new Decline(number), 3 * MILLI);
		assertThat(this.requests.takeMessages()).containsExactly(asked("k2", number, 53));
		this.requests.receive("k2", new Decline(number), 6 * MILLI);
		assertThat(this.requests.takeAnswers()).containsExactly(new Answered(number, new SlotAnswer.ChooseAlone()));
	}

	// Guards against a new keeper that grants slots in use.
	@Test
	void shouldTellNewKeeperWhichSlotsAreInUse() {
		long number = ask(0);
		this.requests.receive("k1", new Grant(number, SERVER), MILLI);
		this.requests.takeMessages();
		this.requests.ask(call(), List.of("k3"), 2 * MILLI);
		assertThat(this.requests.takeMessages()).contains(new Addressed("k3", new Held(number, SERVER)));
	}

	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void shouldGivePlaceBackAtOnceWhenCallerLeaves(boolean granted) {
		long number = ask(0);
		if (granted) {
			this.requests.receive("k1", new Grant(number, SERVER), MILLI);
		}
		this.requests.takeMessages();
		this.requests.ended(number, Outcome.UNUSED, 2 * MILLI);
		Addressed release = new Addressed("k1", new Release(number, Outcome.UNUSED));
		assertThat(this.requests.takeMessages()).contains(release);
		tick(12 * MILLI);
		assertThat(this.requests.takeMessages()).contains(release);
		assertThat(tick(80 * MILLI)).isEmpty();
	}

	@ParameterizedTest
	@MethodSource
	void shouldOnlyCountAnswerWhenItIsInvalid(SlotMessage message) {
		long number = ask(0);
		this.requests.takeMessages();
		this.requests.receive("k1", message, MILLI);
		assertThat(this.requests.invalidMessages()).isOne();
		assertThat(this.requests.takeMessages()).isEmpty();
		assertThat(this.requests.takeAnswers()).isEmpty();
		this.requests.receive("k1", new Grant(number, SERVER), 2 * MILLI);
		assertThat(this.requests.takeAnswers()).hasSize(1);
	}

	static Stream<SlotMessage> shouldOnlyCountAnswerWhenItIsInvalid() {
		long number = ((long) START << Integer.SIZE) + 1;
		long otherStart = ((long) (START + 1) << Integer.SIZE) + 1;
		return Stream.of(new Grant(otherStart, SERVER), new Grant(number + 1, SERVER),
				new Grant(number, new Incarnation("s9", 0)), new Grant(number, new Incarnation("s1", 77)),
				new Full(number, 0), new Full(number, Integer.MAX_VALUE),
				new Ask(number, "small", 0, 60, Set.of(), Set.of()), new Release(number, Outcome.ENDED));
	}

	private long ask(long nowNanos) {
		return this.requests.ask(call(), List.of("k1", "k2"), nowNanos);
	}

	private static SlotCall call() {
		return new SlotCall("small", 0, 600, Set.of());
	}

	private static Addressed asked(String keeper, long number, int usefulMillis) {
		return new Addressed(keeper,
				new Ask(number, "small", 0, usefulMillis, Set.of(), keeper.equals("k2") ? Set.of("k1") : Set.of()));
	}

	private List<Answered> tick(long nowNanos) {
		this.requests.tick(nowNanos);
		return this.requests.takeAnswers();
	}

}
