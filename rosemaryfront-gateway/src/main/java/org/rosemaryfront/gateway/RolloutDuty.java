package org.rosemaryfront.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import reactor.core.publisher.Mono;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.dispatch.BackendTable;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.ports.RecordCodec;
import org.rosemaryfront.ports.RowStore;
import org.rosemaryfront.ports.RowStore.Commit;
import org.rosemaryfront.ports.RowStore.Condition;
import org.rosemaryfront.ports.RowStore.Outcome;
import org.rosemaryfront.ports.RowStore.Range;
import org.rosemaryfront.ports.RowStore.Row;
import org.rosemaryfront.ports.RowStore.Write;
import org.rosemaryfront.rollout.Phase;
import org.rosemaryfront.rollout.Rollout;
import org.rosemaryfront.rollout.RolloutOrder;
import org.rosemaryfront.rollout.RolloutPlan;
import org.rosemaryfront.tables.StoreVersion;

/**
 * Advances roll-outs at the gateway that holds the duties. The state of each roll-out is
 * stored in its own row by a conditional write before it is sent to any gateway, so that
 * a successor continues from it and two holders cannot diverge. Confined to the control
 * thread.
 */
final class RolloutDuty {

	static final String TABLE = "rollouts";

	private static final String TO = "to";

	private static final String NUMBER = "number";

	private static final String SINCE = "sinceMillis";

	private static final String PHASE = "phase";

	private final RowStore store;

	private final RecordCodec records;

	private final Rollouts rollouts;

	private final BackendTable servers;

	private final Consumer<Runnable> control;

	/** Cached state of the rows since this process took over the duties, by service. */
	private final Map<String, CachedRows> cache = new HashMap<>();

	RolloutDuty(RowStore store, RecordCodec records, Rollouts rollouts, BackendTable servers,
			Consumer<Runnable> control) {
		this.store = store;
		this.records = records;
		this.rollouts = rollouts;
		this.servers = servers;
		this.control = control;
	}

	/** Drops the cached state, because another process may write the rows from now on. */
	void reset() {
		this.cache.clear();
	}

	/**
	 * Advances each roll-out by at most one step.
	 * @param epochMillis the time of day, in milliseconds since 1970
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void advance(long epochMillis, long nowNanos) {
		this.rollouts.table().all().forEach((rollout) -> {
			CachedRows cached = this.cache.computeIfAbsent(rollout.order().service(), (_) -> new CachedRows());
			if (!cached.requestInProgress) {
				advance(cached, rollout, epochMillis, nowNanos);
			}
		});
	}

	/**
	 * Returns the phase of a service's roll-out.
	 * @param service the name of the service
	 * @return the phase in the store; empty if this process has not read it
	 */
	Optional<Phase> phase(String service) {
		return Optional.ofNullable(this.cache.get(service)).flatMap((cached) -> cached.state).map(State::phase);
	}

	private void advance(CachedRows cached, Rollout rollout, long epochMillis, long nowNanos) {
		RolloutOrder order = rollout.order();
		if (!cached.loaded) {
			load(cached, order.service());
			return;
		}
		if (cached.state.filter((state) -> state.belongsTo(order)).isEmpty()) {
			write(cached, rollout, new State(order.targetVersion(), order.number(), epochMillis, Phase.TRIAL));
			return;
		}
		State state = cached.state.orElseThrow();
		Optional<Phase> next = nextPhase(rollout, state, epochMillis);
		rollout.phaseAnnounced(state.phase(), nowNanos);
		if (next.isPresent()) {
			write(cached, rollout, state.with(next.get()));
		}
		else {
			writeOperatorRow(cached, order.service(), state);
		}
	}

	private Optional<Phase> nextPhase(Rollout rollout, State state, long epochMillis) {
		// The order was withdrawn, or the store has lost a later phase.
		boolean behind = state.phase().canAdvanceTo(rollout.phase());
		if (behind) {
			return Optional.of(rollout.phase());
		}
		return RolloutPlan.next(rollout.order(), state.phase(), rollout.verdict(), epochMillis - state.sinceMillis(),
				serverCounts(rollout));
	}

	private void logPhase(Rollout rollout, State state) {
		RolloutPlan.ServerCounts counts = serverCounts(rollout);
		EventLog.info(GatewayEvents.ROLLOUT_PHASE, "service", rollout.order().service(), "to", state.to(), "number",
				state.number(), "phase", state.phase(), "verdict", rollout.verdict(), "sinceMillis",
				System.currentTimeMillis() - state.sinceMillis(), "durationMillis", rollout.order().durationMillis(),
				"freshServers", counts.candidate(), "oldServers", counts.baseline(), "oldCalls",
				counts.baselineCalls());
	}

	private RolloutPlan.ServerCounts serverCounts(Rollout rollout) {
		String service = rollout.order().service();
		List<BackendServer> staying = this.servers.serversOf(service)
			.stream()
			.filter((server) -> !server.leaving())
			.toList();
		int candidates = (int) staying.stream().filter(rollout::isCandidate).count();
		int baselineCalls = this.servers
			.callsAt((server) -> server.service().equals(service) && !rollout.isCandidate(server));
		return new RolloutPlan.ServerCounts(candidates, staying.size() - candidates, baselineCalls);
	}

	// -- the state row

