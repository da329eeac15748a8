package org.rosemaryfront.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** A simulation with virtual time, messages in transit and the violations found. */
final class Simulation {

	static final long MILLI = 1_000_000;

	static final long TIMEOUT_NANOS = 1_000 * MILLI;

	final SplittableRandom random;

	final List<String> violations = new ArrayList<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private long sequence;

	long now = 1_000_000 * MILLI;

	/** The fraction of requests that are lost before they take effect. */
	double requestLossRate;

	/** The fraction of responses that are lost after the request took effect. */
	double responseLossRate;

	/** The maximum one-way delay of a message, in milliseconds. */
	long maxDelayMillis = 20;

	Simulation(long seed) {
		this.random = new SplittableRandom(seed);
	}

	void after(long nanos, Runnable action) {
		this.events.add(new Event(this.now + nanos, this.sequence++, action));
	}

	// Sends a request and delivers its response; the caller learns of a lost message at
	// the timeout.
	<T> void call(Supplier<T> effect, Consumer<T> onResponse, Runnable onTimeout) {
		boolean[] completed = { false };
		if (this.random.nextDouble() >= this.requestLossRate) {
			after(randomDelayNanos(), () -> {
				T response = effect.get();
				if (this.random.nextDouble() >= this.responseLossRate) {
					after(randomDelayNanos(), () -> {
						if (!completed[0]) {
							completed[0] = true;
							onResponse.accept(response);
						}
					});
				}
			});
		}
		after(TIMEOUT_NANOS, () -> {
			if (!completed[0]) {
				completed[0] = true;
				onTimeout.run();
			}
		});
	}

	void run(long nanos) {
		long end = this.now + nanos;
		while (!this.events.isEmpty() && this.events.peek().at <= end) {
			Event next = this.events.poll();
			this.now = next.at;
			next.action.run();
		}
		this.now = end;
	}

	void check(boolean satisfied, String message) {
		if (!satisfied) {
			this.violations.add(this.now / MILLI + " ms: " + message);
		}
	}

	private long randomDelayNanos() {
		return 1 + this.random.nextLong(this.maxDelayMillis * MILLI);
	}

	private record Event(long at, long sequence, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int byTime = Long.compare(this.at, other.at);
			return (byTime != 0) ? byTime : Long.compare(this.sequence, other.sequence);
		}

	}

}
