package org.rosemaryfront.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.Function;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.dispatch.BackendTable;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.gateway.proto.RolloutNews;
import org.rosemaryfront.gateway.proto.RolloutTally;
import org.rosemaryfront.rollout.LatencyBaseline;
import org.rosemaryfront.rollout.Phase;
import org.rosemaryfront.rollout.Rollout;
import org.rosemaryfront.rollout.RolloutOrder;
import org.rosemaryfront.rollout.RolloutTable;
import org.rosemaryfront.rollout.Tally;
import org.rosemaryfront.rollout.Tally.Counts;
import org.rosemaryfront.rollout.VersionRule;
import org.rosemaryfront.tables.StoreVersion;

/**
 * The roll-outs that this gateway has received: which servers calls may go to during a
 * roll-out, and the updates exchanged with other gateways. Confined to the control
 * thread.
 */
final class Rollouts {

	private final RolloutTable table;

	private final BackendTable servers;

	private final DoubleSupplier random;

	/** The name of this gateway process, unique to this start. */
	private final String ownProcess;

	private final Map<String, LatencyBaseline> references = new HashMap<>();

	Rollouts(RolloutTable table, BackendTable servers, String ownProcess, DoubleSupplier random) {
		this.table = table;
		this.servers = servers;
		this.ownProcess = ownProcess;
		this.random = random;
	}

	// -- orders

	void ordered(RolloutOrder order) {
		if (this.table.addOrder(order)) {
			this.references.put(order.service(), LatencyBaseline.empty());
			EventLog.info(GatewayEvents.ROLLOUT_ORDERED, "service", order.service(), "to", order.targetVersion(),
					"durationMillis", order.durationMillis(), "number", order.number());
		}
	}

	// Servers of a candidate version whose order was withdrawn before it succeeded get no
	// calls.
	void withdrawn(String service, long nowNanos) {
		this.table.find(service)
			.filter((rollout) -> rollout.phaseAnnounced(Phase.ROLLED_BACK, nowNanos))
			.ifPresent((rollout) -> EventLog.info(GatewayEvents.ROLLOUT_WITHDRAWN, "service", service, "to",
					rollout.order().targetVersion(), "number", rollout.order().number()));
	}

	void unreadable(String service, long rowVersion, IllegalArgumentException cause) {
		EventLog.warn(GatewayEvents.ROLLOUT_UNREADABLE, "service", service, "rowVersion",
				StoreVersion.format(rowVersion), "cause", cause.getMessage());
	}

	// -- calls

	/**
	 * Returns which versions may serve a call.
	 * @param service the name of the service
	 * @param retry whether the call is a retry
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the rules in the order in which they are tried
	 */
	List<VersionRule> versions(String service, boolean retry, long nowNanos) {
		return this.table.find(service)
			.map((rollout) -> rollout.versionRules(this.servers.serversOf(service), retry, this.random.getAsDouble(),
					nowNanos))
			.orElse(List.of(VersionRule.any()));
	}

	/**
	 * Records the first token of a call or its response.
	 * @param service the name of the service
	 * @param route the name of the route
	 * @param server the server process
	 * @param ratio the ratio of measured to expected time, each plus the usual jitter,
	 * with 0 expected where there was no expectation
	 */
	void began(String service, String route, BackendServer.Incarnation server, double ratio) {
		inProgress(service).ifPresent((rollout) -> this.servers.find(server.id()).ifPresent((known) -> {
			boolean candidate = rollout.isCandidate(known);
			rollout.recordCall(route, candidate, this.references.get(service).recordCall(route, candidate, ratio));
		}));
	}

	/**
	 * Records that a server failed a call or did not respond to it.
	 * @param service the name of the service
	 * @param route the name of the route
	 * @param server the server
	 */
	void failed(String service, String route, BackendServer server) {
		inProgress(service).ifPresent((rollout) -> rollout.recordCall(route, rollout.isCandidate(server), true));
	}

