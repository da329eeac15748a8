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
 * A randomised run of many callers that repeat their calls through several entries while
 * entries pause and die and the table service and the backend servers fail. Afterwards
 * all is well, and each key is asked for once more.
 */
final class ClaimSimulation {

	private static final ClaimTimes TIMES = new ClaimTimes(2_000, 400, 1_000, 1_500, 50, 20);

	private static final int ENTRIES = 4;

	private static final int KEYS = 30;

	private static final int FAULTY_MILLIS = 10_000;

	private static final int QUIET_MILLIS = 30_000;

	private final SimulatedTime time = new SimulatedTime();

	private final Random random;

	private final SimulatedStore store;

	private final SimulatedEntry[] entries = new SimulatedEntry[ENTRIES];

	private final Set<String> gone = new HashSet<>();

	private final Set<String> violations = new TreeSet<>();

	private final List<SimulatedRequest> requests = new ArrayList<>();

	private final List<SimulatedRequest> probes = new ArrayList<>();

	private int vms;

	private ClaimSimulation(long seed) {
		this.random = new Random(seed);
		this.store = new SimulatedStore(this.time, this.random);
	}

	/**
	 * Runs one seed.
	 * @param seed the seed
	 * @return the requests and the broken invariants
	 */
	static Result run(long seed) {
		ClaimSimulation simulation = new ClaimSimulation(seed);
		simulation.schedule();
		if (!simulation.time.run()) {
			simulation.violations.add("a call ends: the run goes on for ever");
		}
		simulation.check();
		return new Result(seed, simulation.requests, simulation.violations);
	}

	// -- schedule

	private void schedule() {
		for (int i = 0; i < ENTRIES; i++) {
			start(i);
		}
		this.store.faultShare(this.random.nextDouble() * 0.3);
		for (int key = 0; key < KEYS; key++) {
			scheduleKey("key-" + key);
		}
		int faults = this.random.nextInt(12);
		for (int i = 0; i < faults; i++) {
			scheduleFault();
		}
		this.time.after(FAULTY_MILLIS, () -> this.store.faultShare(0));
		this.time.after(QUIET_MILLIS, this::probe);
	}

	private void scheduleKey(String key) {
		long first = this.random.nextInt(FAULTY_MILLIS / 2);
		int repeats = 1 + this.random.nextInt(5);
		for (int i = 0; i < repeats; i++) {
			long gap = this.random.nextBoolean() ? this.random.nextInt(100) : this.random.nextInt(4_000);
			String fingerprint = (this.random.nextInt(12) == 0) ? "other-call" : "call";
			int entry = this.random.nextInt(ENTRIES);
			this.time.after(first + gap, () -> send(entry, key, fingerprint, this.requests));
		}
	}

	private void scheduleFault() {
		long at = this.random.nextInt(FAULTY_MILLIS - 2_000);
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
		this.entries[entry].die();
		String vm = this.entries[entry].vm();
		switch (this.random.nextInt(3)) {
			case 0 -> start(entry, vm);
			case 1 -> {
				this.gone.add(vm);
				start(entry);
			}
			default -> start(entry);
		}
	}

	private void start(int entry) {
		start(entry, "entry-" + this.vms++);
	}

	private void start(int entry, String vm) {
		this.entries[entry] = new SimulatedEntry(vm, this.time, this.store, this.random, TIMES, this.gone,
				this.violations);
		this.entries[entry].backendFaults((this.random.nextInt(3) == 0) ? 0.5 : 0.1);
	}

	private void send(int entry, String key, String fingerprint, List<SimulatedRequest> into) {
		SimulatedRequest request = new SimulatedRequest(key, fingerprint, "token-" + into.size() + "-" + key);
		into.add(request);
		this.entries[entry].request(request);
	}

	private void probe() {
		start(0);
		this.entries[0].backendFaults(0);
		for (int key = 0; key < KEYS; key++) {
			SimulatedRequest probe = new SimulatedRequest("key-" + key, "call", "probe-" + key);
			this.probes.add(probe);
			this.entries[0].request(probe);
		}
	}

	// -- invariants

	private void check() {
		this.requests.forEach(this::checkRequest);
		this.probes.forEach(this::checkRequest);
		Map<String, List<SimulatedRequest>> byKey = this.requests.stream()
			.collect(Collectors.groupingBy((request) -> request.key));
		this.probes.forEach((probe) -> checkKey(probe, byKey.getOrDefault(probe.key, List.of())));
	}

	private void checkRequest(SimulatedRequest request) {
		long deadline = request.arrived + TimeUnit.MILLISECONDS.toNanos(TIMES.callMillis());
		require(request.replies.size() <= 1, "a call has one answer", request);
		require(!request.failedWith("not-run") || request.runs == 0, "not-run means that it did not run", request);
		boolean lively = !request.entryDied && !request.entryPaused && request.arrived >= 0;
		if (lively) {
			boolean inTime = request.repliedAt.isPresent() && request.repliedAt.getAsLong() <= deadline;
			require(inTime, "each call has its answer by its deadline", request);
		}
		request.sends.forEach((at) -> require(at <= deadline, "nothing is sent after the deadline", request));
		request.outcome()
			.ifPresent((outcome) -> require(outcome.body().endsWith("/" + request.fingerprint),
					"an answer belongs to the call", request));
	}

	private void checkKey(SimulatedRequest probe, List<SimulatedRequest> earlier) {
		List<SimulatedRequest> all = new ArrayList<>(earlier);
		all.add(probe);
		int runs = all.stream().mapToInt((request) -> request.runs).sum();
		require(runs <= 1, "a key runs at most once", probe, all);
		boolean oneCall = earlier.stream().allMatch((request) -> request.fingerprint.equals("call"));
		require(!oneCall || all.stream().noneMatch((request) -> request.failedWith("key-reused")),
				"a repeat of the same call is no other call", probe, all);
		Set<ClaimOutcome> outcomes = all.stream()
			.flatMap((request) -> request.outcome().stream())
			.collect(Collectors.toSet());
		require(outcomes.size() <= 1, "each repeat has the same outcome", probe, all);
		if (oneCall && earlier.stream().anyMatch(SimulatedRequest::keptOutcome)) {
			require(probe.outcome().isPresent(), "a stored outcome stays", probe, all);
		}
		boolean clean = earlier.stream().noneMatch((request) -> request.tainted || request.runs > 0);
		if (oneCall && clean) {
			require(probe.outcome().isPresent(), "a key that did not run can run", probe, all);
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
	 * What a run showed.
	 *
	 * @param seed its seed
	 * @param requests all requests
	 * @param violations the broken invariants
	 */
	record Result(long seed, List<SimulatedRequest> requests, Set<String> violations) {
	}

}
