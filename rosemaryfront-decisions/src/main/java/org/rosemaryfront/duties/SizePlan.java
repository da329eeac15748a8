package org.rosemaryfront.duties;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import org.rosemaryfront.routes.ServiceSpec;

/**
 * How many backend servers a service needs in each availability zone.
 *
 * <p>
 * Servers are billed by the second, whether they work or not, and are the largest price
 * of a calm day. The need follows the prompt tokens read and the calls running, and is
 * spread so that the zones that remain carry it when one is reclaimed as a whole while
 * nowhere another VM is to be had.
 */
public final class SizePlan {

	/**
	 * The prompt tokens that an engine reads in a second, from the sheets of the engines
	 * in use (74.8 and 93.6 a millisecond); the lower one.
	 */
	private static final double TOKENS_PER_SECOND = 74_800;

	/** The share of an engine's reading time that is planned to be used. */
	private static final double READING_SHARE = 0.5;

	/** The share of an engine's slots that is planned to be used. */
	private static final double SLOT_SHARE = 0.4;

	/**
	 * How long the greatest need of late is kept. Shorter than that and a wave of traffic
	 * gives servers back that it needs again half a minute later, with cold caches.
	 */
	private static final long PEAK_NANOS = TimeUnit.SECONDS.toNanos(25);

	private final Deque<Need> recent = new ArrayDeque<>();

	/**
	 * Plans the size.
	 * @param service the service
	 * @param zones the availability zones
	 * @param tokensPerSecond the prompt tokens that are read in a second, without those
	 * found in caches
	 * @param running the calls running
	 * @param nowNanos the time
	 * @return the servers for each zone
	 */
	public int perZone(ServiceSpec service, int zones, double tokensPerSecond, int running, long nowNanos) {
		ServiceSpec.ScalingSpec bounds = service.scaling().orElseThrow();
		int slots = service.engine().map(ServiceSpec.EngineSpec::slots).orElse(1);
		double reading = tokensPerSecond / TOKENS_PER_SECOND / READING_SHARE;
		double generating = running / (slots * SLOT_SHARE);
		double need = peak(Math.max(reading, generating), nowNanos);
		int remaining = Math.max(1, zones - 1);
		return Math.clamp((int) Math.ceil(need / remaining), bounds.min(), bounds.max());
	}

	private double peak(double need, long nowNanos) {
		while (!this.recent.isEmpty() && nowNanos - this.recent.getFirst().atNanos() > PEAK_NANOS) {
			this.recent.removeFirst();
		}
		while (!this.recent.isEmpty() && this.recent.getLast().need() <= need) {
			this.recent.removeLast();
		}
		this.recent.addLast(new Need(need, nowNanos));
		return this.recent.getFirst().need();
	}

	private record Need(double need, long atNanos) {
	}

}