	private Optional<Rollout> inProgress(String service) {
		return this.table.find(service).filter((rollout) -> !rollout.phase().isFinal());
	}

	/**
	 * Returns whether a server counts towards the current capacity of its service.
	 * @param server the server
	 * @return false if the calls of the service have not been moved to the server's
	 * version
	 */
	boolean countsTowardsCapacity(BackendServer server) {
		return this.table.find(server.service()).map((rollout) -> {
			boolean all = this.servers.serversOf(server.service()).stream().allMatch(rollout::isCandidate);
			return all || rollout.countsTowardsCapacity(server);
		}).orElse(true);
	}

	RolloutTable table() {
		return this.table;
	}

	// -- other gateways

	/**
	 * Returns the updates for the other gateways.
	 * @param phases the phase of a service's roll-out, if this gateway holds the duties;
	 * empty at all other gateways
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the updates
	 */
	List<RolloutNews> updates(Function<String, Optional<Phase>> phases, long nowNanos) {
		List<RolloutNews> updates = new ArrayList<>();
		this.table.all().forEach((rollout) -> {
			rollout.recordReport(this.ownProcess, rollout.ownTallies(), nowNanos);
			Optional<Phase> phase = phases.apply(rollout.order().service());
			if (phase.isPresent() || !rollout.phase().isFinal()) {
				updates.add(updates(rollout, phase));
			}
		});
		return updates;
	}

	private static RolloutNews updates(Rollout rollout, Optional<Phase> phase) {
		RolloutOrder order = rollout.order();
		RolloutNews.Builder update = RolloutNews.newBuilder()
			.setService(order.service())
			.setTo(order.targetVersion())
			.setDurationMillis(order.durationMillis())
			.setNumber(order.number())
			.setPhase(phase.map((known) -> known.ordinal() + 1).orElse(0));
		if (!rollout.phase().isFinal()) {
			rollout.ownTallies()
				.forEach((route,
						tally) -> update.addTallies(RolloutTally.newBuilder()
							.setRoute(route)
							.setFreshCalls(tally.candidate().calls())
							.setFreshBad(tally.candidate().failing())
							.setOldCalls(tally.baseline().calls())
							.setOldBad(tally.baseline().failing())));
		}
		return update.build();
	}

	/**
	 * Applies updates received from another gateway.
	 * @param process the sending gateway process
	 * @param updates the updates
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void receive(String process, List<RolloutNews> updates, long nowNanos) {
		updates.forEach((update) -> receive(process, update, nowNanos));
	}

	// A gateway whose requests the store rejects also learns of the order this way.
	private void receive(String process, RolloutNews update, long nowNanos) {
		RolloutOrder order = new RolloutOrder(update.getService(), update.getTo(), update.getDurationMillis(),
				update.getNumber());
		ordered(order);
		Rollout rollout = this.table.find(update.getService()).orElseThrow();
		boolean rewritten = order.isRewriteOf(rollout.order());
		boolean older = update.getNumber() < rollout.order().number() && !rewritten;
		if (!rollout.order().targetVersion().equals(update.getTo()) || older) {
			return;
		}
		if (update.getNumber() == rollout.order().number() || rewritten) {
			rollout.recordReport(process, tallies(update), nowNanos);
		}
		int phase = update.getPhase() - 1;
		if (phase >= 0 && phase < Phase.values().length) {
			rollout.phaseAnnounced(Phase.values()[phase], nowNanos);
		}
	}

	private static Map<String, Tally> tallies(RolloutNews update) {
		Map<String, Tally> tallies = new HashMap<>();
		update.getTalliesList()
			.forEach((tally) -> tallies.put(tally.getRoute(),
					new Tally(new Counts(tally.getFreshCalls(), tally.getFreshBad()),
							new Counts(tally.getOldCalls(), tally.getOldBad()))));
		return tallies;
	}

}
