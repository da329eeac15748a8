package org.rosemaryfront.proof;

import java.util.ArrayList;
import java.util.List;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;

import static org.assertj.core.api.Assertions.assertThat;

/** Steps of the feature on promise 6. */
public class StopSteps {

	private final PromiseCluster cluster = PromiseHooks.cluster();

	private PromiseLoad load;

	/** Starts callers of all kinds. */
	@Given("callers stream, wait and book without a pause")
	public void startLoad() {
		this.load = PromiseLoad.start(this.cluster);
	}

	/** Stops an entry as a deployment does. */
	@When("an entry is asked to stop")
	public void stopEntry() {
		stop(this.cluster.cluster().entries().getFirst());
	}

	/** Replaces every entry by a new one, one after the other. */
	@When("all entries are replaced one after the other")
	public void replaceAll() {
		for (ManagedProcess entry : this.cluster.cluster().entries()) {
			ManagedProcess next = this.cluster.startReadyEntry(entry.zone());
			List<String> targets = new ArrayList<>(targetsWithout(entry));
			assertThat(targets).contains("http://" + next.listener("callers"));
			stop(entry);
		}
	}

	/** Stops the controller that holds the lease. */
	@When("the controller that holds the lease is asked to stop")
	public void stopController() {
		String holder = holder();
		ManagedProcess controller = this.cluster.cluster()
			.controllers()
			.stream()
			.filter((found) -> found.name().equals(holder.replace("entry-", "controller-")))
			.findFirst()
			.orElseThrow();
		controller.terminate();
		assertThat(controller.awaitEnd(PromiseCluster.LIMIT)).isTrue();
		Pause.until("another controller holds the lease", PromiseCluster.LIMIT,
				() -> !holder().isEmpty() && !holder().equals(holder));
		this.load.awaitMore();
	}

	private String holder() {
		return this.cluster.status(this.cluster.cluster().entries().getLast()).at("/lease/holder").asText();
	}

	private void stop(ManagedProcess entry) {
		entry.terminate();
		this.load.balanceOver(targetsWithout(entry));
		assertThat(entry.awaitEnd(PromiseCluster.LIMIT)).as(entry.name() + " ended").isTrue();
		assertThat(entry.exitCode()).as(entry.name()).isZero();
		this.cluster.cluster().forget(entry);
		this.load.awaitMore();
	}

	private List<String> targetsWithout(ManagedProcess entry) {
		return this.cluster.cluster()
			.callers()
			.stream()
			.filter((url) -> !url.endsWith(entry.listener("callers")))
			.toList();
	}

	/** No caller's request was cut off. */
	@Then("no request was cut off")
	public void nothingCutOff() {
		this.load.close();
		System.out.println("planned stop: " + this.load.summary());
		assertThat(this.load.broken()).as(this.load.summary()).isEmpty();
	}

	/** Ends the callers when a step failed. */
	@After
	public void stopLoad() {
		if (this.load != null) {
			this.load.close();
		}
	}

}
