package org.rosemaryfront.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.publisher.BaseSubscriber;
import reactor.test.StepVerifier;

import org.rosemaryfront.entry.AnswerStream.Delivery;
import org.rosemaryfront.entry.CompletionCall.Form;
import org.rosemaryfront.model.AttemptId;
import org.rosemaryfront.model.Problem;
import org.rosemaryfront.model.ProblemCode;
import org.rosemaryfront.model.RequestId;
import org.rosemaryfront.model.Resource.Priority;
import org.rosemaryfront.serving.RequestSpec;

import static org.assertj.core.api.Assertions.assertThat;

class AnswerStreamTests {

	private static final AttemptId FIRST = new AttemptId("first");

	private static final AttemptId SECOND = new AttemptId("second");

	static AcceptedRequest request(String id, long epoch) {
		CompletionCall call = new CompletionCall(Form.CHAT, "rounds", "user: a", 10, true, false, "",
				"{\"model\":\"rounds\",\"messages\":[{\"role\":\"user\",\"content\":\"a\"}]}".getBytes());
		RequestSpec spec = new RequestSpec("federation", "assistant", "rounds", Priority.CHAT, 2, 10, List.of(), 0, 0,
				System.nanoTime() + TimeUnit.MINUTES.toNanos(1));
		return new AcceptedRequest(new RequestId(id), "federation", call, spec, System.nanoTime(), 0, epoch);
	}

	private static AnswerStream stream() {
		return AnswerStream.of(request("chatcmpl-1", 1));
	}

	// -- engine side

	@Test
	void shouldTakeOnlyNextTokenOfAttachedStream() {
		AnswerStream stream = stream();
		stream.attach(FIRST);
		assertThat(stream.deliver(FIRST, 0, " a")).isEqualTo(Delivery.DELIVERED);
		assertThat(stream.deliver(FIRST, 0, " a")).isEqualTo(Delivery.OUT_OF_ORDER);
		assertThat(stream.deliver(FIRST, 2, " c")).isEqualTo(Delivery.OUT_OF_ORDER);
		assertThat(stream.deliver(SECOND, 1, " x")).isEqualTo(Delivery.STALE);
		assertThat(stream.tokens()).containsExactly(" a");
	}

	/**
	 * Two attempts overlap: the first was given up as silent and wakes while the second
	 * delivers. Their tokens reach the entry in any order. The caller must read one
	 * answer, each token once and from the attempt that was current when it was taken.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void shouldStayWholeWhenAttemptsDeliverInAnyOrder(long seed) {
		Random random = new Random(seed);
		AnswerStream stream = stream();
		stream.attach(FIRST);
		int switchAt = random.nextInt(5);
		for (int i = 0; i < switchAt; i++) {
			stream.deliver(FIRST, i, " first" + i);
		}
		stream.attach(SECOND);
		List<Runnable> deliveries = new ArrayList<>();
		for (int i = 0; i < 10; i++) {
			int index = i;
			deliveries.add(() -> stream.deliver(FIRST, index, " first" + index));
		}
		Collections.shuffle(deliveries, random);
		for (int i = switchAt; i < 10; i++) {
			deliveries.get(i).run();
			stream.deliver(SECOND, i, " second" + i);
		}
		assertThat(stream.size()).isEqualTo(10);
		for (int i = 0; i < 10; i++) {
			assertThat(stream.tokens().get(i)).isEqualTo(((i < switchAt) ? " first" : " second") + i);
		}
	}

	@Test
	void shouldNotFinishWhenTokensAreMissing() {
		AnswerStream stream = stream();
		stream.attach(FIRST);
		stream.deliver(FIRST, 0, " a");
		assertThat(stream.finish(FIRST, "stop", 2)).isEqualTo(Delivery.OUT_OF_ORDER);
		assertThat(stream.isOpen()).isTrue();
		assertThat(stream.finish(FIRST, "stop", 1)).isEqualTo(Delivery.DELIVERED);
		assertThat(stream.fail(Problem.notRun(ProblemCode.OVERLOADED, "late"))).isFalse();
	}

	// -- hand-off

	/**
	 * A token arrives between the moment the tokens are handed to a peer and the peer's
	 * answer. If the caller read it here, the peer would send it a second time, or
	 * another one in its place.
	 */
	@Test
	void shouldTakeNoTokenWhileHandedOver() {
		AnswerStream stream = stream();
		stream.attach(FIRST);
		stream.deliver(FIRST, 0, " a");
		assertThat(stream.freeze()).contains(List.of(" a"));
		assertThat(stream.deliver(FIRST, 1, " b")).isEqualTo(Delivery.STALE);
		stream.moved();
		StepVerifier.create(stream.read(0))
			.expectNext(new AnswerEvent.Token(0, " a"), new AnswerEvent.Moved())
			.verifyComplete();
		assertThat(stream.freeze()).isEmpty();
	}

