package org.rosemaryfront.proof;

import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;

import static org.assertj.core.api.Assertions.assertThat;

/** Steps of the feature on promise 7. */
public class ConfigurationSteps {

	private static final int CHANGES = 8;

	private final PromiseCluster cluster = PromiseHooks.cluster();

	private final ConcurrentSkipListSet<Long> applied = new ConcurrentSkipListSet<>();

	private ManagedProcess newcomer;

	private long before;

	// -- changes

	/** Two operators change the same resource through different entries. */
	@When("two operators change one resource through different entries at the same time")
	public void race() {
		this.before = revision(entry(0));
		List<Thread> operators = new ArrayList<>();
		for (int operator = 0; operator < 2; operator++) {
			ManagedProcess entry = entry(operator);
			String name = "operator-" + operator + "-" + System.nanoTime();
			operators.add(Thread.ofVirtual().start(() -> {
				for (int i = 0; i < CHANGES; i++) {
					apply(entry, name + "-" + i, 30_000 + i).ifPresent(this.applied::add);
				}
			}));
		}
		operators.forEach(ConfigurationSteps::join);
		assertThat(this.applied).isNotEmpty();
	}

	/** Applies a change while answers of the table service are lost, then repeats it. */
	@When("a change is applied while answers of the table service are lost, and repeated")
	public void applyOverLostAnswers() {
		this.before = revision(entry(0));
		String transaction = "lost-" + System.nanoTime();
		this.cluster.cluster().platformFault("{\"kind\": \"lost-answer\", \"table\": \"configuration\"}");
		apply(entry(0), transaction, 41_000).ifPresent(this.applied::add);
		this.cluster.clearFaults();
		this.applied.add(apply(entry(1), transaction, 41_000).orElseThrow());
	}

	/** Applies a change. */
	@When("a change is applied")
	public void applyOnce() {
		this.before = revision(entry(1));
		this.applied.add(apply(entry(1), "once-" + System.nanoTime(), 42_000 + this.before).orElseThrow());
	}

	/**
	 * The table service goes down, and an entry starts that has never seen a revision.
	 */
	@When("the table service is down and a new entry starts")
	public void startInOutage() {
		this.cluster.cluster().platformFault("{\"kind\": \"outage\"}");
		this.newcomer = this.cluster.startEntry(entry(0).zone());
	}

	/** Freezes the first entry. */
	@Given("an entry is frozen")
	public void freeze() {
		entry(0).freeze();
	}

	/** Thaws the first entry when the others have the change. */
	@When("it goes on after the others have the change in force")
	public void thaw() {
		List<ManagedProcess> others = this.cluster.cluster().entries();
		awaitInForce(others.subList(1, others.size()));
		entry(0).thaw();
	}

	private OptionalLong apply(ManagedProcess entry, String transaction, long millis) {
		String target = "{\"kind\": \"LatencyTarget\", \"name\": \"summary\", \"spec\": {\"pool\": \"assistant\","
				+ " \"priority\": \"summary\", \"firstTokenMillis\": 10000, \"betweenTokensMillis\": 250,"
				+ " \"answerMillis\": " + millis + ", \"standard\": false}}";
		try {
			JsonNode answer = this.cluster.cluster()
				.call("POST", entry.listener("operators"), "/apis/v1/apply",
						"{\"transaction\": \"" + transaction + "\", \"resources\": [" + target + "]}");
			return OptionalLong.of(answer.path("revision").asLong());
		}
		catch (IllegalStateException | UncheckedIOException ex) {
			return OptionalLong.empty();
		}
	}

	// -- in force

	/** Every entry has the highest revision that an operator was told. */
	@Then("the last change is in force on every entry")
	public void inForceEverywhere() {
		awaitInForce(this.cluster.cluster().entries());
	}

	/** The newcomer has what the others have, while the table service is still down. */
	@Then("the new entry has the last change in force while the table service is down")
	public void inForceOnNewcomer() {
		awaitInForce(List.of(this.newcomer));
	}

	/** The change raised the revision once. */
	@Then("the change was declared once")
	public void declaredOnce() {
		assertThat(this.applied).containsExactly(this.before + 1);
	}

	/** The revisions that each entry logged when it took them into force only grow. */
	@Then("no entry ever went back to an earlier revision")
	public void neverReverts() {
		this.cluster.cluster()
			.processes()
			.stream()
			.filter((process) -> process.program().equals("rosemaryfront-entry"))
			.forEach((entry) -> assertThat(entry.logged(" CONFIGURATION_APPLIED ").stream().map(this::applied).toList())
				.as(entry.name())
				.isSorted()
				.doesNotHaveDuplicates());
	}

	private long applied(String line) {
		return Long.parseLong(PromiseCluster.field(line, "revision"));
	}

	private void awaitInForce(List<ManagedProcess> entries) {
		long wanted = this.applied.last();
		for (ManagedProcess entry : entries) {
			Pause.until("revision " + wanted + " is in force on " + entry.name(), PromiseCluster.LIMIT,
					() -> revision(entry) >= wanted);
		}
	}

	private long revision(ManagedProcess entry) {
		return StreamSupport.stream(this.cluster.status(entry).path("nodes").spliterator(), false)
			.filter((node) -> node.path("vm").asText().equals(entry.name()))
			.filter((node) -> node.path("role").asText().equals("entry"))
			.mapToLong((node) -> node.path("revision").asLong())
			.findFirst()
			.orElse(0);
	}

	private ManagedProcess entry(int index) {
		return this.cluster.cluster().entries().get(index);
	}

	private static void join(Thread thread) {
		try {
			thread.join();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
