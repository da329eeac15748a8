package org.rosemaryfront.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.function.Function;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.dispatch.BackendServer.Incarnation;
import org.rosemaryfront.dispatch.BackendTable;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.moves.CopyAnswer;
import org.rosemaryfront.moves.LeavingServer;
import org.rosemaryfront.moves.LeavingServers;
import org.rosemaryfront.moves.MoveDecision;
import org.rosemaryfront.moves.MoveDecision.Transfer;
import org.rosemaryfront.moves.MovePlanner;
import org.rosemaryfront.moves.MovePlanner.Planned;
import org.rosemaryfront.moves.MoveStep;
import org.rosemaryfront.moves.MoveTable;
import org.rosemaryfront.moves.MoveTarget;
import org.rosemaryfront.moves.RunPace;
import org.rosemaryfront.moves.RunState;
import org.rosemaryfront.ports.CallMetadata.Prompt;
import org.rosemaryfront.ports.EngineRuns;
import org.rosemaryfront.ports.ForwardingMetadata.RunCopy;
import org.rosemaryfront.program.ControlLoop;
import org.rosemaryfront.routes.ServiceSpec.EngineSpec;
import org.rosemaryfront.routes.ServiceSpec.MoveSpec;
import org.rosemaryfront.tables.Freshness;
import org.rosemaryfront.traffic.Call;
import org.rosemaryfront.traffic.CallPolicy.Failure;
import org.rosemaryfront.traffic.Refusal;
import org.rosemaryfront.traffic.Refusal.Cause;
import org.rosemaryfront.traffic.TrafficMetrics;

/**
 * Moves the streams of this gateway from servers that leave to others, together with
 * their runs. Confined to the control thread.
 */
final class RunMoves {

	/**
	 * The interval between plans, in nanoseconds: short beside the pauses of streams, but
	 * not each time that the control thread has worked.
	 */
	private static final long PLAN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	private final ControlLoop loop;

	private final BackendTable servers;

	private final EngineRuns engines;

	private final TrafficMetrics metrics;

	private final Calls calls;

	/** Tells up to when no registration was missed. */
	private final Freshness freshness;

	private final MoveTable moves = MoveTable.empty();

	private final LeavingServers leaving;

	/** When runs were last planned; empty before that. */
	private OptionalLong plannedNanos = OptionalLong.empty();

	/**
	 * Up to when no registration was missed at the last plan; empty before that.
	 */
	private OptionalLong confirmedNanos = OptionalLong.empty();

	RunMoves(ControlLoop loop, BackendTable servers, Freshness freshness, EngineRuns engines, TrafficMetrics metrics,
			Calls calls, long drainMillis) {
		this.loop = loop;
		this.servers = servers;
		this.engines = engines;
		this.metrics = metrics;
		this.calls = calls;
		this.freshness = freshness;
		this.leaving = LeavingServers.of(drainMillis);
	}

	// -- plans