	// -- readers

	@Test
	void shouldEmitNoMoreThanReaderAskedFor() {
		AnswerStream stream = stream();
		stream.attach(FIRST);
		List<AnswerEvent> read = new ArrayList<>();
		BaseSubscriber<AnswerEvent> reader = new BaseSubscriber<>() {

			@Override
			protected void hookOnSubscribe(org.reactivestreams.Subscription subscription) {
				subscription.request(2);
			}

			@Override
			protected void hookOnNext(AnswerEvent event) {
				read.add(event);
			}

		};
		stream.read(0).subscribe(reader);
		for (int i = 0; i < 5; i++) {
			stream.deliver(FIRST, i, " w" + i);
		}
		assertThat(read).hasSize(2);
		reader.request(10);
		stream.finish(FIRST, "length", 5);
		assertThat(read).hasSize(6).endsWith(new AnswerEvent.Finished("length"));
	}

	/**
	 * A caller's connection has gone silent for good: its host takes nothing, and without
	 * a limit the reader would stay until the process ends.
	 */
	@Test
	void shouldGiveUpReaderThatTakesNothing() {
		AnswerStream stream = stream();
		stream.attach(FIRST);
		StepVerifier.create(stream.read(0), 0).then(() -> {
			stream.deliver(FIRST, 0, " a");
			stream.tick(System.nanoTime() + TimeUnit.SECONDS.toNanos(60), Long.MAX_VALUE, TimeUnit.SECONDS.toNanos(30));
		}).expectErrorMessage("the caller takes nothing").verify(Duration.ofSeconds(30));
		assertThat(stream.hasReaders()).isFalse();
	}

	@Test
	void shouldNotAbandonWhileSomebodyReads() {
		AnswerStream stream = stream();
		BaseSubscriber<AnswerEvent> reader = new BaseSubscriber<>() {
		};
		stream.read(0).subscribe(reader);
		assertThat(stream.abandon()).isFalse();
		reader.cancel();
		assertThat(stream.abandon()).isTrue();
	}

	// -- table

	@Test
	void shouldKeepStreamOfHighestEpoch() {
		StreamTable table = StreamTable.of(new StreamTable.Limits(Long.MAX_VALUE, 1_000_000));
		AnswerStream earlier = AnswerStream.of(request("chatcmpl-1", 1));
		AnswerStream later = AnswerStream.of(request("chatcmpl-1", 2));
		assertThat(table.put(later)).isEmpty();
		assertThat(table.put(earlier)).containsSame(earlier);
		assertThat(table.find(new RequestId("chatcmpl-1"))).containsSame(later);
	}

	@Test
	void shouldDropOldestEndedAnswersBeyondMemoryLimit() {
		StreamTable table = StreamTable.of(new StreamTable.Limits(Long.MAX_VALUE, 400));
		for (int i = 0; i < 10; i++) {
			AnswerStream stream = AnswerStream.of(request("chatcmpl-" + i, 1));
			table.put(stream);
			stream.finishAdopted("stop");
		}
		AnswerStream open = AnswerStream.of(request("chatcmpl-open", 1));
		table.put(open);
		table.expire(System.nanoTime());
		assertThat(table.all()).contains(open).hasSizeLessThan(5);
		assertThat(table.find(new RequestId("chatcmpl-9"))).isPresent();
		assertThat(table.find(new RequestId("chatcmpl-0"))).isEmpty();
	}

}
