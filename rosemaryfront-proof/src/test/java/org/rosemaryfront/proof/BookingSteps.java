package org.rosemaryfront.proof;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.stream.Collectors;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;

import static org.assertj.core.api.Assertions.assertThat;

/** Steps of the features on promises 3 and 4; the services' own counts are the truth. */
public class BookingSteps {

	private static final String SLOW = "{\"kind\": \"slow\", \"delayMillis\": 4000, \"millis\": 120000}";

	// Longer than the 20 s that a call may take.
	private static final java.time.Duration PAST_DEADLINE = java.time.Duration.ofSeconds(22);

	private static final int CALLERS = 12;

	private final PromiseCluster cluster = PromiseHooks.cluster();

	private final String key = "promise-" + System.nanoTime();

	private final List<Caller.Answer> answers = new ArrayList<>();

	private CompletableFuture<Caller.Answer> open = CompletableFuture.completedFuture(new Caller.Answer(0, ""));

	private int routedBefore;

	// -- faults

	/**
	 * Begins a fault.
	 * @param fault the fault
	 */
	@Given("^bookings meet this: (.*)$")
	public void begin(String fault) {
		switch (fault) {
			case "every service refuses before running" ->
				this.cluster.serviceFault("{\"kind\": \"refuse\", \"millis\": 120000}");
			case "the service dies before it runs the call" ->
				this.cluster.serviceFault("{\"kind\": \"die-mid-call\", \"calls\": 1, \"millis\": 120000}");
			case "the answer is lost after the call ran" ->
				this.cluster.serviceFault("{\"kind\": \"lost-answer\", \"calls\": 1, \"millis\": 120000}");
			case "the table service is down" -> this.cluster.cluster().platformFault("{\"kind\": \"outage\"}");
			case "the table service does not answer" ->
				this.cluster.cluster().platformFault("{\"kind\": \"outage\", \"mode\": \"hang\"}");
			case "the table service loses the answers of claims" ->
				this.cluster.cluster().platformFault("{\"kind\": \"lost-answer\", \"table\": \"claims\"}");
			case "the table service is slow" ->
				this.cluster.cluster().platformFault("{\"kind\": \"slow\", \"delayMillis\": 700}");
			case "nothing" -> {
			}
			default -> throw new IllegalArgumentException("no such fault: " + fault);
		}
	}

	/** Lifts all faults. */
	@When("the fault is over")
	public void end() {
		this.cluster.clearFaults();
	}

	// -- calls

	/** Books through the first entry and reads the answer. */
	@When("a booking is sent")
	public void book() {
		this.answers.add(book(0));
	}

	/** Repeats the booking through each entry, one after the other. */
	@When("the booking is repeated through every entry")
	public void repeat() {
		for (int entry = 0; entry < this.cluster.cluster().entries().size(); entry++) {
			this.answers.add(book(entry));
		}
	}

	/** Sends the same booking through all entries at the same time. */
	@When("the booking is sent many times at once through all entries")
	public void bookAtOnce() {
		int entries = this.cluster.cluster().entries().size();
		List<CompletableFuture<Caller.Answer>> sent = new ArrayList<>();
		for (int i = 0; i < CALLERS; i++) {
			int entry = i % entries;
			sent.add(inBackground(() -> book(entry)));
		}
		sent.forEach((answer) -> this.answers.add(answer.join()));
	}

	/** Sends a booking that takes seconds, and waits until the service has it. */
	@When("a booking is under way at a service")
	public void bookSlowly() {
		this.cluster.serviceFault(SLOW);
		this.routedBefore = routed();
		this.open = inBackground(() -> book(0));
		Pause.until("the call is routed", PromiseCluster.LIMIT, () -> routed() > this.routedBefore);
	}

	/** Kills the entry that holds the call. */
	@When("its entry is killed")
	public void killEntry() {
		this.cluster.cluster().entries().getFirst().kill();
	}

	/** Freezes the entry that holds the call until the call's time is over. */
	@When("its entry is frozen past the call's deadline")
	public void freezeEntry() {
		this.cluster.cluster().entries().getFirst().freeze();
		Pause.of(PAST_DEADLINE);
	}

	/** Repeats the booking through the entries that still answer. */
	@When("the booking is repeated through the other entries")
	public void repeatElsewhere() {
		for (int entry = 1; entry < this.cluster.cluster().entries().size(); entry++) {
			this.answers.add(book(entry));
		}
	}

	/** Thaws the entry and reads its answer. */
	@When("its entry goes on")
	public void thawEntry() {
		this.cluster.cluster().entries().getFirst().thaw();
	}

	/** Reads the answer of the call that was under way. */
	@When("the first caller has its answer")
	public void readFirst() {
		this.answers.addFirst(this.open.join());
	}

	private Caller.Answer book(int entry) {
		String body = "{\"household\": \"" + this.key + "\", \"slot\": \"2026-12-07T09:00\"}";
		try (Caller caller = this.cluster.caller("sfax")) {
			return caller.post(entry, "booking/bookings", this.key, body);
		}
	}

	private static CompletableFuture<Caller.Answer> inBackground(java.util.function.Supplier<Caller.Answer> call) {
		return CompletableFuture.supplyAsync(call, Executors.newVirtualThreadPerTaskExecutor());
	}

	private int routed() {
		return this.cluster.logged("SERVICE_CALL_ROUTED").size();
	}

	// -- truth

	/** The services ran the booking at most once. */
	@Then("the booking ran at most once and every verdict is true")
	public void verdictsAreTrue() {
		int runs = runs();
		Set<String> verdicts = this.answers.stream().map(Caller.Answer::verdict).collect(Collectors.toSet());
		assertThat(runs).as(this.answers.toString()).isLessThanOrEqualTo(1);
		if (verdicts.contains("ran")) {
			assertThat(runs).as(this.answers.toString()).isEqualTo(1);
		}
		if (verdicts.equals(Set.of("not-run"))) {
			assertThat(runs).as(this.answers.toString()).isZero();
		}
		List<String> outcomes = this.answers.stream()
			.filter((answer) -> answer.status() == 201)
			.map(Caller.Answer::body)
			.distinct()
			.toList();
		assertThat(outcomes).as("different outcomes of one booking").hasSizeLessThanOrEqualTo(1);
	}

	/**
	 * The verdict that the first caller read.
	 * @param verdict the verdict
	 */
	@Then("the first caller reads {string}")
	public void firstReads(String verdict) {
		assertThat(this.answers.getFirst().verdict()).as(this.answers.toString()).isEqualTo(verdict);
	}

	/** A booking that did not run can be made by a repeat. */
	@Then("the repeats confirm one booking")
	public void repeatsConfirm() {
		assertThat(this.answers.getLast().status()).as(this.answers.toString()).isEqualTo(201);
		assertThat(runs()).as(this.answers.toString()).isEqualTo(1);
	}

	private int runs() {
		return this.cluster.cluster().executions().getOrDefault(this.key, 0);
	}

}
