package org.rosemaryfront.proof;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** Callers that stream, wait for whole answers and book without a pause. */
final class PromiseLoad implements AutoCloseable {

	private static final int CALLERS = 6;

	private static final int TOKENS = 60;

	private static final Duration PAUSE = Duration.ofMillis(50);

	private final PromiseCluster cluster;

	private final List<Thread> threads = new ArrayList<>();

	private final Queue<String> broken = new ConcurrentLinkedQueue<>();

	private final Queue<String> refused = new ConcurrentLinkedQueue<>();

	private final AtomicInteger whole = new AtomicInteger();

	private final AtomicInteger sent = new AtomicInteger();

	private volatile List<String> targets;

	private volatile boolean stopped;

	private PromiseLoad(PromiseCluster cluster) {
		this.cluster = cluster;
		this.targets = cluster.cluster().callers();
	}

	static PromiseLoad start(PromiseCluster cluster) {
		PromiseLoad load = new PromiseLoad(cluster);
		for (int i = 0; i < CALLERS; i++) {
			int kind = i % 3;
			load.threads.add(Thread.ofVirtual().start(() -> load.call(kind)));
		}
		load.awaitMore();
		return load;
	}

	/** What a balancer does: it sends requests only to these entries from now on. */
	void balanceOver(List<String> entries) {
		this.targets = List.copyOf(entries);
	}

	/** Waits until all callers have had some more answers. */
	void awaitMore() {
		int wanted = this.whole.get() + 2 * CALLERS;
		Pause.until("more answers under load; broken: " + this.broken, PromiseCluster.LIMIT,
				() -> this.whole.get() >= wanted || !this.broken.isEmpty());
	}

	private void call(int kind) {
		while (!this.stopped) {
			int number = this.sent.incrementAndGet();
			List<String> entries = new ArrayList<>(this.targets);
			java.util.Collections.rotate(entries, number);
			try (Caller caller = Caller.of("sousse", Deployment.key("sousse"), entries)) {
				switch (kind) {
					case 0 -> stream(caller, question(number));
					case 1 -> whole(caller, question(number));
					default -> book(caller, "load-" + System.nanoTime() + "-" + number);
				}
			}
			Pause.of(PAUSE);
		}
	}

	private static String question(int number) {
		return "Load " + number + " of " + System.nanoTime() + " length=" + TOKENS;
	}

	private static String expected(String question) {
		return String.join("", Questions.tokens(PromiseCluster.MODEL, question, TOKENS));
	}

	private void stream(Caller caller, String question) {
		Caller.Streamed answer = caller.chat(PromiseCluster.MODEL, question, TOKENS, (_) -> {
		});
		boolean good = answer.whole() && answer.text().equals(expected(question));
		note(good, (answer.tokens() == 0) ? answer.problem().orElse("") : "", answer.toString());
	}

	private void whole(Caller caller, String question) {
		Caller.Whole answer = caller.whole(PromiseCluster.MODEL, question, TOKENS);
		boolean good = answer.status() == 200 && answer.text().equals(expected(question));
		note(good, answer.body(), answer.toString());
	}

	private void book(Caller caller, String key) {
		Caller.Answer answer = caller.post(0, "booking/bookings", key,
				"{\"household\": \"" + key + "\", \"slot\": \"2026-12-07T09:00\"}");
		note(answer.status() == 201, answer.body(), answer.toString());
	}

	private void note(boolean good, String problem, String detail) {
		if (good) {
			this.whole.incrementAndGet();
		}
		else if (problem.contains("\"verdict\":\"not-run\"")) {
			this.refused.add(detail);
		}
		else {
			this.broken.add(java.time.LocalTime.now() + " " + detail);
		}
	}

	// -- results

	List<String> broken() {
		return List.copyOf(this.broken);
	}

	/** The counts in words, for the report. */
	String summary() {
		return this.sent.get() + " sent, " + this.whole.get() + " whole, " + this.refused.size()
				+ " refused as not run, " + this.broken.size() + " broken";
	}

	/** Lets every caller finish its last request. */
	@Override
	public void close() {
		this.stopped = true;
		for (Thread thread : this.threads) {
			try {
				thread.join(PromiseCluster.LIMIT);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
	}

}
