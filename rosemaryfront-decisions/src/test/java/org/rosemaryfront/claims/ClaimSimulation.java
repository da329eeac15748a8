package org.rosemaryfront.claims;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Simulates many callers that repeat their calls through several entry processes while
 * these pause and crash and the table service and the backend servers fail. After the
 * faults have ended, one final request is sent for each key.
 */
final class ClaimSimulation {

	private static final ClaimTimes TIMES = new ClaimTimes(2_000, 400, 1_000, 1_500, 50, 20);

	private static final int ENTRIES = 4;

	private static final int KEYS = 30;

	private static final int FAULT_PHASE_MILLIS = 10_000;

	private static final int FINAL_REQUESTS_AT_MILLIS = 30_000;

	private final SimulatedTime time = new SimulatedTime();

	private final Random random;

	private final SimulatedStore store;

	private final SimulatedEntry[] entries = new SimulatedEntry[ENTRIES];

	private final Set<String> terminatedVms = new HashSet<>();

	private final Set<String> violations = new TreeSet<>();

	private final List<SimulatedRequest> requests = new ArrayList<>();

	private final List<SimulatedRequest> finalRequests = new ArrayList<>();

	private int vmCount;

	private ClaimSimulation(long seed) {
		this.random = new Random(seed);
		this.store = new SimulatedStore(this.time, this.random);
	}

	/**
	 * Runs the simulation with one seed.
	 * @param seed the seed
	 * @return the requests and the violated invariants
	 */
	static Result run(long seed) {
		ClaimSimulation simulation = new ClaimSimulation(seed);
		simulation.schedule();
		if (!simulation.time.run()) {
			simulation.violations.add("each call ends: the run exceeded its task limit");
		}
		simulation.check();
		return new Result(seed, simulation.requests, simulation.violations);
	}

	// -- schedule

	private void schedule() {
		for (int i = 0; i < ENTRIES; i++) {
			start(i);
		}
		this.store.faultRate(this.random.nextDouble() * 0.3);
		for (int key = 0; key < KEYS; key++) {
			scheduleKey("key-" + key);
		}
		int faults = this.random.nextInt(12);
		for (int i = 0; i < faults; i++) {
			scheduleFault();
		}
		this.time.after(FAULT_PHASE_MILLIS, () -> this.store.faultRate(0));
		this.time.after(FINAL_REQUESTS_AT_MILLIS, this::sendFinalRequests);
	}

	private void scheduleKey(String key) {
		long first = this.random.nextInt(FAULT_PHASE_MILLIS / 2);
		int repeats = 1 + this.random.nextInt(5);
		for (int i = 0; i < repeats; i++) {
			long gap = this.random.nextBoolean() ? this.random.nextInt(100) : this.random.nextInt(4_000);
			String fingerprint = (this.random.nextInt(12) == 0) ? "other-call" : "call";
			int entry = this.random.nextInt(ENTRIES);
			this.time.after(first + gap, () -> send(entry, key, fingerprint, this.requests));
		}
	}

	private void scheduleFault() {
		long at = this.random.nextInt(FAULT_PHASE_MILLIS - 2_000);
		long length = this.random.nextInt(3_000);
		int entry = this.random.nextInt(ENTRIES);
		switch (this.random.nextInt(4)) {
			case 0 -> {
				this.time.after(at, () -> this.store.down(true));
				this.time.after(at + length, () -> this.store.down(false));
			}
			case 1 -> {
				this.time.after(at, () -> this.store.slow(true));
				this.time.after(at + length, () -> this.store.slow(false));
			}
			case 2 -> this.time.after(at, () -> this.entries[entry].pause(length));
			default -> this.time.after(at, () -> replace(entry));
		}
	}

	private void replace(int entry) {
		this.entries[entry].crash();
		String vm = this.entries[entry].vm();
		switch (this.random.nextInt(3)) {
			case 0 -> start(entry, vm);
			case 1 -> {
				this.terminatedVms.add(vm);
				start(entry);
			}
			default -> start(entry);
		}
	}

	private void start(int entry) {
		start(entry, "entry-" + this.vmCount++);
	}