	// The operator's row is read first: if a successor has stored a later phase behind
	// that, it also writes the operator's row, and a write of this process conflicts.
	private void load(CachedRows cached, String service) {
		cached.requestInProgress = true;
		RecordCodec.RowLocation place = this.records.rolloutState(service);
		read(place.table(), place.key())
			.flatMap((operatorRow) -> read(TABLE, service).doOnNext((row) -> this.control.accept(() -> {
				cached.state = row.flatMap((known) -> State.read(known, service));
				cached.version = versionOf(row);
				cached.operatorVersion = versionOf(operatorRow);
				cached.operatorValue = Optional.empty();
				cached.loaded = true;
				cached.requestInProgress = false;
			})))
			.subscribe((_) -> {
			}, (failure) -> failed(cached, service, "read", failure));
	}

	private Mono<Optional<Row>> read(String table, String key) {
		return this.store.read(new Range(table, key, key + '\0')).map((page) -> page.rows().stream().findFirst());
	}

	private static long versionOf(Optional<Row> row) {
		return row.map(Row::version).orElse(0L);
	}

	private void write(CachedRows cached, Rollout rollout, State state) {
		cached.requestInProgress = true;
		String service = rollout.order().service();
		Commit commit = new Commit(TABLE, List.of(new Condition(service, cached.version)),
				List.of(new Write(service, state.bytes())), List.of());
		this.store.commit(commit).subscribe((outcome) -> this.control.accept(() -> {
			cached.requestInProgress = false;
			switch (outcome) {
				case Outcome.Committed done -> {
					cached.state = Optional.of(state);
					cached.version = done.version();
					logPhase(rollout, state);
				}
				case Outcome.Conflict _ -> cached.loaded = false;
			}
		}), (failure) -> failed(cached, service, "write", failure));
	}

	// A failed write may have taken effect or may do so later, so the row is read again
	// first.
	private void failed(CachedRows cached, String row, String operation, Throwable failure) {
		this.control.accept(() -> {
			RowLog.failed(row, operation, failure);
			cached.loaded = false;
			cached.operatorValue = Optional.empty();
			cached.requestInProgress = false;
		});
	}

	// -- the operator's row

	private void writeOperatorRow(CachedRows cached, String service, State state) {
		byte[] value = this.records.rolloutState(state.to(), state.phase());
		if (cached.operatorValue.filter((written) -> Arrays.equals(written, value)).isPresent()) {
			return;
		}
		cached.requestInProgress = true;
		RecordCodec.RowLocation place = this.records.rolloutState(service);
		Commit commit = new Commit(place.table(), List.of(new Condition(place.key(), cached.operatorVersion)),
				List.of(new Write(place.key(), value)), List.of());
		this.store.commit(commit)
			.subscribe((outcome) -> this.control.accept(() -> operatorRowWritten(cached, place.key(), value, outcome)),
					(failure) -> failed(cached, place.key(), "write", failure));
	}

	private static void operatorRowWritten(CachedRows cached, String row, byte[] value, Outcome outcome) {
		cached.requestInProgress = false;
		switch (outcome) {
			case Outcome.Committed done -> {
				cached.operatorValue = Optional.of(value);
				cached.operatorVersion = done.version();
				EventLog.info(GatewayEvents.ROLLOUT_STATE_WRITTEN, "row", row, "state",
						new String(value, StandardCharsets.UTF_8), "rowVersion", StoreVersion.format(done.version()));
			}
			case Outcome.Conflict _ -> cached.loaded = false;
		}
	}

	/** Cached state of the rows of a service. */
	private static final class CachedRows {

		/** Whether a request to the store is in progress. */
		private boolean requestInProgress;

		/** Whether both rows were read. */
		private boolean loaded;

		private long version;

		private Optional<State> state = Optional.empty();

		private long operatorVersion;

		/** The value last written to the operator's row; empty if not known. */
		private Optional<byte[]> operatorValue = Optional.empty();

	}

	/**
	 * The stored state of a roll-out.
	 *
	 * @param to the candidate version
	 * @param number the number of the order
	 * @param sinceMillis when the order was first seen, in milliseconds since 1970
	 * @param phase the current phase
	 */
	private record State(String to, long number, long sinceMillis, Phase phase) {

		private boolean belongsTo(RolloutOrder order) {
			boolean rewritten = !StoreVersion.sameGeneration(this.number, order.number());
			return this.to.equals(order.targetVersion())
					&& (this.number == order.number() || rewritten || !this.phase.isFinal());
		}

		private State with(Phase next) {
			return new State(this.to, this.number, this.sinceMillis, next);
		}

		private byte[] bytes() {
			return RowJson
				.write(Map.of(TO, this.to, NUMBER, this.number, SINCE, this.sinceMillis, PHASE, this.phase.name()));
		}

		private static Optional<State> read(Row row, String service) {
			try {
				JsonNode node = RowJson.tree(row.value().orElseThrow(), "roll-out state of " + service);
				return Optional.of(new State(node.path(TO).asText(), node.path(NUMBER).asLong(),
						node.path(SINCE).asLong(), Phase.valueOf(node.path(PHASE).asText())));
			}
			catch (IllegalStateException | IllegalArgumentException ex) {
				RowLog.unreadable(service, ex);
				return Optional.empty();
			}
		}

	}

}
