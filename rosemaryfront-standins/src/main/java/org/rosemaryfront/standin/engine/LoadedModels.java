package org.rosemaryfront.standin.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import org.rosemaryfront.engine.EngineClient.ActualState;
import org.rosemaryfront.engine.EngineClient.EngineOrder;

/** The models and adapters of an engine, its role and the orders that change them. */
final class LoadedModels {

	private static final long NOT_FETCHED = Long.MAX_VALUE;

	private final Map<String, Long> readyAt = new LinkedHashMap<>();

	private final Set<String> adapters = new LinkedHashSet<>();

	private final Set<String> models = new LinkedHashSet<>();

	private final EngineParameters parameters;

	private long fence;

	private String role = "serve";

	LoadedModels(EngineParameters parameters) {
		this.parameters = parameters;
	}

	// -- orders

	/**
	 * Takes an order.
	 * @param now the time
	 * @param receivedAt when the order arrived
	 * @param order the order
	 * @return what became of it
	 */
	OrderOutcome take(long now, long receivedAt, EngineOrder order) {
		if (now - receivedAt > order.validMillis() * 1_000_000L || order.validMillis() <= 0) {
			return OrderOutcome.EXPIRED;
		}
		if (this.parameters.fencingChecked() && order.fence() < this.fence) {
			return OrderOutcome.FENCED;
		}
		this.fence = order.fence();
		this.role = order.role();
		replace(this.models, order.models());
		replace(this.adapters, order.adapters());
		this.readyAt.keySet().retainAll(Stream.concat(this.models.stream(), this.adapters.stream()).toList());
		return OrderOutcome.TAKEN;
	}

	// Has models and adapters loaded at once.
	void preload(long now, List<String> modelNames, List<String> adapterNames) {
		replace(this.models, modelNames);
		replace(this.adapters, adapterNames);
		this.readyAt.replaceAll((_, _) -> now);
	}

	// The weights of a model or adapter are here.
	void fetched(long now, String name) {
		this.readyAt.computeIfPresent(name, (_, at) -> (at == NOT_FETCHED) ? now + this.parameters.loadNanos() : at);
	}

	private void replace(Set<String> held, List<String> wanted) {
		held.retainAll(wanted);
		for (String name : wanted) {
			if (held.add(name)) {
				this.readyAt.put(name, NOT_FETCHED);
			}
		}
	}

	// -- queries

	boolean draining() {
		return this.role.equals("drain");
	}

	boolean loaded(long now, String model, String adapter) {
		return versions(now, model, adapter).size() == (adapter.isEmpty() ? 1 : 2);
	}

	List<String> notFetched() {
		return this.readyAt.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() == NOT_FETCHED)
			.map(Map.Entry::getKey)
			.toList();
	}

	/**
	 * The versions that a new stream runs on: the newest loaded of each name.
	 * @param now the time
	 * @param model the name of the model
	 * @param adapter the name of the adapter, empty for none
	 * @return the model's version, and the adapter's if there is one
	 */
	List<String> versions(long now, String model, String adapter) {
		Stream<String> ofModel = ready(now, this.models, model).stream();
		return (adapter.isEmpty() ? ofModel : Stream.concat(ofModel, ready(now, this.adapters, adapter).stream()))
			.toList();
	}

	ActualState state(long now, int running, int queued, Map<String, Integer> streams) {
		List<String> loading = this.readyAt.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() > now)
			.map(Map.Entry::getKey)
			.toList();
		return new ActualState(this.fence, without(this.models, loading), without(this.adapters, loading), loading,
				this.role, running, queued, streams);
	}

	// The version of a name that was loaded last, so that the streams on an old one end.
	private Optional<String> ready(long now, Set<String> held, String name) {
		Optional<String> newest = Optional.empty();
		for (String candidate : held) {
			boolean named = candidate.equals(name) || candidate.startsWith(name + "@");
			if (named && this.readyAt.getOrDefault(candidate, NOT_FETCHED) <= now) {
				newest = Optional.of(candidate);
			}
		}
		return newest;
	}

	private static List<String> without(Set<String> names, List<String> loading) {
		List<String> kept = new ArrayList<>(names);
		kept.removeAll(loading);
		return List.copyOf(kept);
	}

}
