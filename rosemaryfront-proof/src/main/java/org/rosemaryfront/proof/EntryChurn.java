package org.rosemaryfront.proof;

import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * The entry and controller VMs of a soak run: ends them, replaces them under new VMs, and
 * knows which ones a fault holds.
 */
final class EntryChurn {

	// Without this many undisturbed entries nobody could take over what another gives up.
	private static final int UNDISTURBED = 2;

	private static final Duration PROBE_EVERY = Duration.ofMillis(500);

	private static final Duration STOP_LIMIT = Duration.ofSeconds(60);

	// The platform's VM list and the balancer see the end of a VM this much later.
	private static final Duration SEEN_AFTER = Duration.ofMillis(1500);

	private final Cluster cluster;

	private final Consumer<List<String>> balancer;

	private final Map<String, Long> released = new HashMap<>();

	private final Set<String> disturbed = new HashSet<>();

	private final Set<String> killed = ConcurrentHashMap.newKeySet();

	private final Set<String> ended = ConcurrentHashMap.newKeySet();

	private final Set<String> unready = ConcurrentHashMap.newKeySet();

	private final List<String> badStops = new ArrayList<>();

	private final AtomicInteger lastVm = new AtomicInteger();

	EntryChurn(Cluster cluster, Consumer<List<String>> balancer) {
		this.cluster = cluster;
		this.balancer = balancer;
		this.lastVm.set(cluster.entries().size());
	}

	// -- the balancer

	// Follows the readiness of entries as a balancer does, until interrupted. One that
	// does not answer keeps its place, so that frozen entries go on getting requests.
	void balance() {
		while (!Thread.currentThread().isInterrupted()) {
			this.cluster.entries().forEach((entry) -> Thread.ofVirtual().start(() -> probe(entry)));
			tellBalancer();
			try {
				Thread.sleep(PROBE_EVERY);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
	}

	private void probe(ManagedProcess entry) {
		try {
			this.cluster.call("GET", entry.listener("callers"), "/readyz", "");
			this.unready.remove(entry.name());
		}
		catch (IllegalStateException ex) {
			this.unready.add(entry.name());
		}
		catch (UncheckedIOException ex) {
			// It does not answer.
		}
	}

	private void tellBalancer() {
		List<String> ready = this.cluster.entries()
			.stream()
			.filter((entry) -> !this.unready.contains(entry.name()))
			.map((entry) -> "http://" + entry.listener("callers"))
			.toList();
		this.balancer.accept(ready.isEmpty() ? this.cluster.callers() : ready);
	}

	// -- queries

	// Stops in good order that did not end in time, or not with 0, and processes that
	// ended without being asked.
	synchronized List<String> badStops() {
		List<String> all = new ArrayList<>(this.badStops);
		this.cluster.processes()
			.stream()
			.filter((process) -> !process.alive() && !this.ended.contains(process.name()))
			.forEach((process) -> all.add(process.name() + " ended by itself with " + process.exitCode()));
		return all;
	}

	// Entries that ended without notice.
	Set<String> killed() {
		return Set.copyOf(this.killed);
	}

	// Since when no fault has held an entry, in nanoseconds; the end of time while one
	// does.
	synchronized long undisturbedSince(String name) {
		return this.disturbed.contains(name) ? Long.MAX_VALUE : this.released.getOrDefault(name, Long.MIN_VALUE);
	}

	// -- choices

	// An entry or controller for a fault, which must release it.
	synchronized Optional<ManagedProcess> choose(List<ManagedProcess> from, RandomGenerator random) {
		List<ManagedProcess> free = from.stream()
			.filter(ManagedProcess::alive)
			.filter((process) -> !this.disturbed.contains(process.name()))
			.toList();
		if (free.size() <= UNDISTURBED) {
			return Optional.empty();
		}
		ManagedProcess chosen = free.get(random.nextInt(free.size()));
		this.disturbed.add(chosen.name());
		return Optional.of(chosen);
	}

	synchronized void release(ManagedProcess process) {
		this.disturbed.remove(process.name());
		this.released.put(process.name(), System.nanoTime());
	}

	// -- actions

	// Ends an entry without notice and starts another one.
	void kill(ManagedProcess entry) {
		this.killed.add(entry.name());
		this.ended.add(entry.name());
		entry.kill();
		replace(entry);
	}

	// Asks an entry to stop, as for an upgrade, and starts another one meanwhile.
	void terminate(ManagedProcess entry) {
		this.ended.add(entry.name());
		entry.terminate();
		Pause.of(SEEN_AFTER);
		replace(entry);
		if (!entry.awaitEnd(STOP_LIMIT)) {
			badStop(entry.name() + " did not stop in " + STOP_LIMIT);
			entry.kill();
		}
		else if (entry.exitCode() != 0) {
			badStop(entry.name() + " ended with " + entry.exitCode());
		}
	}

	// Ends an entry's VM after the notice that the platform has given.
	void reclaim(ManagedProcess entry, Duration notice) {
		this.cluster.reclaim("\"vm\": \"" + entry.name() + "\"", notice);
		long end = System.nanoTime() + notice.toNanos();
		start(entry.zone());
		Pause.of(Duration.ofNanos(Math.max(0, end - System.nanoTime())));
		this.ended.add(entry.name());
		entry.kill();
		Pause.of(SEEN_AFTER);
		this.cluster.forget(entry);
		tellBalancer();
	}

	// Ends a controller without notice and starts another one.
	void killController(ManagedProcess controller) {
		this.ended.add(controller.name());
		controller.kill();
		this.cluster.forgetController(controller);
		this.cluster.startController("controller-" + this.lastVm.incrementAndGet(), controller.zone());
	}

	private void replace(ManagedProcess entry) {
		Pause.of(SEEN_AFTER);
		this.cluster.forget(entry);
		tellBalancer();
		start(entry.zone());
	}

	private void start(String zone) {
		String vm = "entry-" + this.lastVm.incrementAndGet();
		this.unready.add(vm);
		this.cluster.startEntry(vm, zone);
		tellBalancer();
	}

	private synchronized void badStop(String told) {
		this.badStops.add(told);
	}

}
