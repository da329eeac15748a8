package org.rosemaryfront.slots;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import org.rosemaryfront.dispatch.BackendServer.Incarnation;
import org.rosemaryfront.slots.SlotMessage.Addressed;
import org.rosemaryfront.slots.SlotMessage.Ask;
import org.rosemaryfront.slots.SlotMessage.Decline;
import org.rosemaryfront.slots.SlotMessage.Full;
import org.rosemaryfront.slots.SlotMessage.Grant;
import org.rosemaryfront.slots.SlotMessage.Held;
import org.rosemaryfront.slots.SlotMessage.Outcome;
import org.rosemaryfront.slots.SlotMessage.Passed;
import org.rosemaryfront.slots.SlotMessage.Release;

import static org.assertj.core.api.Assertions.assertThat;

class SlotKeeperTests {

	private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	private static final Incarnation SERVER = new Incarnation("s1", 0);

	private final SlotKeeper keeper = SlotKeeper.empty();

	@BeforeEach
	void serve() {
		serve(1, Map.of());
	}

	@ParameterizedTest
	@CsvSource({ "false, 6, 6, 72, true", "false, 6, 6, 12, false", "true, 6, 6, 72, false", "false, 6, 0, 72, false" })
	void shouldBeNeededWhenGatewaysHaveLessThanOneSlotEach(boolean engine, int first, int second, int gateways,
			boolean needed) {
		assertThat(SlotServer.needsKeeper(engine, List.of(first, second), gateways)).isEqualTo(needed);
		assertThat(SlotServer.needsKeeper(engine, List.of(), gateways)).isFalse();
	}

	@Test
	void shouldGrantFreedSlotToMostUrgentAndThenOldest() {
		assertThat(ask("g1", 1, 1, 0)).containsExactly(granted("g1", 1));
		assertThat(ask("g2", 1, 1, 0)).isEmpty();
		assertThat(ask("g3", 1, 1, 0)).isEmpty();
		assertThat(ask("g4", 1, 0, 0)).isEmpty();
		assertThat(receive("g1", new Release(1, Outcome.ENDED), MILLI)).containsExactly(granted("g4", 1));
		assertThat(receive("g4", new Release(1, Outcome.ENDED), 2 * MILLI)).containsExactly(granted("g2", 1));
	}

	// Guards against two slots for one call whose grant was lost.
	@Test
	void shouldRepeatGrantWhenAskIsRepeated() {
		serve(2, Map.of());
		assertThat(ask("g1", 1, 0, 0)).containsExactly(granted("g1", 1));
		assertThat(ask("g1", 1, 0, MILLI)).containsExactly(granted("g1", 1));
		assertThat(ask("g2", 1, 0, MILLI)).containsExactly(granted("g2", 1));
	}

	// Guards against slots of gateways that are gone.
	@Test
	void shouldFreeSlotWhenItsUseIsNotToldAnyMore() {
		ask("g1", 1, 0, 0);
		receive("g1", new Held(1, SERVER), 150 * MILLI);
		receive("g2", new Ask(1, "small", 0, 500, Set.of(), Set.of()), 160 * MILLI);
		assertThat(tick(349 * MILLI)).isEmpty();
		assertThat(tick(350 * MILLI)).containsExactly(granted("g2", 1));
	}

	// Guards against callers that wait in vain, and against all of them coming back at
	// the
	// same time.
	@Test
	void shouldRefuseAtOnceWithLaterTimesWhenNoSlotIsFreeInTime() {
		ask("g1", 1, 0, 0);
		receive("g1", new Release(1, Outcome.ENDED), 100 * MILLI);
		ask("g1", 2, 0, 100 * MILLI);
		assertThat(ask("g2", 1, 0, 100 * MILLI)).containsExactly(full("g2", 1, 101));
		assertThat(ask("g3", 1, 0, 100 * MILLI)).containsExactly(full("g3", 1, 201));
	}

	@Test
	void shouldRefuseWhenRequestHasWaitedForTooLong() {
		ask("g1", 1, 0, 0);
		ask("g2", 1, 0, 0);
		assertThat(tick(59 * MILLI)).isEmpty();
		assertThat(tick(60 * MILLI)).extracting(Addressed::message).singleElement().isInstanceOf(Full.class);
		assertThat(this.keeper.waiting()).isZero();
	}

	// Guards against a new keeper that grants what its predecessor granted before.
	@Test
	void shouldCountReportedCallsUntilGatewayTellsThemItself() {
		serve(1, Map.of("g1", 1));
		assertThat(ask("g2", 1, 0, 0)).isEmpty();
		assertThat(receive("g1", new Held(7, SERVER), MILLI)).isEmpty();
		assertThat(receive("g1", new Release(7, Outcome.ENDED), 2 * MILLI)).containsExactly(granted("g2", 1));
	}