	/**
	 * Copies and switches the runs at servers that leave.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void tick(long nowNanos) {
		if (this.plannedNanos.isPresent() && nowNanos - this.plannedNanos.getAsLong() < PLAN_INTERVAL_NANOS) {
			return;
		}
		this.plannedNanos = OptionalLong.of(nowNanos);
		List<BackendServer> known = this.servers.servers();
		recordLeaving(known, nowNanos);
		this.moves.expire(nowNanos).forEach((id, step) -> find(id).ifPresent((call) -> follow(call, step, nowNanos)));
		this.leaving.present(known, this::load, nowNanos).forEach((source) -> move(source, nowNanos));
	}

	// A server whose leaving is seen now may have begun to leave at any time since the
	// registrations were last known to be complete.
	private void recordLeaving(List<BackendServer> known, long nowNanos) {
		long sinceNanos = this.confirmedNanos.orElse(nowNanos);
		known.stream().filter(this::movesRuns).forEach((server) -> this.leaving.record(server, sinceNanos, nowNanos));
		this.leaving.retain(known.stream().map(BackendServer::incarnation).toList(), nowNanos);
		this.freshness.ageNanos(nowNanos).ifPresent((age) -> this.confirmedNanos = OptionalLong.of(nowNanos - age));
	}

	private boolean movesRuns(BackendServer server) {
		return server.leaving() && this.calls.engine().apply(server.service()).flatMap(EngineSpec::moves).isPresent();
	}

	private int load(BackendServer server) {
		return this.servers.callsAt((other) -> other.id().equals(server.id()));
	}

	private void move(LeavingServer source, long nowNanos) {
		Optional<EngineSpec> engine = this.calls.engine().apply(source.server().service());
		if (engine.flatMap(EngineSpec::moves).isEmpty()) {
			return;
		}
		Map<String, Call> here = callsAt(source.server());
		List<RunState> runs = here.values()
			.stream()
			.map((call) -> run(call, engine.get().moves().get()))
			.flatMap(Optional::stream)
			.toList();
		if (runs.isEmpty()) {
			return;
		}
		runs.forEach((run) -> this.moves.arrived(run.call()));
		MovePlanner.of(engine.get(), this.moves, () -> this.calls.retries().test(source.server().service(), nowNanos))
			.plan(source, runs, targets(source.server().service(), engine.get()), nowNanos)
			.forEach((planned) -> act(here.get(planned.run().call()), source.server(), planned, nowNanos));
	}

	// Calls with the same identifier cannot be told apart at a server.
	private Map<String, Call> callsAt(BackendServer server) {
		Map<String, List<Call>> here = this.calls.byProgress()
			.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().server().equals(Optional.of(server.incarnation())))
			.map(Map.Entry::getKey)
			.collect(Collectors.groupingBy(Call::id));
		return here.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().isEmpty() && entry.getValue().size() == 1)
			.collect(Collectors.toMap(Map.Entry::getKey, (entry) -> entry.getValue().getFirst()));
	}

	private static Optional<RunState> run(Call call, MoveSpec engine) {
		RunPace pace = call.move().pace();
		Optional<Prompt> prompt = call.metadata().prompt();
		if (pace.events() == 0 || prompt.isEmpty()) {
			return Optional.empty();
		}
		long gapMillis = call.route().targetGapMillis().orElse(call.route().targetMillis());
		return Optional.of(new RunState(call.id(), call.priority(), prompt.get().promptTokens(), pace.tokens(engine),
				OptionalLong.of(prompt.get().maxResponseTokens()), pace.millisPerToken(engine), gapMillis,
				call.route().resumable()));
	}

	// The memory in use is not reported: it is taken to be in proportion to the slots.
	private List<MoveTarget> targets(String service, EngineSpec engine) {
		return this.servers.eligibleServers()
			.stream()
			.filter((server) -> server.service().equals(service))
			.map((server) -> {
				int free = Math.max(0, server.slots() - load(server));
				return new MoveTarget(server, free, engine.kvCacheTokens() * free / server.slots());
			})
			.toList();
	}

	// -- requests

	private void act(Call call, BackendServer source, Planned planned, long nowNanos) {
		switch (planned.decision()) {
			case MoveDecision.Stay _ -> {
			}
			case MoveDecision.Copy copy -> {
				MoveTable.Request request = this.moves.copying(planned.run(), source, copy.target(), copy.transfer());
				request.superseded().ifPresent(this::drop);
				request(call, source, copy.target(), false, request.attempt(), copy.transfer());
			}
			case MoveDecision.Switch last -> {
				long attempt = this.moves.switching(call.id(), last.transfer());
				call.move().begins(() -> request(call, source, last.target(), true, attempt, last.transfer()));
			}
			case MoveDecision.Abandon abandon -> {
				log(call, source, "abandoned", abandon.reason().name());
				this.moves.abandon(call.id()).ifPresent(this::drop);
			}
		}
	}

	private void request(Call call, BackendServer source, BackendServer target, boolean last, long attempt,
			Transfer transfer) {
		this.metrics.increment(last ? "runs.switches" : "runs.copies");
		Duration timeout = Duration.ofNanos(Math.max(1, transfer.expiresNanos() - transfer.requestedNanos()));
		this.engines.copy(source, call.id(), target, last, timeout)
			.subscribe((answer) -> this.loop.post((now) -> answered(call, attempt, source, answer, now)));
	}

	private void answered(Call call, long attempt, BackendServer source, CopyAnswer answer, long nowNanos) {
		if (!(answer instanceof CopyAnswer.Copied)) {
			log(call, source, "not copied", answer.toString());
		}
		follow(call, this.moves.answered(call.id(), attempt, source, answer, nowNanos), nowNanos);
	}

	private void follow(Call call, MoveStep step, long nowNanos) {
		switch (step) {
			case MoveStep.None _ -> {
			}
			case MoveStep.NotStopped _ -> call.move().cancelled(false);
			case MoveStep.Drop drop -> drop(drop);
			case MoveStep.Continue next -> {
				Optional<Incarnation> before = Optional.ofNullable(this.calls.byProgress().get(call))
					.filter((progress) -> !progress.isLoadReleased())
					.flatMap(CallProgress::server);
				if (continues(call, next, nowNanos) || continuesAtSource(call, next, nowNanos)) {
					before.ifPresent(this.servers::recordCallCancelled);
				}
				else {
					call.move().cancelled(true);
				}
			}
			case MoveStep.Unknown _, MoveStep.Lost _ -> call.move().cancelled(true);
		}
	}

	private void drop(MoveStep.Drop drop) {
		this.engines.drop(drop.source(), drop.handle())
			.subscribe((freed) -> this.metrics.increment(freed ? "runs.copies.freed" : "runs.copies.left"));
	}

	// -- continued runs

	// Returns false if the call has ended, or the server must not be sent requests.
	private boolean continues(Call call, MoveStep.Continue next, long nowNanos) {
		CallProgress progress = this.calls.byProgress().get(call);
		Incarnation server = next.server().incarnation();
		if (progress == null || !this.leaving.acceptsRuns(server, nowNanos)) {
			return false;
		}
		log(call, next.source(), "continues", next.server().id());
		this.metrics.increment("runs.moved");
		progress.moved(server);
		this.servers.recordCallSent(server, 0);
		call.move()
			.continueAt(next.server(), this.calls.maxConnections().applyAsInt(call.service()),
					new RunCopy(next.source().address(), next.handle()),
					() -> this.leaving.acceptsRuns(server, System.nanoTime()));
		return true;
	}

	// A target that must not be sent requests is passed over.
	private boolean continuesAtSource(Call call, MoveStep.Continue next, long nowNanos) {
		return this.moves.refused(call.id(), next.server()) instanceof MoveStep.Continue back
				&& continues(call, back, nowNanos);
	}

	/**
	 * Handles a call that failed at a server. One that was not run by the server that was
	 * to continue it goes back to the source of its copy.
	 * @param call the call
	 * @param server the server
	 * @param failure the failure
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return false if the call did not move, or may go on without its copy
	 */
	boolean failed(Call call, BackendServer server, Failure failure, long nowNanos) {
		if (!(failure.verdict() instanceof Verdict.NotRun)) {
			ended(call);
			return false;
		}
		return switch (this.moves.refused(call.id(), server)) {
			case MoveStep.Continue next -> {
				if (failure.sent()) {
					// One more arrival: it counts, but the caller must not lose the
					// stream for the lack of a retry.
					this.calls.retries().test(call.service(), nowNanos);
				}
				yield continues(call, next, nowNanos) || lost(call);
			}
			case MoveStep.Lost _ -> lost(call);
			case MoveStep.None _, MoveStep.NotStopped _, MoveStep.Drop _, MoveStep.Unknown _ -> false;
		};
	}

	private boolean lost(Call call) {
		if (!call.route().resumable()) {
			call.giveUp(Refusal.of(Cause.MAY_HAVE_RUN, "the run has stopped"));
		}
		return !call.route().resumable();
	}

	/**
	 * Called when a call has ended.
	 * @param call the call
	 */
	void ended(Call call) {
		this.moves.ended(call.id()).ifPresent(this::drop);
	}

	private Optional<Call> find(String id) {
		return this.calls.byProgress().keySet().stream().filter((call) -> call.id().equals(id)).findFirst();
	}

	private static void log(Call call, BackendServer source, String step, String detail) {
		EventLog.info(GatewayEvents.RUN_MOVE, "request", call.id(), "source", source.id(), "step", step, "detail",
				detail);
	}

	/**
	 * What the moves need of the calls of this gateway.
	 *
	 * @param byProgress the calls with the decisions made about them
	 * @param engine returns the engine of a service
	 * @param retries takes a retry of a service and returns whether there was one
	 * @param maxConnections returns the maximum number of connections to a server of a
	 * service
	 */
	record Calls(Map<Call, CallProgress> byProgress, Function<String, Optional<EngineSpec>> engine,
			BiPredicate<String, Long> retries, ToIntFunction<String> maxConnections) {
	}

}
