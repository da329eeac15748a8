package org.rosemaryfront.bench;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.rosemaryfront.model.AttemptId;
import org.rosemaryfront.model.VmId;

/** All runners of a run, those that went too. */
final class Fleet {

	private static final long SAME_ZONE_NANOS = 250 * VirtualTime.MICRO;

	private static final long OTHER_ZONE_NANOS = VirtualTime.MILLI;

	private final Map<VmId, Runner> runners = new LinkedHashMap<>();

	private final Map<AttemptId, Stream> streams = new HashMap<>();

	private final VirtualTime time;

	Fleet(VirtualTime time) {
		this.time = time;
	}

	void add(Runner runner) {
		this.runners.put(runner.id, runner);
	}

	void opened(AttemptId attempt, AttemptId stream, Runner runner) {
		this.streams.put(attempt, new Stream(stream, runner));
	}

	void cancel(AttemptId attempt) {
		Optional.ofNullable(this.streams.remove(attempt))
			.ifPresent((stream) -> this.time.after(OTHER_ZONE_NANOS, () -> cancel(stream.runner(), stream.id())));
	}

	private static void cancel(Runner runner, AttemptId stream) {
		if (!runner.gone) {
			runner.cancel(stream);
		}
	}

	// -- queries

	Collection<Runner> all() {
		return this.runners.values();
	}

	long latencyNanos(String from, String to) {
		return from.equals(to) ? SAME_ZONE_NANOS : OTHER_ZONE_NANOS;
	}

	Runner runner(VmId id) {
		return this.runners.get(id);
	}

	private record Stream(AttemptId id, Runner runner) {
	}

}
