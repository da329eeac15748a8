package org.rosemaryfront.limits;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.ToIntFunction;

import org.rosemaryfront.limits.LimitReport.Demand;
import org.rosemaryfront.limits.LimitReport.IssuedPermits;
import org.rosemaryfront.limits.LimitReport.Settlement;

/**
 * Issues permits for the requests to one backend server at the rate of its limit, and
 * issues those again that were not used. Gateways are identified by the number of their
 * start, since a restarted gateway has none of the permits of its previous run.
 *
 * <p>
 * The permits that may still be used are bounded. Together with the rate, this bounds the
 * requests within any time.
 */
final class PermitIssuer {

	/**
	 * The time from the beginning until the first permit. Within it, the permits of an
	 * earlier issuer end and all gateways learn of a limit that was just stated.
	 */
	static final long START_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_300);

	/**
	 * The time after which a permit whose gateway does not report its use counts as used:
	 * longer than a permit is valid and a gateway without reports uses it.
	 */
	private static final long WRITE_OFF_NANOS = PermitHolder.VALIDITY_NANOS + TimeUnit.MILLISECONDS.toNanos(1_500);

	/**
	 * The fraction of the usable permits that may be issued in advance. The others are
	 * left for calls that wait.
	 */
	private static final double ADVANCE_FRACTION = 0.7;

	private final Map<Integer, Issued> issued = new HashMap<>();

	/** How far each gateway is behind its share of the permits. */
	private final Map<Integer, Double> deficits = new HashMap<>();

	/** Since when permits are issued, empty while another gateway issues them. */
	private OptionalLong sinceNanos = OptionalLong.empty();

	private double level;

	private long refilledNanos;

	/** Ends the issue of permits. The counts of issued permits go on. */
	void stop() {
		this.sinceNanos = OptionalLong.empty();
		this.deficits.clear();
	}

	/**
	 * Issues the permits that have become available: first for calls that wait, then in
	 * advance to gateways that can be expected to need them, both in proportion to the
	 * demands.
	 * @param rate the rate
	 * @param demands the demand of each gateway
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void issue(Rate rate, Map<Integer, Demand> demands, long nowNanos) {
		if (this.sinceNanos.isEmpty()) {
			this.sinceNanos = OptionalLong.of(nowNanos);
			this.level = rate.initialLevel;
			this.refilledNanos = nowNanos + START_DELAY_NANOS;
		}
		this.issued.values().forEach((count) -> count.writeOff(nowNanos));
		if (nowNanos - this.refilledNanos >= 0) {
			double added = rate.perSecond * (nowNanos - this.refilledNanos) / TimeUnit.SECONDS.toNanos(1);
			this.refilledNanos = nowNanos;
			this.deficits.keySet().retainAll(demands.keySet());
			this.level = Math.min(rate.maxUsable - usable(), this.level + added);
			distribute(unmet(demands, Demand::waiting), Long.MAX_VALUE, nowNanos);
			long inAdvance = (long) (rate.maxUsable * ADVANCE_FRACTION) - usable();
			distribute(unmet(demands, Demand::recent), inAdvance, nowNanos);
		}
	}

	private long usable() {
		return this.issued.values().stream().mapToLong(Issued::usable).sum();
	}

	// The permits that each gateway lacks.
	private Map<Integer, Integer> unmet(Map<Integer, Demand> demands, ToIntFunction<Demand> count) {
		Map<Integer, Integer> unmet = new HashMap<>();
		demands.forEach((gateway, demand) -> {
			long missing = count.applyAsInt(demand) - issuedTo(gateway).usable();
			if (missing > 0) {
				unmet.put(gateway, (int) missing);
			}
		});
		return unmet;
	}

	private void distribute(Map<Integer, Integer> unmet, long most, long nowNanos) {
		for (long count = most; count > 0 && this.level >= 1 && !unmet.isEmpty(); count--) {
			int gateway = next(unmet);
			issuedTo(gateway).add(nowNanos);
			unmet.computeIfPresent(gateway, (_, missing) -> (missing > 1) ? missing - 1 : null);
			this.level--;
		}
	}

	// Smooth weighted round robin: every gateway gets its share, and the permits of one
	// are spread over time.
	private int next(Map<Integer, Integer> unmet) {
		unmet.forEach((gateway, demand) -> this.deficits.merge(gateway, (double) demand, Double::sum));
		int next = unmet.keySet()
			.stream()
			.max(Comparator.<Integer>comparingDouble(this.deficits::get).thenComparing(Comparator.naturalOrder()))
			.orElseThrow();
		double total = unmet.values().stream().mapToInt(Integer::intValue).sum();
		this.deficits.merge(next, -total, Double::sum);
		return next;
	}

	/** Discards the available permits, so that they do not add up while unused. */
	void discardAvailable() {
		this.level -= Math.floor(Math.max(0, this.level));
	}

	/**
	 * Processes what a gateway reports of its permits.
	 * @param gateway the start of the gateway
	 * @param settlement the permits that it used or that expired
	 */
	void settle(int gateway, Settlement settlement) {
		Issued count = this.issued.get(gateway);
		if (count != null) {
			this.level += count.settle(settlement);
		}
	}

	/**
	 * Returns the permits issued to a gateway so far.
	 * @param gateway the start of the gateway
	 * @return the permits
	 */
	IssuedPermits permits(int gateway) {
		return Optional.ofNullable(this.issued.get(gateway)).map(Issued::permits).orElse(new IssuedPermits(0, 0));
	}

	/**
	 * Returns the permits to report.
	 * @return the permits issued so far to each gateway that may still use some
	 */
	Map<Integer, IssuedPermits> toReport() {
		Map<Integer, IssuedPermits> permits = new HashMap<>();
		this.issued.forEach((gateway, count) -> {
			if (count.usable() > 0) {
				permits.put(gateway, count.permits());
			}
		});
		return permits;
	}

	private Issued issuedTo(int gateway) {
		return this.issued.computeIfAbsent(gateway, (_) -> new Issued());
	}

	/**
	 * The rate at which permits are issued.
	 *
	 * @param perSecond the permits per second
	 * @param maxUsable the maximum number of permits that may be usable at the same time
	 * @param initialLevel the permits available at the beginning
	 */
	record Rate(double perSecond, double maxUsable, double initialLevel) {
	}

	/** The permits issued to one gateway. */
	private static final class Issued {

		private long total;

		private long settled;

		private long unused;

		private long lastNanos;

		private void add(long nowNanos) {
			this.total++;
			this.lastNanos = nowNanos;
		}

		private IssuedPermits permits() {
			return new IssuedPermits(this.total, this.settled);
		}

		private long usable() {
			return this.total - this.settled;
		}

		// Returns the number of permits that can be issued again. Permits that were
		// written off count as used, also when their gateway reports later that they
		// were not.
		private long settle(Settlement settlement) {
			long newlySettled = Math.clamp(settlement.settled() - this.settled, 0, usable());
			long newlyUnused = Math.max(0, settlement.unused() - this.unused);
			this.settled += newlySettled;
			this.unused += newlyUnused;
			return Math.min(newlySettled, newlyUnused);
		}

		private void writeOff(long nowNanos) {
			if (nowNanos - this.lastNanos > WRITE_OFF_NANOS) {
				this.settled = this.total;
			}
		}

	}

}
