package org.rosemaryfront.warmup;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.rosemaryfront.warmup.WarmUp.Limits;

import static org.assertj.core.api.Assertions.assertThat;

@Timeout(20)
class WarmUpTests {

	private static final Duration LONG = Duration.ofMinutes(1);

	private final AtomicInteger calls = new AtomicInteger();

	private final AtomicBoolean loaded = new AtomicBoolean();

	private final CountDownLatch closed = new CountDownLatch(1);

	private final CountDownLatch release = new CountDownLatch(1);

	@AfterEach
	void releaseHangingCall() {
		this.release.countDown();
	}

	@ParameterizedTest
	@ValueSource(ints = { 0, 1, 7 })
	void shouldEndAfterItsCallsWhenNothingFails(int limit) throws InterruptedException {
		WarmUp warmUp = start(new Limits(limit, LONG), (_) -> {
		});
		this.closed.await();
		assertThat(this.calls).hasValue(limit);
		awaitEnd(warmUp);
	}

	// Guards against a gateway that is never ready because its own calls hang.
	@ParameterizedTest
	@ValueSource(longs = { 0, 100 })
	void shouldNotHoldBackBeyondItsBoundWhenACallHangs(long holdMillis) throws InterruptedException {
		WarmUp warmUp = start(new Limits(5, Duration.ofMillis(holdMillis)), (_) -> hang());
		awaitEnd(warmUp);
		assertThat(this.closed.getCount()).isOne();
	}

	// Guards against calls of its own beside those of callers when a gateway restarts.
	@Test
	void shouldEndOnceLoadedWhenNothingIsHeldBack() throws InterruptedException {
		WarmUp warmUp = start(new Limits(Integer.MAX_VALUE, Duration.ZERO), (number) -> this.loaded.set(number >= 3));
		this.closed.await();
		assertThat(this.calls).hasValue(4);
		assertThat(warmUp.holdsBack()).isFalse();
	}

	// Guards against a fault of the warm-up that keeps a gateway from getting ready.
	@Test
	void shouldEndWhenACallFails() throws InterruptedException {
		WarmUp warmUp = start(new Limits(5, LONG), (number) -> {
			throw new IOException("call " + number);
		});
		this.closed.await();
		assertThat(this.calls).hasValue(1);
		awaitEnd(warmUp);
	}

	@Test
	void shouldEndWhenThePathDoesNotOpen() throws InterruptedException {
		awaitEnd(WarmUp.start(new Limits(5, LONG), () -> {
			throw new IllegalStateException("no ports");
		}, this.loaded::get));
	}

	// Guards against a stop that waits for the warm-up.
	@Test
	void shouldSendNoFurtherCallWhenClosed() throws InterruptedException {
		CountDownLatch first = new CountDownLatch(1);
		try (WarmUp _ = start(new Limits(5, LONG), (_) -> {
			first.countDown();
			hang();
		})) {
			first.await();
		}
		this.release.countDown();
		this.closed.await();
		assertThat(this.calls).hasValue(1);
	}

	private void hang() {
		try {
			this.release.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void awaitEnd(WarmUp warmUp) throws InterruptedException {
		while (warmUp.holdsBack()) {
			Thread.sleep(5);
		}
	}

	private WarmUp start(Limits limits, SentCall call) {
		return WarmUp.start(limits, () -> new WarmUp.Path() {
			@Override
			public void call(int number) throws IOException {
				WarmUpTests.this.calls.incrementAndGet();
				call.send(number);
			}

			@Override
			public void close() {
				WarmUpTests.this.closed.countDown();
			}
		}, this.loaded::get);
	}

	/** What a call of the warm-up meets. */
	private interface SentCall {

		void send(int number) throws IOException;

	}

}
