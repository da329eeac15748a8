package org.rosemaryfront.gateway;

import java.io.IOException;
import java.util.Locale;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.rosemaryfront.gateway.RawCaller.Response;

/**
 * Callers who call one after the other, each over connections of its own and whether or
 * not the earlier ones were answered. Each returns once if it is refused, when it was
 * told to, or if its connection was closed unread.
 */
final class Crowd {

	/** The target of the route. */
	private static final long TARGET_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private final GatewayHarness gateway;

	private final AtomicInteger inTime = new AtomicInteger();

	private final AtomicInteger late = new AtomicInteger();

	private final AtomicInteger refused = new AtomicInteger();

	private final AtomicInteger closed = new AtomicInteger();

	private Crowd(GatewayHarness gateway) {
		this.gateway = gateway;
	}

	/**
	 * Calls a gateway.
	 * @param gateway the gateway
	 * @param count the number of calls
	 * @param intervalMillis the time between two calls, in milliseconds
	 * @return what became of them
	 */
	static Crowd call(GatewayHarness gateway, int count, long intervalMillis) throws InterruptedException {
		Crowd crowd = new Crowd(gateway);
		long begin = System.nanoTime();
		try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
			for (int i = 0; i < count; i++) {
				int number = i;
				callers.submit(() -> crowd.call(number));
				long next = begin + TimeUnit.MILLISECONDS.toNanos(intervalMillis * (i + 1));
				TimeUnit.NANOSECONDS.sleep(next - System.nanoTime());
			}
		}
		return crowd;
	}

	int inTime() {
		return this.inTime.get();
	}

	private void call(int number) {
		long begin = System.nanoTime();
		long returnMillis = attempt("c" + number, begin);
		if (returnMillis >= 0) {
			sleep(returnMillis);
			attempt("c" + number + "-again", begin);
		}
	}

	// Returns the time after which the caller may return, in milliseconds; -1 if it was
	// answered.
	private long attempt(String call, long beginNanos) {
		try {
			Response response = this.gateway.send(RawCaller.get(call, "/sheets/"));
			if (response.head().isEmpty()) {
				this.closed.incrementAndGet();
				return 0;
			}
			if (response.status() != 200) {
				this.refused.incrementAndGet();
				return Math.round(1_000 * response.retryAfterSeconds());
			}
			boolean isLate = System.nanoTime() - beginNanos > TARGET_NANOS;
			(isLate ? this.late : this.inTime).incrementAndGet();
			return -1;
		}
		catch (IOException ex) {
			this.closed.incrementAndGet();
			return 0;
		}
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Override
	public String toString() {
		return String.format(Locale.ROOT, "in time %d, late %d, refused %d, closed %d", this.inTime.get(),
				this.late.get(), this.refused.get(), this.closed.get());
	}

}
