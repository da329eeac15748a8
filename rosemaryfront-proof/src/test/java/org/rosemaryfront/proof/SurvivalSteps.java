package org.rosemaryfront.proof;

import java.time.Duration;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;

import static org.assertj.core.api.Assertions.assertThat;

/** Steps of the features on promises 1 and 2. */
public class SurvivalSteps {

	/** Less than the rest of an answer takes mid-stream. */
	private static final Duration RUNNER_NOTICE = Duration.ofMillis(1_500);

	private static final Duration ENTRY_NOTICE = Duration.ofSeconds(3);

	private static final Duration NONE = Duration.ZERO;

	private static final int MILLIS_PER_FAULT = 120_000;

	private final PromiseCluster cluster = PromiseHooks.cluster();

	private AskedRequest asked;

	private String owner;

	/**
	 * Sends a request; the engines are slowed down, so that a fault meets the step that
	 * it is meant for.
	 * @param form {@code streamed} or {@code whole}
	 * @param organisation who asks
	 */
	@Given("a {word} answer is on its way to {string}")
	public void ask(String form, String organisation) {
		this.cluster.engineFault("{\"kind\": \"slow\", \"factor\": 3, \"millis\": " + MILLIS_PER_FAULT + "}");
		this.owner = organisation;
		this.asked = AskedRequest.of(this.cluster, this.cluster.caller(organisation), form.equals("streamed"));
	}

	/**
	 * Lets a fault strike when the answer has reached a step.
	 * @param fault the fault
	 * @param step the step
	 */
	@When("^(its .*|the cloud .*) (before the first token|mid-stream|near the end)$")
	public void strike(String fault, String step) {
		this.asked.await(step);
		assertThat(this.asked.ended()).as("the answer ended before the fault").isFalse();
		ManagedProcess entry = this.cluster.cluster().entries().getFirst();
		switch (fault) {
			case "its runner is reclaimed with notice" -> reclaim(RUNNER_NOTICE);
			case "its runner halts without notice" -> reclaim(NONE);
			case "its engine's open connections fall silent" -> this.cluster.engineFault("{\"kind\": \"silent\"}");
			case "its runner's zone is reclaimed" -> this.cluster.cluster()
				.reclaim("\"zone\": \"" + this.cluster.zone(this.asked.server()) + "\"", RUNNER_NOTICE);
			case "its runner and then its next runner are reclaimed" -> reclaimTwice();
			case "its entry is asked to stop" -> {
				entry.terminate();
				this.cluster.retire(entry);
			}
			case "its entry is reclaimed" -> reclaimEntry(entry);
			default -> throw new IllegalArgumentException("no such fault: " + fault);
		}
	}

	private void reclaim(Duration notice) {
		this.cluster.cluster().reclaim("\"vm\": \"" + this.asked.server() + "\"", notice);
	}

	private void reclaimTwice() {
		int before = this.asked.servers().size();
		reclaim(RUNNER_NOTICE);
		Pause.until("the request is sent elsewhere or ended", PromiseCluster.LIMIT,
				() -> this.asked.servers().size() > before || this.asked.ended());
		reclaim(RUNNER_NOTICE);
	}

	// The cloud tells the entry and takes its VM when the notice is over.
	private void reclaimEntry(ManagedProcess entry) {
		this.cluster.cluster().reclaim("\"vm\": \"" + entry.name() + "\"", ENTRY_NOTICE);
		this.cluster.retire(entry);
		Thread.ofVirtual().start(() -> {
			Pause.of(ENTRY_NOTICE);
			entry.kill();
		});
	}

	/** The answer is whole and the caller's own. */
	@Then("the caller gets the whole answer")
	public void answerIsWhole() {
		AskedRequest.Received received = this.asked.received();
		assertThat(received.whole()).as(received.detail()).isTrue();
		assertThat(received.text()).as(received.detail()).isEqualTo(this.asked.expected());
	}

	// -- promise 2

	/**
	 * Asks every entry for the answer with another organisation's key.
	 * @param organisation who asks
	 */
	@Then("{string} reads 404 for it from every entry")
	public void readsNotFound(String organisation) {
		assertThat(organisation).isNotEqualTo(this.owner);
		String request = this.asked.request();
		try (Caller stranger = this.cluster.caller(organisation)) {
			for (int entry = 0; entry < this.cluster.cluster().entries().size(); entry++) {
				assertThat(stranger.result(entry, request).status()).isEqualTo(404);
			}
		}
	}

	/** The request has its first tokens. */
	@When("it is mid-stream")
	public void midStream() {
		this.asked.await("mid-stream");
	}

}
