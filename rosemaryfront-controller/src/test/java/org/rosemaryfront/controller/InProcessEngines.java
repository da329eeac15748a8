package org.rosemaryfront.controller;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import org.rosemaryfront.engine.EngineClient;
import org.rosemaryfront.engine.EngineEvent;
import org.rosemaryfront.engine.EngineException;
import org.rosemaryfront.model.AttemptId;
import org.rosemaryfront.standin.engine.EngineModel;
import org.rosemaryfront.standin.engine.EngineParameters;
import org.rosemaryfront.standin.engine.OrderOutcome;

/** Stand-in engines in the same process, one an address, on the monotonic clock. */
final class InProcessEngines implements EngineClient {

	private final EngineParameters parameters;

	private final Map<String, EngineModel> engines = new ConcurrentHashMap<>();

	private final List<Sent> orders = new CopyOnWriteArrayList<>();

	private InProcessEngines(EngineParameters parameters) {
		this.parameters = parameters;
	}

	static InProcessEngines of(boolean fencingChecked) {
		return new InProcessEngines(EngineParameters.fast().withFencingChecked(fencingChecked));
	}

	// -- queries

	List<String> models(String address) {
		return on(address, (engine) -> engine.state(System.nanoTime()).models());
	}

	List<Sent> orders() {
		return new ArrayList<>(this.orders);
	}

	// -- orders

	OrderOutcome deliver(String address, EngineOrder order) {
		return on(address, (engine) -> {
			long now = System.nanoTime();
			OrderOutcome outcome = engine.order(now, now, order);
			engine.notFetched().forEach((name) -> engine.fetched(now, name));
			return outcome;
		});
	}

	@Override
	public Mono<ActualState> order(String address, EngineOrder order) {
		return Mono.fromCallable(() -> {
			this.orders.add(new Sent(address, order));
			OrderOutcome outcome = deliver(address, order);
			if (outcome != OrderOutcome.TAKEN) {
				throw EngineException.rejectedOrder(outcome == OrderOutcome.FENCED, "order " + outcome);
			}
			return on(address, (engine) -> engine.state(System.nanoTime()));
		});
	}

	@Override
	public Mono<ActualState> state(String address) {
		return Mono.fromCallable(() -> on(address, (engine) -> engine.state(System.nanoTime())));
	}

	private <T> T on(String address, java.util.function.Function<EngineModel, T> call) {
		EngineModel engine = this.engines.computeIfAbsent(address, (_) -> EngineModel.of(this.parameters, 1, (_) -> {
		}));
		synchronized (engine) {
			return call.apply(engine);
		}
	}

	// -- not called by a controller

	@Override
	public Flux<EngineEvent> attach(String address, AttemptId stream, int offset) {
		return Flux.error(new UnsupportedOperationException());
	}

	@Override
	public Mono<CacheEvents> cacheEvents(String address, long after) {
		return Mono.error(new UnsupportedOperationException());
	}

	@Override
	public Mono<Void> cancel(String address, AttemptId stream) {
		return Mono.error(new UnsupportedOperationException());
	}

	@Override
	public void close() {
	}

	@Override
	public Mono<Integer> importCache(String address, String source, AttemptId stream) {
		return Mono.error(new UnsupportedOperationException());
	}

	@Override
	public Mono<Load> load(String address) {
		return Mono.error(new UnsupportedOperationException());
	}

	@Override
	public Flux<EngineEvent> open(String address, StreamOrder order) {
		return Flux.error(new UnsupportedOperationException());
	}

	/** An order as it went out. */
	record Sent(String address, EngineOrder order) {
	}

}
