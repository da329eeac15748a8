package org.rosemaryfront.gateway;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import reactor.core.publisher.Mono;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.moves.CopyAnswer;
import org.rosemaryfront.ports.EngineRuns;

/** Answers requests for copies of runs as a test tells. */
final class ScriptedRuns implements EngineRuns {

	private final List<String> requests = new CopyOnWriteArrayList<>();

	private volatile Script script = (_, _, _) -> Mono.just(new CopyAnswer.NoRun());

	void answer(Script answers) {
		this.script = answers;
	}

	/**
	 * Returns the requests in order.
	 * @return {@code copy}, {@code last} or {@code drop} with the run or the handle
	 */
	List<String> requests() {
		return this.requests;
	}

	@Override
	public Mono<CopyAnswer> copy(BackendServer source, String requestId, BackendServer target, boolean last,
			Duration timeout) {
		this.requests.add((last ? "last " : "copy ") + requestId);
		return this.script.answer(requestId, target, last);
	}

	@Override
	public Mono<Boolean> drop(BackendServer source, String handle) {
		this.requests.add("drop " + handle);
		return Mono.just(true);
	}

	/** Answers a request for a copy. */
	interface Script {

		Mono<CopyAnswer> answer(String requestId, BackendServer target, boolean last);

	}

}
