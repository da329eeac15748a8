package org.rosemaryfront.claims;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Table service on virtual time that can be slow or down, lose requests and responses,
 * and apply a write after it was reported as uncertain.
 */
final class SimulatedStore {

	private static final int TIMEOUT_MILLIS = 150;

	private final Map<String, Versioned> rows = new HashMap<>();

	private final SimulatedTime time;

	private final Random random;

	private double faultRate;

	private boolean down;

	private boolean slow;

	SimulatedStore(SimulatedTime time, Random random) {
		this.time = time;
		this.random = random;
	}

	void down(boolean value) {
		this.down = value;
	}

	void faultRate(double share) {
		this.faultRate = share;
	}

	void slow(boolean value) {
		this.slow = value;
	}

	Optional<ClaimRow> row(String key) {
		return Optional.ofNullable(this.rows.get(key)).map(Versioned::row);
	}

	void commit(String key, ClaimCommand.Write write, Consumer<ClaimEvent> responseHandler) {
		boolean faulty = this.down || this.random.nextDouble() < this.faultRate;
		switch (faulty ? this.random.nextInt(4) : 4) {
			case 0 -> respond(latency(), responseHandler, new ClaimEvent.WriteRefused());
			case 1 -> respond(TIMEOUT_MILLIS, responseHandler, new ClaimEvent.WriteUncertain());
			case 2 -> {
				this.time.after(latency(), () -> apply(key, write));
				respond(TIMEOUT_MILLIS, responseHandler, new ClaimEvent.WriteUncertain());
			}
			case 3 -> {
				respond(TIMEOUT_MILLIS, responseHandler, new ClaimEvent.WriteUncertain());
				this.time.after(TIMEOUT_MILLIS + this.random.nextInt(3_000), () -> apply(key, write));
			}
			default -> this.time.after(latency(), () -> respond(latency(), responseHandler, apply(key, write)));
		}
	}

	void read(String key, Consumer<Optional<Versioned>> responseHandler, Runnable failureHandler) {
		if (this.down || this.random.nextDouble() < this.faultRate) {
			this.time.after(TIMEOUT_MILLIS, failureHandler);
			return;
		}
		this.time.after(latency(), () -> {
			Optional<Versioned> row = Optional.ofNullable(this.rows.get(key));
			this.time.after(latency(), () -> responseHandler.accept(row));
		});
	}

	private ClaimEvent apply(String key, ClaimCommand.Write write) {
		long version = Optional.ofNullable(this.rows.get(key)).map(Versioned::version).orElse(0L);
		if (version != write.version()) {
			return new ClaimEvent.WriteConflicted();
		}
		this.rows.put(key, new Versioned(write.row(), version + 1));
		return new ClaimEvent.Written(version + 1);
	}

	private void respond(long millis, Consumer<ClaimEvent> responseHandler, ClaimEvent event) {
		this.time.after(millis, () -> responseHandler.accept(event));
	}

	private long latency() {
		return 1 + this.random.nextInt(this.slow ? 400 : 6);
	}

	record Versioned(ClaimRow row, long version) {
	}

}