	private void start(int entry, String vm) {
		this.entries[entry] = new SimulatedEntry(vm, this.time, this.store, this.random, TIMES, this.terminatedVms,
				this.violations);
		this.entries[entry].backendFaultRate((this.random.nextInt(3) == 0) ? 0.5 : 0.1);
	}

	private void send(int entry, String key, String fingerprint, List<SimulatedRequest> target) {
		SimulatedRequest request = new SimulatedRequest(key, fingerprint, "token-" + target.size() + "-" + key);
		target.add(request);
		this.entries[entry].request(request);
	}

	private void sendFinalRequests() {
		start(0);
		this.entries[0].backendFaultRate(0);
		for (int key = 0; key < KEYS; key++) {
			SimulatedRequest finalRequest = new SimulatedRequest("key-" + key, "call", "probe-" + key);
			this.finalRequests.add(finalRequest);
			this.entries[0].request(finalRequest);
		}
	}

	// -- invariants

	private void check() {
		this.requests.forEach(this::checkRequest);
		this.finalRequests.forEach(this::checkRequest);
		Map<String, List<SimulatedRequest>> byKey = this.requests.stream()
			.collect(Collectors.groupingBy((request) -> request.key));
		this.finalRequests
			.forEach((finalRequest) -> checkKey(finalRequest, byKey.getOrDefault(finalRequest.key, List.of())));
	}

	private void checkRequest(SimulatedRequest request) {
		long deadline = request.arrived + TimeUnit.MILLISECONDS.toNanos(TIMES.callMillis());
		require(request.replies.size() <= 1, "a call has at most one response", request);
		require(!request.failedWith("not-run") || request.runs == 0, "not-run means that the call did not run",
				request);
		boolean entryRanThroughout = !request.entryCrashed && !request.entryPaused && request.arrived >= 0;
		if (entryRanThroughout) {
			boolean inTime = request.repliedAt.isPresent() && request.repliedAt.getAsLong() <= deadline;
			require(inTime, "each call has its response by its deadline", request);
		}
		request.sends.forEach((at) -> require(at <= deadline, "nothing is sent after the deadline", request));
		request.outcome()
			.ifPresent((outcome) -> require(outcome.body().endsWith("/" + request.fingerprint),
					"a response belongs to its call", request));
	}

	private void checkKey(SimulatedRequest finalRequest, List<SimulatedRequest> earlier) {
		List<SimulatedRequest> all = new ArrayList<>(earlier);
		all.add(finalRequest);
		int runs = all.stream().mapToInt((request) -> request.runs).sum();
		require(runs <= 1, "a key runs at most once", finalRequest, all);
		boolean sameCall = earlier.stream().allMatch((request) -> request.fingerprint.equals("call"));
		require(!sameCall || all.stream().noneMatch((request) -> request.failedWith("key-reused")),
				"a repeat of the same call is not refused as another call", finalRequest, all);
		Set<ClaimOutcome> outcomes = all.stream()
			.flatMap((request) -> request.outcome().stream())
			.collect(Collectors.toSet());
		require(outcomes.size() <= 1, "each repeat has the same outcome", finalRequest, all);
		if (sameCall && earlier.stream().anyMatch(SimulatedRequest::hasStoredOutcome)) {
			require(finalRequest.outcome().isPresent(), "a stored outcome is kept", finalRequest, all);
		}
		boolean neverRan = earlier.stream().noneMatch((request) -> request.mayHaveRun || request.runs > 0);
		if (sameCall && neverRan) {
			require(finalRequest.outcome().isPresent(), "a key that never ran can run", finalRequest, all);
		}
	}

	private void require(boolean holds, String invariant, SimulatedRequest request) {
		require(holds, invariant, request, List.of());
	}

	private void require(boolean holds, String invariant, SimulatedRequest request, List<SimulatedRequest> all) {
		if (!holds) {
			this.violations.add(invariant + ": " + request + " row=" + this.store.row(request.key) + " all=" + all);
		}
	}

	/**
	 * Result of a run.
	 *
	 * @param seed its seed
	 * @param requests all requests
	 * @param violations the broken invariants
	 */
	record Result(long seed, List<SimulatedRequest> requests, Set<String> violations) {
	}

}
