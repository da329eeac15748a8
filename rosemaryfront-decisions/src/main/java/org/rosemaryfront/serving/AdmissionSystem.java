package org.rosemaryfront.serving;

import java.time.Duration;
import java.util.ArrayList;

import org.rosemaryfront.model.Problem;
import org.rosemaryfront.model.ProblemCode;

/** Accepts or refuses requests that arrived. */
final class AdmissionSystem implements ServingSystem {

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	@Override
	public void run(ServingState state, long nowNanos) {
		if (state.requests.arrived().isEmpty()) {
			return;
		}
		for (Request request : new ArrayList<>(state.requests.arrived())) {
			admit(state, request, nowNanos);
		}
	}

	// A request that a peer handed over was accepted there, so it is not judged again.
	private static void admit(ServingState state, Request request, long nowNanos) {
		if (request.adopted) {
			state.requests.move(request, Request.Phase.WAITING);
		}
		else if (state.stopping) {
			state.refuse(request, Problem.notRun(ProblemCode.NOT_READY, "this entry process is stopping", RETRY_AFTER),
					nowNanos);
		}
		else if (state.servers.pool(request.spec.pool()).live().isEmpty()) {
			state.refuse(request, Problem.notRun(ProblemCode.NO_SERVER,
					"no backend server of pool " + request.spec.pool() + " takes work", RETRY_AFTER), nowNanos);
		}
		else if (state.requests.size() > state.parameters.requestLimit()) {
			state.refuse(request, Problem.notRun(ProblemCode.OVERLOADED, "too many open requests", RETRY_AFTER),
					nowNanos);
		}
		else {
			state.requests.move(request, Request.Phase.WAITING);
		}
	}

}
