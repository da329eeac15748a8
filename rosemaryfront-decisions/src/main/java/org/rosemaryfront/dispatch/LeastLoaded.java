package org.rosemaryfront.dispatch;

import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.ToDoubleFunction;

import org.rosemaryfront.speeds.ServerSpeed;

/**
 * Chooses the server of a call without a prompt: the one with the lowest load over slots
 * and speed.
 *
 * <p>
 * Servers whose speeds cannot be told apart count as equally fast and are used in turn. A
 * slower server gets few calls, by which its speed would be measured again; a part of
 * them therefore goes to it while its speed is stale.
 */
final class LeastLoaded {

	/** The age of the last measurement from which a speed is stale. */
	private static final long STALE_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** The part of the calls that may go to a server to measure a stale speed. */
	private static final double TRIAL_CHANCE = 1.0 / 16;

	private final BackendTable table;

	private final String zone;

	private final DoubleSupplier random;

	private LeastLoaded(BackendTable table, String zone, DoubleSupplier random) {
		this.table = table;
		this.zone = zone;
		this.random = random;
	}

	/**
	 * Creates a choice.
	 * @param table the backend servers
	 * @param zone the availability zone of this process
	 * @param random a source of random numbers from 0 to 1
	 * @return the choice
	 */
	static LeastLoaded of(BackendTable table, String zone, DoubleSupplier random) {
		return new LeastLoaded(table, zone, random);
	}

	/**
	 * Chooses a server.
	 * @param available the servers that may get the call, at least one
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the server
	 */
	BackendRow choose(List<BackendRow> available, long nowNanos) {
		List<Estimate> estimates = available.stream()
			.map((row) -> new Estimate(row, this.table.speed(row.server, nowNanos)))
			.toList();
		Estimate fastest = estimates.stream()
			.min(Comparator.comparingDouble((estimate) -> estimate.speed.timeFactor()))
			.orElseThrow();
		Comparator<Estimate> order = inOrder((estimate) -> estimate.relativeTime(fastest));
		Estimate best = estimates.stream().min(order).orElseThrow();
		List<Estimate> stale = estimates.stream()
			.filter((estimate) -> estimate.isStale() && estimate.relativeLoad() <= best.relativeLoad())
			.filter((estimate) -> estimate.slowness(fastest) > 1)
			.toList();
		boolean trial = !stale.isEmpty() && this.random.getAsDouble() < TRIAL_CHANCE;
		return trial ? stale.stream().min(inOrder(Estimate::relativeLoad)).orElseThrow().row : best.row;
	}

	private Comparator<Estimate> inOrder(ToDoubleFunction<Estimate> cost) {
		return Comparator.comparingDouble(cost)
			.thenComparing((estimate) -> !estimate.row.server.zone().equals(this.zone))
			.thenComparingLong((estimate) -> estimate.row.lastCallNumber)
			.thenComparing((estimate) -> estimate.row.server.id());
	}

	private record Estimate(BackendRow row, ServerSpeed speed) {

		// The load with one more call, over the slots.
		private double relativeLoad() {
			return (double) (this.row.load() + 1) / Math.max(1, this.row.server.slots());
		}

		private double relativeTime(Estimate fastest) {
			return slowness(fastest) * relativeLoad();
		}

		// How much slower the server is than the fastest one, less what cannot be told
		// from an error of measurement.
		private double slowness(Estimate fastest) {
			double difference = Math.log(this.speed.timeFactor() / fastest.speed.timeFactor());
			double error = Math.hypot(this.speed.deviation(), fastest.speed.deviation());
			return Math.exp(Math.max(0, difference - error));
		}

		private boolean isStale() {
			return this.speed.ageNanos() >= STALE_NANOS;
		}

	}

}
