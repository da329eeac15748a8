package org.rosemaryfront.standin.service;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.JsonNode;
import reactor.core.publisher.Mono;

/**
 * The faults of calls that are in force in a stand-in service. A fault ends with its time
 * or with the number of calls it was asked for.
 */
final class ServiceFaults {

	private static final long MILLIS_LIMIT = Duration.ofHours(1).toMillis();

	private final Map<String, Fault> faults = new ConcurrentHashMap<>();

	// Begins a fault: millis bounds its time, calls the number of calls that it hits.
	void begin(String kind, JsonNode fault) {
		long millis = Math.min(fault.path("millis").asLong(MILLIS_LIMIT), MILLIS_LIMIT);
		long until = System.nanoTime() + Duration.ofMillis(millis).toNanos();
		this.faults.put(kind,
				new Fault(until, fault.path("calls").asInt(Integer.MAX_VALUE), fault.path("delayMillis").asLong(0)));
	}

	void clear() {
		this.faults.clear();
	}

	// Whether a fault hits the present call.
	boolean hits(String kind) {
		boolean[] hit = new boolean[1];
		this.faults.computeIfPresent(kind, (_, fault) -> {
			hit[0] = fault.active();
			return (hit[0] && fault.calls() > 1) ? fault.used() : null;
		});
		return hit[0];
	}

	long delayMillis() {
		Fault slow = this.faults.get("slow");
		return (slow != null && slow.active()) ? slow.delayMillis() : 0;
	}

	// Completes when a freeze is over.
	Mono<Void> thawed() {
		Fault freeze = this.faults.get("freeze");
		if (freeze == null || !freeze.active()) {
			return Mono.empty();
		}
		long wait = Math.min(freeze.until() - System.nanoTime(), Duration.ofMillis(20).toNanos());
		return Mono.delay(Duration.ofNanos(Math.max(1, wait))).then(Mono.defer(this::thawed));
	}

	private record Fault(long until, int calls, long delayMillis) {

		boolean active() {
			return System.nanoTime() < this.until;
		}

		Fault used() {
			return new Fault(this.until, this.calls - 1, this.delayMillis);
		}

	}

}
