package org.rosemaryfront.standin.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.rosemaryfront.engine.EngineClient.CacheEvents;
import org.rosemaryfront.engine.EngineClient.EngineOrder;
import org.rosemaryfront.engine.EngineClient.Load;
import org.rosemaryfront.engine.EngineClient.StreamOrder;
import org.rosemaryfront.engine.EngineEvent;
import org.rosemaryfront.model.AttemptId;
import org.rosemaryfront.serving.ServingEvent.Refusal;

import static org.assertj.core.api.Assertions.assertThat;

class EngineModelTests {

	private static final long MILLI = 1_000_000L;

	private static final EngineParameters STANDARD = EngineParameters.standard();

	private final List<EngineEvent> events = new ArrayList<>();

	// -- streams

	@Test
	void shouldGiveTheWholeAnswerWhenNothingHappens() {
		EngineModel engine = engine(STANDARD);
		assertThat(engine.open(0, order("a", 100, 40, List.of(), 0))).isEmpty();
		drain(engine);
		assertThat(text("a")).isEqualTo(answer(100, 40));
		assertThat(ends()).containsExactly(new EngineEvent.Done(id("a"), "stop", 40));
		assertThat(engine.counters().generated()).isEqualTo(40);
		assertThat(engine.counters().prefilled()).isEqualTo(100);
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void shouldGiveTheSameAnswerWhenInterruptedAnywhere(long seed) {
		Random random = new Random(seed);
		EngineModel first = engine(STANDARD);
		first.open(0, order("a", 100, 40, List.of(), 0));
		run(first, random.nextLong(900 * MILLI));
		List<String> emitted = text("a");
		EngineModel second = engine(STANDARD);
		second.open(0, order("b", 100, 40, emitted, 0));
		drain(second);
		List<String> whole = new ArrayList<>(emitted);
		whole.addAll(text("b"));
		assertThat(whole).isEqualTo(answer(100, 40));
		assertThat(second.counters().recomputed()).isEqualTo(emitted.size());
	}

	@Test
	void shouldCountTheTokensAsWastedWhenCancelled() {
		EngineModel engine = engine(STANDARD);
		engine.open(0, order("a", 100, 40, List.of(), 0));
		run(engine, 200 * MILLI);
		int tokens = text("a").size();
		engine.cancel(200 * MILLI, id("a"));
		engine.cancel(200 * MILLI, id("a"));
		drain(engine);
		assertThat(tokens).isPositive();
		assertThat(text("a")).hasSize(tokens);
		assertThat(ends()).containsExactly(new EngineEvent.Stopped(id("a"), "cancelled"));
		assertThat(engine.counters().wasted()).isEqualTo(tokens);
		assertThat(engine.replay(200 * MILLI, id("a"), 0)).isEmpty();
	}

	@Test
	void shouldReplayFromTheOffsetWhenAttachedAgain() {
		EngineModel engine = engine(STANDARD);
		engine.open(0, order("a", 100, 40, List.of(), 0));
		long end = drain(engine);
		List<EngineEvent> replayed = engine.replay(end, id("a"), 38).orElseThrow();
		assertThat(replayed).containsExactly(new EngineEvent.Accepted(id("a"), 0),
				new EngineEvent.Token(id("a"), 38, answer(100, 40).get(38)),
				new EngineEvent.Token(id("a"), 39, answer(100, 40).get(39)), new EngineEvent.Done(id("a"), "stop", 40));
	}

	@Test
	void shouldStopTheStreamWhenItExpires() {
		EngineModel engine = engine(STANDARD);
		StreamOrder order = order("a", 100, 4_000, List.of(), 0);
		engine.open(0, new StreamOrder(order.attempt(), order.model(), order.adapter(), order.prompt(), order.blocks(),
				order.emitted(), order.maxTokens(), order.priority(), Duration.ofMillis(300)));
		drain(engine);
		assertThat(ends()).containsExactly(new EngineEvent.Stopped(id("a"), "expired"));
		assertThat(engine.memoryUsed()).isEqualTo(3);
	}

	// -- queue

	@Test
	void shouldStartHigherPrioritiesFirstWhenStreamsWait() {
		EngineModel engine = engine(STANDARD.withSlots(1, 64));
		int[] priorities = { 0, 1, 0, 2, 1, 2 };
		for (int i = 0; i < priorities.length; i++) {
			engine.open(0, order("s" + i, 40, 5, List.of(), priorities[i]));
		}
		drain(engine);
		assertThat(ends().stream().map((end) -> end.attempt().value())).containsExactly("s0", "s3", "s5", "s1", "s4",
				"s2");
	}

	@Test
	void shouldRefuseWhenTheQueueIsFull() {
		EngineModel engine = engine(STANDARD.withSlots(1, 2));
		for (int i = 0; i < 3; i++) {
			assertThat(engine.open(0, order("s" + i, 40, 5, List.of(), 0))).isEmpty();
		}
		assertThat(engine.open(0, order("s3", 40, 5, List.of(), 9))).contains(Refusal.FULL);
		assertThat(engine.counters().refused()).isOne();
	}

	@Test
	void shouldRefuseWhenTheModelIsNotLoadedOrTheRoleIsDrain() {
		EngineModel engine = EngineModel.of(STANDARD, 1, this.events::add);
		assertThat(engine.open(0, order("a", 40, 5, List.of(), 0))).contains(Refusal.NOT_LOADED);
		assertThat(engine.order(0, 0, new EngineOrder(1, 1_000, List.of("m@1"), List.of("ad@1"), "serve")))
			.isEqualTo(OrderOutcome.TAKEN);
		assertThat(engine.notFetched()).containsExactly("m@1", "ad@1");
		engine.notFetched().forEach((name) -> engine.fetched(0, name));
		assertThat(engine.state(STANDARD.loadNanos() - 1).loading()).containsExactly("m@1", "ad@1");
		assertThat(engine.state(STANDARD.loadNanos()).models()).containsExactly("m@1");
		assertThat(engine.open(STANDARD.loadNanos(), order("a", 40, 5, List.of(), 0))).isEmpty();
		engine.order(STANDARD.loadNanos(), STANDARD.loadNanos(),
				new EngineOrder(1, 1_000, List.of("m@1"), List.of(), "drain"));
		assertThat(engine.open(STANDARD.loadNanos(), order("b", 40, 5, List.of(), 0))).contains(Refusal.LEAVING);
		drain(engine);
		assertThat(ends()).containsExactly(new EngineEvent.Done(id("a"), "stop", 5));
	}

	// -- memory

	@ParameterizedTest
	@ValueSource(longs = { 11, 12, 13, 14, 15 })
	void shouldStayWithinItsMemoryWhenLoadedAtRandom(long seed) {
		Random random = new Random(seed);
		int capacity = 40;
		EngineModel engine = engine(STANDARD.withMemoryBlocks(capacity).withSlots(4, 200));
		Set<Long> fleet = new HashSet<>();
		engine.countAgainst(fleet);
		long now = 0;
		int opened = 0;
		for (int i = 0; i < 120; i++) {
			now += random.nextLong(60 * MILLI);
			engine.advance(now);
			int prompt = 32 * (1 + random.nextInt(12));
			if (engine.open(now, order("s" + i, prompt, 1 + random.nextInt(30), List.of(), random.nextInt(3)))
				.isEmpty()) {
				opened++;
			}
			if (random.nextInt(6) == 0) {
				engine.cancel(now, id("s" + random.nextInt(i + 1)));
			}
			assertThat(engine.memoryUsed()).isBetween(0, capacity);
		}
		while (engine.nextEventAt() < Long.MAX_VALUE) {
			engine.advance(engine.nextEventAt());
			assertThat(engine.memoryUsed()).isBetween(0, capacity);
		}
		assertThat(ends()).hasSize(opened);
		assertThat(engine.counters().recomputed()).isEqualTo(engine.counters().recomputedInFleet());
		assertThat(fleet).isNotEmpty();
	}

	@Test
	void shouldNotComputeAPromptAgainWhenItIsCached() {
		EngineModel engine = engine(STANDARD);
		engine.open(0, order("a", 64, 5, List.of(), 0));
		long end = drain(engine);
		engine.open(end, order("b", 64, 5, List.of(), 0));
		drain(engine);
		assertThat(this.events).contains(new EngineEvent.Accepted(id("b"), 64));
		assertThat(engine.counters().cached()).isEqualTo(64);
		assertThat(engine.counters().prefilled()).isEqualTo(64);
	}

	// -- moves

	@ParameterizedTest
	@ValueSource(longs = { 60, 200, 400 })
	void shouldComputeNothingAgainWhenTheCacheWasImported(long moveAtMillis) {
		EngineModel source = engine(STANDARD);
		source.open(0, order("a", 100, 40, List.of(), 0));
		run(source, moveAtMillis * MILLI);
		List<String> emitted = text("a");
		ExportedContext exported = source.export(moveAtMillis * MILLI, id("a")).orElseThrow();
		assertThat(exported.readyAt())
			.isEqualTo(moveAtMillis * MILLI + exported.tokens() * STANDARD.transferTokenNanos());
		assertThat(source.export(moveAtMillis * MILLI, id("a"))).isEmpty();
		EngineModel target = engine(STANDARD);
		assertThat(target.importContext(0, exported)).isEqualTo(exported.tokens());
		target.open(0, order("b", 100, 40, emitted, 0));
		drain(target);
		emitted = new ArrayList<>(emitted);
		emitted.addAll(text("b"));
		assertThat(emitted).isEqualTo(answer(100, 40));
		assertThat(target.counters().prefilled()).isZero();
		assertThat(target.counters().recomputed()).isZero();
		assertThat(target.memoryUsed()).isEqualTo(3);
	}

	@Test
	void shouldGiveTheMemoryBackWhenNoStreamTakesTheImport() {
		EngineModel target = engine(STANDARD);
		target.importContext(0, new ExportedContext(5, List.of(1L, 2L), 100, 0));
		assertThat(target.memoryUsed()).isEqualTo(4);
		target.advance(STANDARD.importHoldNanos());
		assertThat(target.memoryUsed()).isEqualTo(2);
	}

	// -- orders

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void shouldHonourTheFenceOnlyWhenItIsChecked(boolean checked) {
		EngineModel engine = engine(STANDARD.withFencingChecked(checked));
		engine.order(0, 0, new EngineOrder(7, 1_000, List.of("m@1"), List.of(), "serve"));
		OrderOutcome outcome = engine.order(0, 0, new EngineOrder(6, 1_000, List.of("m@1"), List.of(), "drain"));
		assertThat(outcome).isEqualTo(checked ? OrderOutcome.FENCED : OrderOutcome.TAKEN);
		assertThat(engine.state(0).role()).isEqualTo(checked ? "serve" : "drain");
	}

	@Test
	void shouldRefuseAnOrderWhenItIsTakenAfterItsValidity() {
		EngineModel engine = engine(STANDARD);
		EngineOrder order = new EngineOrder(7, 100, List.of("m@1"), List.of(), "drain");
		assertThat(engine.order(101 * MILLI, 0, order)).isEqualTo(OrderOutcome.EXPIRED);
		assertThat(engine.state(101 * MILLI).role()).isEqualTo("serve");
	}

	@Test
	void shouldFinishStreamsOfDroppedVersionAndCountThemByVersion() {
		EngineModel engine = engine(STANDARD);
		engine.open(0, order("old", 100, 80, List.of(), 0));
		engine.order(0, 0, new EngineOrder(1, 1_000, List.of("m@2", "m@1"), List.of(), "serve"));
		engine.notFetched().forEach((name) -> engine.fetched(0, name));
		long loaded = STANDARD.loadNanos();
		engine.open(loaded, order("new", 100, 40, List.of(), 0));
		assertThat(engine.state(loaded).streams()).containsOnly(Map.entry("m@1", 1), Map.entry("m@2", 1));
		engine.order(loaded, loaded, new EngineOrder(1, 1_000, List.of("m@2"), List.of(), "serve"));
		assertThat(engine.state(loaded).models()).containsExactly("m@2");
		long end = drain(engine);
		assertThat(text("old")).isEqualTo(answer(100, 80));
		assertThat(text("new")).isEqualTo(answer(100, 40));
		assertThat(engine.state(end).streams()).isEmpty();
	}

	// -- reports

	@Test
	void shouldPublishCacheEventsLateAndSayWhenSomeAreMissing() {
		EngineModel engine = engine(STANDARD);
		engine.open(0, order("a", 640, 3, List.of(), 0));
		long end = drain(engine);
		assertThat(engine.cacheEvents(0, 0).added()).isEmpty();
		CacheEvents late = engine.cacheEvents(end + STANDARD.cacheEventDelayNanos(), 0);
		assertThat(late.added().size()).isBetween(15, 20);
		assertThat(late.gap()).isEqualTo(late.added().size() < late.last());
		assertThat(engine.cacheEvents(end + STANDARD.cacheEventDelayNanos(), 9_999).gap()).isTrue();
	}

	@Test
	void shouldReportTheLoadOfAnEarlierMoment() {
		EngineModel engine = engine(STANDARD);
		engine.open(600 * MILLI, order("a", 40, 200, List.of(), 0));
		assertThat(engine.load(700 * MILLI)).isEqualTo(new Load(0, 0, 0, 200));
		assertThat(engine.load(1_100 * MILLI)).satisfies((load) -> {
			assertThat(load.running()).isOne();
			assertThat(load.ageMillis()).isEqualTo(100);
		});
	}

	@Test
	void shouldMakeNoProgressWhenFrozen() {
		EngineModel engine = engine(STANDARD);
		engine.open(0, order("a", 40, 20, List.of(), 0));
		run(engine, 100 * MILLI);
		int before = text("a").size();
		engine.freeze(100 * MILLI, 5_000 * MILLI);
		run(engine, 4_999 * MILLI);
		assertThat(text("a")).hasSize(before);
		drain(engine);
		assertThat(text("a")).isEqualTo(answer(40, 20));
	}

	// -- helpers

	private EngineModel engine(EngineParameters parameters) {
		EngineModel engine = EngineModel.of(parameters, 1, this.events::add);
		engine.preload(0, List.of("m@1"), List.of());
		return engine;
	}

	private long drain(EngineModel engine) {
		long now = 0;
		while (engine.nextEventAt() < Long.MAX_VALUE) {
			now = engine.nextEventAt();
			engine.advance(now);
		}
		return now;
	}

	private static void run(EngineModel engine, long until) {
		while (engine.nextEventAt() <= until) {
			engine.advance(engine.nextEventAt());
		}
	}

	private List<EngineEvent> ends() {
		return this.events.stream()
			.filter((event) -> event instanceof EngineEvent.Done || event instanceof EngineEvent.Stopped)
			.toList();
	}

	private List<String> text(String attempt) {
		List<String> tokens = new ArrayList<>();
		for (EngineEvent event : this.events) {
			if (event instanceof EngineEvent.Token token && token.attempt().equals(id(attempt))) {
				tokens.add(token.text());
			}
		}
		return tokens;
	}

	private static AttemptId id(String value) {
		return new AttemptId(value);
	}

	private static String prompt(int tokens, int length) {
		return "x ".repeat(tokens - 1) + "length=" + length;
	}

	private static List<String> answer(int tokens, int length) {
		return StandInAnswer.tokens(prompt(tokens, length), "m", "", 8_000);
	}

	private static StreamOrder order(String attempt, int tokens, int length, List<String> emitted, int priority) {
		List<Long> blocks = LongStream.range(0, tokens / EngineParameters.BLOCK_TOKENS)
			.mapToObj((i) -> 1_000L * tokens + i)
			.toList();
		int maxTokens = Math.max(length, 40);
		return new StreamOrder(id(attempt), "m", "", prompt(tokens, length), blocks, emitted, maxTokens, priority,
				Duration.ofMinutes(10));
	}

}
