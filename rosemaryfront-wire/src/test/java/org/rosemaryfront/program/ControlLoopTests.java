package org.rosemaryfront.program;

import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class ControlLoopTests {

	private static final Duration TICK = Duration.ofMillis(5);

	private static final long TIMEOUT_SECONDS = 20;

	// Guards against a process that looks alive and decides nothing.
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void shouldReportErrorWhenWorkOrTickFailsWithError(boolean isTick) throws InterruptedException {
		CountDownLatch failed = new CountDownLatch(1);
		try (ControlLoop loop = ControlLoop.start(Thread::new, TICK, (_) -> {
			if (isTick) {
				throw new StackOverflowError("test");
			}
		}, failed::countDown)) {
			loop.post((_) -> {
				if (!isTick) {
					throw new StackOverflowError("test");
				}
			});
			assertThat(failed.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
		}
	}

	@Test
	void shouldContinueWhenWorkFailsWithException() throws InterruptedException {
		CountDownLatch failed = new CountDownLatch(1);
		CountDownLatch worked = new CountDownLatch(1);
		try (ControlLoop loop = ControlLoop.start(Thread::new, TICK, (_) -> {
		}, failed::countDown)) {
			loop.post((_) -> {
				throw new IllegalStateException("test");
			});
			loop.post((_) -> worked.countDown());
			assertThat(worked.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
			assertThat(failed.getCount()).isOne();
		}
	}

	// Guards against a delay that is reported long after it is over.
	@Test
	void shouldReportNoLagWhenNothingIsPostedAfterLateWork() throws InterruptedException {
		CountDownLatch posted = new CountDownLatch(1);
		CountDownLatch worked = new CountDownLatch(1);
		CountDownLatch ticksAfterWork = new CountDownLatch(3);
		AtomicLong lagNanos = new AtomicLong();
		try (ControlLoop loop = ControlLoop.start(Thread::new, TICK, (_) -> {
			await(posted);
			if (worked.getCount() == 0) {
				ticksAfterWork.countDown();
			}
		}, () -> {
		})) {
			loop.post((_) -> {
				lagNanos.set(loop.lagNanos());
				worked.countDown();
			});
			Thread.sleep(TICK.toMillis());
			posted.countDown();
			assertThat(ticksAfterWork.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
			assertThat(lagNanos.get()).isPositive();
			assertThat(loop.lagNanos()).isZero();
		}
	}

	private static void await(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// Guards against a process whose control thread has ended, but not its other threads.
	@Test
	void shouldEndProcessWhenWorkFailsWithError() throws Exception {
		Process process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
				System.getProperty("java.class.path"), Overflow.class.getName())
			.redirectErrorStream(true)
			.start();
		String output = new String(process.getInputStream().readAllBytes());
		assertThat(process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
		assertThat(process.exitValue()).isEqualTo(Program.FAILED);
		assertThat(output).contains("CONTROL_THREAD_FAILED").contains("StackOverflowError");
	}

	/** A program whose control thread overflows its stack. */
	static final class Overflow {

		private static int depth;

		private Overflow() {
		}

		static void main(String[] args) throws InterruptedException {
			ControlLoop loop = ControlLoop.start("control", TICK, (_) -> {
			});
			loop.post((_) -> overflow());
			Thread.sleep(TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS / 2));
		}

		private static int overflow() {
			depth++;
			return overflow() + depth;
		}

	}

}
