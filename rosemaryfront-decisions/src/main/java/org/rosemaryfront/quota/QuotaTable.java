package org.rosemaryfront.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.rosemaryfront.routes.Organisation;

/**
 * The quotas of the organisations over all processes together.
 *
 * <p>
 * Each organisation has one bucket that fills at its rate. This process takes its own use
 * from it at once and that of other processes when they tell of it, so that callers may
 * come to any process, however unevenly. What others have used and not told yet is
 * expected to go on as it last did: without that, a steady flood passes the quota by the
 * whole delay of the news.
 */
public final class QuotaTable {

	/** Beyond this age the others' last known rate says nothing, in nanoseconds. */
	private static final long NEWS_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final Map<String, Bucket> buckets = new HashMap<>();

	// -- changes

	/**
	 * Takes units for a call if the quota allows it.
	 * @param organisation the organisation
	 * @param units the units that the call counts
	 * @param nowNanos the time
	 * @return the time until the units are there, in milliseconds; 0 when they were taken
	 */
	public long take(Organisation organisation, double units, long nowNanos) {
		Bucket bucket = bucket(organisation, nowNanos);
		if (organisation.unitsPerSecond() <= 0) {
			bucket.used += units;
			return 0;
		}
		double expected = bucket.expectedOfOthers(nowNanos);
		if (bucket.level - expected < units) {
			double missing = units - bucket.level + expected;
			return Math.max(1, (long) (1_000 * missing / organisation.unitsPerSecond()));
		}
		bucket.level -= units;
		bucket.used += units;
		return 0;
	}

	/**
	 * Gives back the units of a call that did not run.
	 * @param organisation the organisation
	 * @param units the units
	 * @param nowNanos the time
	 */
	public void giveBack(Organisation organisation, double units, long nowNanos) {
		Bucket bucket = bucket(organisation, nowNanos);
		bucket.level = Math.min(organisation.burst(), bucket.level + units);
		bucket.used -= units;
	}

	/**
	 * Takes what another process has used since it started.
	 * @param process the process
	 * @param organisation the name of the organisation
	 * @param total the units used since the process started
	 * @param nowNanos the time
	 */
	public void usedByOther(String process, String organisation, double total, long nowNanos) {
		Bucket bucket = this.buckets.computeIfAbsent(organisation, (_) -> new Bucket(nowNanos));
		bucket.others.computeIfAbsent(process, (_) -> new Other(total, nowNanos)).tell(bucket, total, nowNanos);
	}

	// -- queries

	/**
	 * What this process has used since it started.
	 * @return the units by organisation
	 */
	public Map<String, Double> used() {
		Map<String, Double> used = new HashMap<>();
		this.buckets.forEach((name, bucket) -> used.put(name, bucket.used));
		return used;
	}

	private Bucket bucket(Organisation organisation, long nowNanos) {
		Bucket bucket = this.buckets.computeIfAbsent(organisation.name(), (_) -> new Bucket(nowNanos));
		bucket.fill(organisation, nowNanos);
		return bucket;
	}

	private static final class Bucket {

		private double level = Double.MAX_VALUE;

		private double used;

		private long filledNanos;

		private final Map<String, Other> others = new HashMap<>();

		private Bucket(long nowNanos) {
			this.filledNanos = nowNanos;
		}

		private void fill(Organisation organisation, long nowNanos) {
			double grown = this.level + organisation.unitsPerSecond() * (nowNanos - this.filledNanos) / 1e9;
			this.level = Math.min(organisation.burst(), grown);
			this.filledNanos = nowNanos;
		}

		private double expectedOfOthers(long nowNanos) {
			double sum = 0;
			for (Other other : this.others.values()) {
				sum += other.expected(nowNanos);
			}
			return sum;
		}

	}

	private static final class Other {

		private double total;

		private double perNano;

		private long toldNanos;

		private Other(double total, long nowNanos) {
			this.total = total;
			this.toldNanos = nowNanos;
		}

		private void tell(Bucket bucket, double newTotal, long nowNanos) {
			// A smaller total is that of a process that started anew.
			double fresh = (newTotal >= this.total) ? newTotal - this.total : newTotal;
			bucket.level -= fresh;
			long elapsed = nowNanos - this.toldNanos;
			if (elapsed > 0) {
				this.perNano = fresh / elapsed;
			}
			this.total = newTotal;
			this.toldNanos = nowNanos;
		}

		private double expected(long nowNanos) {
			long age = nowNanos - this.toldNanos;
			return (age < NEWS_NANOS) ? this.perNano * age : 0;
		}

	}

}
