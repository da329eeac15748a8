package org.rosemaryfront.paths;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.ToIntFunction;

/**
 * Chooses the gateway that carries calls to a backend server that this one does not
 * reach. Times are on the monotonic clock, in nanoseconds.
 */
public final class Carriers {

	/** How long a gateway that failed to carry is chosen last, in nanoseconds. */
	private static final long AVOIDANCE_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final String zone;

	private final DoubleSupplier random;

	private List<Carrier> known = List.of();

	private final Map<String, Long> avoidedUntilNanos = new HashMap<>();

	private Carriers(String zone, DoubleSupplier random) {
		this.zone = zone;
		this.random = random;
	}

	/**
	 * Returns carriers of which none is known.
	 * @param zone the availability zone of this gateway
	 * @param random supplies random numbers from 0 to 1
	 * @return the carriers
	 */
	public static Carriers none(String zone, DoubleSupplier random) {
		return new Carriers(zone, random);
	}

	/**
	 * Replaces the gateways that can carry calls.
	 * @param carriers the gateways
	 */
	public void update(List<Carrier> carriers) {
		this.known = List.copyOf(carriers);
		this.avoidedUntilNanos.keySet()
			.removeIf((name) -> carriers.stream().noneMatch((carrier) -> carrier.gateway().equals(name)));
	}

	/**
	 * Records that a gateway failed to carry calls to a server.
	 * @param carrier the gateway
	 * @param nowNanos the current time
	 */
	public void recordFailure(Carrier carrier, long nowNanos) {
		this.avoidedUntilNanos.put(carrier.gateway(), nowNanos + AVOIDANCE_NANOS);
	}

	/**
	 * Returns whether any gateway can carry calls.
	 * @return false if none is known
	 */
	public boolean isEmpty() {
		return this.known.isEmpty();
	}

	/**
	 * Chooses a gateway: first those that did not fail of late, then those that reach
	 * most servers, then those with fewest transitions between availability zones, then
	 * those with the fewest tunnels of this gateway.
	 * @param serverZone the availability zone of the server
	 * @param tried the names of gateways that are not chosen
	 * @param tunnels returns the number of tunnels of this gateway through another one
	 * @param nowNanos the current time
	 * @return the gateway, empty if there is no other one
	 */
	public Optional<Carrier> choose(String serverZone, Collection<String> tried, ToIntFunction<String> tunnels,
			long nowNanos) {
		return this.known.stream()
			.filter((carrier) -> !tried.contains(carrier.gateway()))
			.map((carrier) -> new Candidate(carrier, isAvoided(carrier, nowNanos), carrier.serversOutOfReach(),
					zoneTransitions(carrier, serverZone), tunnels.applyAsInt(carrier.gateway()),
					this.random.getAsDouble()))
			.min(Candidate.ORDER)
			.map(Candidate::carrier);
	}

	private boolean isAvoided(Carrier carrier, long nowNanos) {
		Long untilNanos = this.avoidedUntilNanos.get(carrier.gateway());
		return untilNanos != null && nowNanos - untilNanos < 0;
	}

	private int zoneTransitions(Carrier carrier, String serverZone) {
		return (carrier.zone().equals(this.zone) ? 0 : 1) + (carrier.zone().equals(serverZone) ? 0 : 1);
	}

	/** A gateway with what decides about it; the last component breaks ties. */
	private record Candidate(Carrier carrier, boolean avoided, int outOfReach, int transitions, int tunnels,
			double tieBreaker) {

		private static final Comparator<Candidate> ORDER = Comparator.comparing(Candidate::avoided)
			.thenComparingInt(Candidate::outOfReach)
			.thenComparingInt(Candidate::transitions)
			.thenComparingInt(Candidate::tunnels)
			.thenComparingDouble(Candidate::tieBreaker);

	}

}
