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
import org.rosemaryfront.rollout.LatencyReference;
import org.rosemaryfront.rollout.Phase;
import org.rosemaryfront.rollout.Rollout;
import org.rosemaryfront.rollout.RolloutOrder;
import org.rosemaryfront.rollout.RolloutTable;
import org.rosemaryfront.rollout.Tally;
import org.rosemaryfront.rollout.Tally.Counts;
import org.rosemaryfront.rollout.Versions;

/**
 * The roll-outs that this gateway knows of: where calls may go meanwhile, and what is
 * told of them to other gateways. Used on the control thread.
 */
final class Rollouts {

	private final RolloutTable table;

	private final BackendTable servers;

	private final DoubleSupplier draw;

	/** Tells this start of this gateway apart. */
	private final String self;

	private final Map<String, LatencyReference> references = new HashMap<>();

	Rollouts(RolloutTable table, BackendTable servers, String self, DoubleSupplier draw) {
		this.table = table;
		this.servers = servers;
		this.self = self;
		this.draw = draw;
	}

	// -- orders

	void ordered(RolloutOrder order) {
		if (this.table.ordered(order)) {
			this.references.put(order.service(), LatencyReference.empty());
			EventLog.info(GatewayEvents.ROLLOUT_ORDERED, "service", order.service(), "to", order.to(), "durationMillis",
					order.durationMillis(), "number", order.number());
		}
	}

	// Servers of a version whose order was withdrawn before it succeeded get no calls.
	void withdrawn(String service, long now) {
		this.table.find(service)
			.filter((rollout) -> rollout.said(Phase.ROLLED_BACK, now))
			.ifPresent((rollout) -> EventLog.info(GatewayEvents.ROLLOUT_WITHDRAWN, "service", service, "to",
					rollout.order().to(), "number", rollout.order().number()));
	}

	void unreadable(String service, long rowVersion, IllegalArgumentException cause) {
		EventLog.warn(GatewayEvents.ROLLOUT_UNREADABLE, "service", service, "rowVersion", rowVersion, "cause",
				cause.getMessage());
	}

	// -- calls

	/**
	 * Which servers a call may go to.
	 * @param service the service
	 * @param again whether the call was sent before
	 * @param now the time
	 * @return the rules in the order in which they are tried
	 */
	List<Versions> versions(String service, boolean again, long now) {
		return this.table.find(service)
			.map((rollout) -> rollout.versions(this.servers.serversOf(service), again, this.draw.getAsDouble(), now))
			.orElse(List.of(Versions.any()));
	}

	/**
	 * The first token of a call came, or its answer.
	 * @param service its service
	 * @param route the name of its route
	 * @param server the start of its server
	 * @param ratio how long it took, against what was expected where something was
	 */
	void began(String service, String route, BackendServer.Start server, double ratio) {
		underWay(service).ifPresent((rollout) -> this.servers.find(server.id()).ifPresent((known) -> {
			boolean fresh = rollout.isFresh(known);
			rollout.ended(route, fresh, this.references.get(service).isSlow(route, fresh, ratio));
		}));
	}

	/**
	 * A server failed a call, or did not answer it.
	 * @param service its service
	 * @param route the name of its route
	 * @param server the server
	 */
	void failed(String service, String route, BackendServer server) {
		underWay(service).ifPresent((rollout) -> rollout.ended(route, rollout.isFresh(server), true));
	}

	private Optional<Rollout> underWay(String service) {
		return this.table.find(service).filter((rollout) -> !rollout.phase().isFinal());
	}

	/**
	 * Whether a server has a part in what its service can serve now.
	 * @param server the server
	 * @return false for one of a version that has not got the service
	 */
	boolean counts(BackendServer server) {
		return this.table.find(server.service()).map((rollout) -> {
			boolean all = this.servers.serversOf(server.service()).stream().allMatch(rollout::isFresh);
			return all || rollout.counts(server);
		}).orElse(true);
	}

	RolloutTable table() {
		return this.table;
	}

	// -- other gateways

	/**
	 * What is told to the other gateways.
	 * @param phases how far the holder of the duties says that the roll-out of a service
	 * is; empty at all others
	 * @param now the time
	 * @return the news
	 */
	List<RolloutNews> news(Function<String, Optional<Phase>> phases, long now) {
		List<RolloutNews> news = new ArrayList<>();
		this.table.all().forEach((rollout) -> {
			rollout.counted(this.self, rollout.own(), now);
			Optional<Phase> phase = phases.apply(rollout.order().service());
			if (phase.isPresent() || !rollout.phase().isFinal()) {
				news.add(news(rollout, phase));
			}
		});
		return news;
	}

	private static RolloutNews news(Rollout rollout, Optional<Phase> phase) {
		RolloutOrder order = rollout.order();
		RolloutNews.Builder told = RolloutNews.newBuilder()
			.setService(order.service())
			.setTo(order.to())
			.setDurationMillis(order.durationMillis())
			.setNumber(order.number())
			.setPhase(phase.map((known) -> known.ordinal() + 1).orElse(0));
		if (!rollout.phase().isFinal()) {
			rollout.own()
				.forEach((route,
						tally) -> told.addTallies(RolloutTally.newBuilder()
							.setRoute(route)
							.setFreshCalls(tally.fresh().calls())
							.setFreshBad(tally.fresh().bad())
							.setOldCalls(tally.old().calls())
							.setOldBad(tally.old().bad())));
		}
		return told.build();
	}

	/**
	 * Takes what another gateway tells.
	 * @param process the start of the gateway
	 * @param news what it tells
	 * @param now the time
	 */
	void heard(String process, List<RolloutNews> news, long now) {
		news.forEach((told) -> heard(process, told, now));
	}

	// Also a gateway that the store turns away learns of the order in this way.
	private void heard(String process, RolloutNews told, long now) {
		ordered(new RolloutOrder(told.getService(), told.getTo(), told.getDurationMillis(), told.getNumber()));
		Rollout rollout = this.table.find(told.getService()).orElseThrow();
		if (!rollout.order().to().equals(told.getTo()) || told.getNumber() < rollout.order().number()) {
			return;
		}
		if (told.getNumber() == rollout.order().number()) {
			rollout.counted(process, tallies(told), now);
		}
		int phase = told.getPhase() - 1;
		if (phase >= 0 && phase < Phase.values().length) {
			rollout.said(Phase.values()[phase], now);
		}
	}

	private static Map<String, Tally> tallies(RolloutNews told) {
		Map<String, Tally> tallies = new HashMap<>();
		told.getTalliesList()
			.forEach((tally) -> tallies.put(tally.getRoute(),
					new Tally(new Counts(tally.getFreshCalls(), tally.getFreshBad()),
							new Counts(tally.getOldCalls(), tally.getOldBad()))));
		return tallies;
	}

}