	@Test
	void shouldNotWaitAnyMoreWhenCallerLeft() {
		ask("g1", 1, 0, 0);
		ask("g2", 1, 0, 0);
		receive("g2", new Release(1, Outcome.UNUSED), MILLI);
		assertThat(receive("g1", new Release(1, Outcome.ENDED), 2 * MILLI)).isEmpty();
		assertThat(ask("g3", 1, 0, 2 * MILLI)).containsExactly(granted("g3", 1));
	}

	@Test
	void shouldGrantNoSlotOfServerThatWasTriedOrJustRejected() {
		assertThat(receive("g1", new Ask(1, "small", 2, 60, Set.of("s1"), Set.of()), 0)).isEmpty();
		receive("g2", new Held(1, SERVER), 0);
		receive("g2", new Release(1, Outcome.ENDED), 30 * MILLI);
		receive("g2", new Held(2, SERVER), 30 * MILLI);
		receive("g2", new Release(2, Outcome.REJECTED), 30 * MILLI);
		assertThat(ask("g3", 1, 1, 31 * MILLI)).isEmpty();
		assertThat(tick(60 * MILLI)).contains(granted("g3", 1));
	}

	// Guards against two keepers for as long as some gateways do not reach the first one.
	@Test
	void shouldDeclineWhenNotAllGatewaysReachIt() {
		ask("g1", 1, 0, 0);
		ask("g2", 1, 0, 0);
		this.keeper.serving(false);
		assertThat(this.keeper.takeMessages()).containsExactly(new Addressed("g2", new Decline(1)));
		assertThat(ask("g3", 1, 0, MILLI)).containsExactly(new Addressed("g3", new Decline(1)));
	}

	// Guards against two keepers because only some gateways noticed that one is gone.
	@Test
	void shouldTellAllGatewaysWhenOneDoesNotReachKeeperBefore() {
		receive("g1", new Held(1, SERVER), 0);
		Ask ask = new Ask(5, "small", 0, 60, Set.of(), Set.of("k1"));
		assertThat(receive("g2", ask, MILLI)).containsExactlyInAnyOrder(
				new Addressed("g1", new Passed(5, Set.of("k1"))), new Addressed("g2", new Passed(5, Set.of("k1"))));
		assertThat(receive("g2", ask, 2 * MILLI)).isEmpty();
	}

	// Guards against two keepers at once: gateways that were not heard of late went on
	// asking the one that others pass over.
	@Test
	void shouldTellPassedKeepersToGatewaysThatOnlyReport() {
		serve(1, Map.of("g1", 0, "g3", 0));
		Ask ask = new Ask(5, "small", 0, 60, Set.of(), Set.of("k1"));
		assertThat(receive("g2", ask, 0)).contains(new Addressed("g1", new Passed(5, Set.of("k1"))),
				new Addressed("g2", new Passed(5, Set.of("k1"))), new Addressed("g3", new Passed(5, Set.of("k1"))));
	}

	@ParameterizedTest
	@MethodSource
	void shouldOnlyCountMessageWhenItIsInvalid(SlotMessage message) {
		assertThat(receive("g1", message, 0)).isEmpty();
		assertThat(this.keeper.invalidMessages()).isOne();
		assertThat(ask("g2", 1, 0, 0)).containsExactly(granted("g2", 1));
	}

	static Stream<SlotMessage> shouldOnlyCountMessageWhenItIsInvalid() {
		return Stream.of(new Ask(1, "small", 0, 0, Set.of(), Set.of()),
				new Ask(1, "small", 0, Integer.MAX_VALUE, Set.of(), Set.of()),
				new Ask(1, "small", -1, 60, Set.of(), Set.of()), new Held(1, new Incarnation("s9", 0)),
				new Held(1, new Incarnation("s1", 77)), new Grant(1, SERVER), new Full(1, 10));
	}

	private void serve(int slots, Map<String, Integer> reported) {
		this.keeper.servers(List.of(new SlotServer(SERVER, slots, 1, reported)));
	}

	private List<Addressed> ask(String gateway, long number, int priority, long nowNanos) {
		return receive(gateway, new Ask(number, "small", priority, 60, Set.of(), Set.of()), nowNanos);
	}

	private List<Addressed> receive(String gateway, SlotMessage message, long nowNanos) {
		this.keeper.receive(gateway, message, nowNanos);
		return this.keeper.takeMessages();
	}

	private List<Addressed> tick(long nowNanos) {
		this.keeper.tick(nowNanos);
		return new ArrayList<>(this.keeper.takeMessages());
	}

	private static Addressed granted(String gateway, long number) {
		return new Addressed(gateway, new Grant(number, SERVER));
	}

	private static Addressed full(String gateway, long number, int retryMillis) {
		return new Addressed(gateway, new Full(number, retryMillis));
	}

}
