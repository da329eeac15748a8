package org.rosemaryfront.serving;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/** Implements the decisions as systems that run in a fixed order over the tables. */
final class TableServingDecisions implements ServingDecisions {

	private final ServingState state;

	private final EventHandler eventHandler;

	private final List<ServingSystem> systems;

	private TableServingDecisions(ServingState state, Router router) {
		this.state = state;
		this.eventHandler = new EventHandler(state);
		this.systems = List.of(new RetrySystem(), new EvacuationSystem(router), new ExpirySystem(),
				new AdmissionSystem(), new ReroutingSystem(router), new RoutingSystem(router));
	}

	static TableServingDecisions of(ServingParameters parameters, long seed) {
		Objects.requireNonNull(parameters, "parameters is null");
		return new TableServingDecisions(new ServingState(parameters, seed), new Router());
	}

	// -- decisions

	@Override
	public void accept(ServingEvent event, long nowNanos) {
		this.eventHandler.accept(Objects.requireNonNull(event, "event is null"), nowNanos);
	}

	@Override
	public List<String> takeViolations() {
		return this.state.takeViolations();
	}

	@Override
	public List<ServingCommand> tick(long nowNanos) {
		this.systems.forEach((system) -> system.run(this.state, nowNanos));
		return this.state.takeCommands();
	}

	@Override
	public Map<String, Long> tokensInFlight() {
		return this.state.shares.localTokens();
	}

}
