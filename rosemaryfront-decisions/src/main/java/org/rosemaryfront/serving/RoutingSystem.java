package org.rosemaryfront.serving;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Dispatches waiting requests to backend servers that have room for them. */
final class RoutingSystem implements ServingSystem {

	private static final Comparator<Request> DISPATCH_ORDER = Comparator.comparing((Request request) -> !request.urgent)
		.thenComparing((request) -> !request.isStarted())
		.thenComparing((request) -> request.spec.priority())
		.thenComparing((request) -> request.arrivedNanos);

	private final Router router;

	RoutingSystem(Router router) {
		this.router = router;
	}

	@Override
	public void run(ServingState state, long nowNanos) {
		if (state.requests.waiting().isEmpty()) {
			return;
		}
		List<Request> waiting = new ArrayList<>(state.requests.waiting());
		waiting.sort(DISPATCH_ORDER);
		for (Request request : waiting) {
			if (request.earliestDispatchNanos <= nowNanos) {
				Optional<Router.Choice> choice = this.router.choose(state, request, nowNanos);
				choice.ifPresent((chosen) -> dispatch(state, request, chosen, nowNanos));
			}
		}
	}

	private static void dispatch(ServingState state, Request request, Router.Choice choice, long nowNanos) {
		ServingCommand.Mode mode = chooseMode(request, nowNanos);
		request.urgent = false;
		state.dispatch(request, choice.server(), mode, choice.reason(), nowNanos);
	}

	// The KV cache of an earlier attempt can be used until its server is terminated: a
	// destination that fails during the transfer leaves the source unchanged.
	private static ServingCommand.Mode chooseMode(Request request, long nowNanos) {
		Attempt source = request.cacheSource;
		if (source != null && source.server.phase != Server.Phase.TERMINATED
				&& nowNanos < source.server.terminationNanos) {
			return new ServingCommand.Mode.Import(source.server.id, source.server.address, source.streamId);
		}
		return request.isStarted() ? new ServingCommand.Mode.Replay() : new ServingCommand.Mode.Fresh();
	}

}
