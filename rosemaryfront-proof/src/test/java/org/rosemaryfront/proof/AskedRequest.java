package org.rosemaryfront.proof;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import static org.assertj.core.api.Assertions.assertThat;

/** A request of a caller that is under way while a fault strikes. */
final class AskedRequest {

	private static final int TOKENS = 120;

	private static final int MID = TOKENS / 2;

	private static final int NEAR_END = TOKENS - 10;

	private final PromiseCluster cluster;

	private final String question;

	private final Map<String, Long> generatedBefore;

	private final int dispatchesBefore;

	private final CompletableFuture<Received> received;

	private AskedRequest(PromiseCluster cluster, Caller caller, String question, boolean streamed) {
		this.cluster = cluster;
		this.question = question;
		this.generatedBefore = cluster.generated();
		this.dispatchesBefore = dispatches().size();
		this.received = CompletableFuture.supplyAsync(() -> ask(caller, streamed),
				Executors.newVirtualThreadPerTaskExecutor());
	}

	/**
	 * Sends a request to the first entry. Its prompt is long, so that it does not have
	 * its first token at once.
	 */
	static AskedRequest of(PromiseCluster cluster, Caller caller, boolean streamed) {
		String topic = "Summarise the round of " + System.nanoTime() + " ";
		String question = topic + "with all its quotes and visits ".repeat(300) + "length=" + TOKENS;
		return new AskedRequest(cluster, caller, question, streamed);
	}

	private Received ask(Caller caller, boolean streamed) {
		try (caller) {
			if (streamed) {
				Caller.Streamed answer = caller.chat(PromiseCluster.MODEL, this.question, TOKENS, (_) -> {
				});
				return new Received(answer.request(), answer.whole(), answer.text(), answer.toString());
			}
			Caller.Whole answer = caller.whole(PromiseCluster.MODEL, this.question, TOKENS);
			return new Received(answer.request(), answer.status() == 200, answer.text(), answer.toString());
		}
	}

	// -- steps

	/** Waits until the answer has reached a step. */
	void await(String step) {
		switch (step) {
			case "before the first token" -> awaitDispatch();
			case "mid-stream" -> awaitTokens(MID);
			case "near the end" -> awaitTokens(NEAR_END);
			default -> throw new IllegalArgumentException("no such step: " + step);
		}
	}

	private void awaitDispatch() {
		Pause.until("the request is dispatched", PromiseCluster.LIMIT,
				() -> dispatches().size() > this.dispatchesBefore || ended());
		assertThat(dispatches().size()).as(() -> received().detail()).isGreaterThan(this.dispatchesBefore);
	}

	// An engine that has not loaded the model yet refuses, and the request goes to
	// another; so the engine is looked up anew each time.
	private void awaitTokens(int tokens) {
		awaitDispatch();
		Pause.until(tokens + " tokens are generated", PromiseCluster.LIMIT, () -> ended()
				|| this.cluster.address(server()).filter((engine) -> generated(engine) >= tokens).isPresent());
	}

	private long generated(String engine) {
		return this.cluster.generated(engine) - this.generatedBefore.get(engine);
	}

	// -- queries

	private List<String> dispatches() {
		return this.cluster.logged("REQUEST_DISPATCHED");
	}

	/** The identifier of the request, as the entries log it. */
	String request() {
		return PromiseCluster.field(dispatches().get(this.dispatchesBefore), "request");
	}

	/** The backend servers it was sent to, in order. */
	List<String> servers() {
		String request = request();
		return dispatches().stream()
			.filter((line) -> PromiseCluster.field(line, "request").equals(request))
			.map((line) -> PromiseCluster.field(line, "server"))
			.toList();
	}

	/** The backend server that serves it now. */
	String server() {
		return servers().getLast();
	}

	String expected() {
		return String.join("", Questions.tokens(PromiseCluster.MODEL, this.question, TOKENS));
	}

	boolean ended() {
		return this.received.isDone();
	}

	Received received() {
		return this.received.orTimeout(PromiseCluster.LIMIT.toSeconds(), TimeUnit.SECONDS).join();
	}

	/**
	 * What the caller got.
	 *
	 * @param request the identifier of the request
	 * @param whole whether the answer was said to be whole
	 * @param text the text
	 * @param detail all that is known, for messages
	 */
	record Received(String request, boolean whole, String text, String detail) {
	}

}
