package org.rosemaryfront.proof;

import java.time.Duration;
import java.time.LocalDateTime;
import java.time.format.DateTimeFormatter;
import java.util.List;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;

import static org.assertj.core.api.Assertions.assertThat;

/** Steps of the feature on promise 5. */
public class LeavingSteps {

	private static final Duration NOTICE = Duration.ofSeconds(20);

	/** The bound that is asserted: the few seconds of the promise with a wide margin. */
	private static final Duration BOUND = Duration.ofSeconds(10);

	private static final DateTimeFormatter TIME = DateTimeFormatter.ofPattern("yyyy-MM-dd HH:mm:ss.SSS");

	private static final int TIME_LENGTH = "2026-12-02 18:12:40.316".length();

	private final PromiseCluster cluster = PromiseHooks.cluster();

	private PromiseLoad load;

	private String runner;

	private LocalDateTime reclaimedAt;

	/**
	 * Starts callers and a fault in what tells the entries of departures.
	 * @param fault the fault
	 */
	@Given("^callers send requests while (.*)$")
	public void startLoad(String fault) {
		this.load = PromiseLoad.start(this.cluster);
		switch (fault) {
			case "the VM list is frozen" -> this.cluster.cluster().platformFault("{\"kind\": \"freeze-vm-list\"}");
			case "notices are lost" -> this.cluster.cluster().platformFault("{\"kind\": \"lose-notices\"}");
			case "nothing fails" -> {
			}
			default -> throw new IllegalArgumentException("no such fault: " + fault);
		}
	}

	/** Reclaims a runner and waits past the bound. */
	@When("a runner is reclaimed with a long notice")
	public void reclaim() {
		this.runner = PromiseCluster.field(this.cluster.logged("REQUEST_DISPATCHED").getLast(), "server");
		this.reclaimedAt = LocalDateTime.now();
		this.cluster.cluster().reclaim("\"vm\": \"" + this.runner + "\"", NOTICE);
		Pause.of(BOUND.plusSeconds(3));
		this.load.awaitMore();
	}

	/** Reads from the entries' logs when the last new work went to the runner. */
	@Then("no entry sends it new work after the bound")
	public void noNewWork() {
		this.load.close();
		List<Long> learned = millisAfter("SERVER_LEAVING");
		List<Long> dispatches = millisAfter("REQUEST_DISPATCHED");
		System.out.println("leaving: entries learned after " + learned + " ms, new work after " + dispatches + " ms; "
				+ this.load.summary());
		assertThat(learned).as("entries that learned of the departure").isNotEmpty();
		assertThat(dispatches).as("new work").allMatch((millis) -> millis < BOUND.toMillis());
		assertThat(this.load.broken()).as(this.load.summary()).isEmpty();
	}

	private List<Long> millisAfter(String event) {
		return this.cluster.logged(event)
			.stream()
			.filter((line) -> PromiseCluster.field(line, "server").equals(this.runner))
			.filter((line) -> !line.contains("mode=Reattach") && !line.contains("mode=\"Reattach"))
			.map((line) -> LocalDateTime.parse(line.substring(0, TIME_LENGTH), TIME))
			.filter((time) -> time.isAfter(this.reclaimedAt))
			.map((time) -> Duration.between(this.reclaimedAt, time).toMillis())
			.toList();
	}

	/** Ends the callers when a step failed. */
	@After
	public void stopLoad() {
		if (this.load != null) {
			this.load.close();
		}
	}

}
