package org.rosemaryfront.serving;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Optional;

import org.rosemaryfront.model.Problem;
import org.rosemaryfront.model.ProblemCode;

/** Accepts or refuses newly arrived requests; refusals are sent immediately. */
final class AdmissionSystem implements ServingSystem {

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	/** Actual waits exceed the mean by about this factor. */
	private static final double WAIT_MARGIN = 2;

	/**
	 * The fraction of the slots that can be in use before some server has no free slot.
	 */
	private static final double USABLE_SLOT_FRACTION = 0.95;

	/** The pool utilisation above which organisations over their share are refused. */
	private static final double FAIR_SHARE_UTILISATION = 0.7;

	@Override
	public void run(ServingState state, long nowNanos) {
		if (state.requests.arrived().isEmpty()) {
			return;
		}
		for (Request request : new ArrayList<>(state.requests.arrived())) {
			Optional<Problem> problem = request.adopted ? Optional.empty() : findProblem(state, request, nowNanos);
			if (problem.isPresent()) {
				state.refuse(request, problem.get(), nowNanos);
			}
			else {
				state.requests.move(request, Request.Phase.WAITING);
			}
		}
	}

	// A request that a peer handed over was already accepted there and is not checked
	// again.
	private static Optional<Problem> findProblem(ServingState state, Request request, long nowNanos) {
		String pool = request.spec.pool();
		if (state.stopping) {
			return refusal(ProblemCode.NOT_READY, "this entry process is stopping", RETRY_AFTER);
		}
		if (state.servers.pool(pool).live().isEmpty()) {
			return refusal(ProblemCode.NO_SERVER, "no backend server of pool " + pool + " takes work", RETRY_AFTER);
		}
		if (state.requests.size() > state.parameters.requestLimit()) {
			return refusal(ProblemCode.OVERLOADED, "too many open requests", RETRY_AFTER);
		}
		PoolLoad load = PoolLoad.of(state, pool);
		if (state.has(ServingFeature.FAIR_SHARES) && load.utilisation() > FAIR_SHARE_UTILISATION
				&& state.shares.exceedsShare(request.spec.organisation(), load.slots())) {
			return refusal(ProblemCode.OVER_SHARE, "the organisation uses more than its share", RETRY_AFTER);
		}
		return state.has(ServingFeature.ADMISSION) ? findDeadlineProblem(state, request, load, nowNanos)
				: Optional.empty();
	}

	// -- deadlines

	private static Optional<Problem> findDeadlineProblem(ServingState state, Request request, PoolLoad load,
			long nowNanos) {
		double waitNanos = request.isChat() ? chatWaitNanos(state, load) : summaryWaitNanos(state, request);
		// A request that can start immediately is not refused for its own estimated
		// duration: a later retry would not help, and estimates that were distorted by a
		// short burst or a slow engine could never be corrected, so that every long
		// prompt would be refused as "overloaded" on an idle pool.
		if (request.isChat() ? load.hasFreeSlot() : waitNanos == 0) {
			return Optional.empty();
		}
		double prefillNanos = state.estimates.prefillNanos(request.contextTokens());
		double answerNanos = state.estimates.answerTokens(request) * state.estimates.tokenNanos();
		boolean late = nowNanos + waitNanos + prefillNanos > latestStartNanos(request)
				|| nowNanos + waitNanos + prefillNanos + answerNanos > request.spec.answerDeadlineNanos();
		return late ? refusal(ProblemCode.OVERLOADED, "it could not be answered in time",
				Duration.ofMillis((long) (waitNanos / 1e6) + 1)) : Optional.empty();
	}

	// Summaries that wait longer than half of their time to the first token take slots
	// from chat, so only those that are expected to start earlier are accepted.
	private static long latestStartNanos(Request request) {
		long deadlineNanos = request.spec.firstTokenDeadlineNanos();
		return request.isChat() ? deadlineNanos : (request.arrivedNanos + deadlineNanos) / 2;
	}

	private static double chatWaitNanos(ServingState state, PoolLoad load) {
		return WAIT_MARGIN * load.waitNanos(USABLE_SLOT_FRACTION, state.estimates.answerNanos());
	}

	// Summaries wait in this process behind the summaries of the same pool that arrived
	// earlier.
	private static double summaryWaitNanos(ServingState state, Request request) {
		long earlierSummaries = state.requests.waiting()
			.stream()
			.filter((other) -> !other.isChat() && other.spec.pool().equals(request.spec.pool()))
			.count();
		return (earlierSummaries > 0)
				? earlierSummaries / SummaryLimit.maxStartsPerNano(state, request.spec.pool(), request.arrivedNanos)
				: 0;
	}

	private static Optional<Problem> refusal(ProblemCode code, String detail, Duration retryAfter) {
		return Optional.of(Problem.notRun(code, detail, retryAfter));
	}

}
