package org.rosemaryfront.entry;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import java.util.function.IntSupplier;

import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

import org.rosemaryfront.engine.EngineClient;
import org.rosemaryfront.engine.EngineClient.StreamOrder;
import org.rosemaryfront.engine.EngineEvent;
import org.rosemaryfront.engine.EngineException;
import org.rosemaryfront.entry.AnswerStream.Delivery;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.events.Invariants;
import org.rosemaryfront.model.AttemptId;
import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.RequestId;
import org.rosemaryfront.model.Resource;
import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.model.VmId;
import org.rosemaryfront.serving.RequestSpec;
import org.rosemaryfront.serving.ServingCommand;
import org.rosemaryfront.serving.ServingCommand.Mode;
import org.rosemaryfront.serving.ServingEvent;
import org.rosemaryfront.serving.ServingEvent.ConnectionFailure;
import org.rosemaryfront.serving.ServingEvent.Refusal;

/**
 * Carries out the commands of the decisions on engines, and checks every event of an
 * engine before it reaches an answer.
 */
final class AttemptTraffic {

	/** How long an engine keeps a stream beyond its deadline, for callers that resume. */
	private static final Duration EXPIRY_MARGIN = Duration.ofSeconds(10);

	private static final Duration SHORTEST_EXPIRY = Duration.ofSeconds(1);

	private final ConcurrentHashMap<AttemptId, RunningAttempt> attempts = new ConcurrentHashMap<>();

	private final ConcurrentHashMap<RequestId, RunningAttempt> current = new ConcurrentHashMap<>();

	private final ConcurrentHashMap<RequestId, AdoptedAttempt> adopted = new ConcurrentHashMap<>();

	private final EngineClient engines;

	private final StreamTable streams;

	private final DecisionRing decisions;

	private final EntryMetrics metrics;

	private final Context context;

	AttemptTraffic(EngineClient engines, StreamTable streams, DecisionRing decisions, EntryMetrics metrics,
			Context context) {
		this.engines = engines;
		this.streams = streams;
		this.decisions = decisions;
		this.metrics = metrics;
		this.context = context;
	}

	// -- commands

	/**
	 * Carries out a command; never blocks.
	 * @param command the command
	 */
	void execute(ServingCommand command) {
		switch (command) {
			case ServingCommand.Dispatch dispatch -> dispatch(dispatch);
			case ServingCommand.Cancel cancel -> cancel(cancel);
			case ServingCommand.Refuse refuse -> refuse(refuse);
		}
	}

	private void dispatch(ServingCommand.Dispatch dispatch) {
		Optional<AnswerStream> stream = this.streams.find(dispatch.request()).filter(AnswerStream::isOpen);
		if (stream.isEmpty()) {
			this.context.post(new ServingEvent.RequestAbandoned(dispatch.request()));
			return;
		}
		Mode mode = continued(dispatch);
		log(ServingEvents.REQUEST_DISPATCHED, dispatch.request(), "dispatch", "attempt", dispatch.attempt(), "server",
				dispatch.server(), "mode", mode, "reason", dispatch.reason());
		this.metrics.dispatched(mode);
		start(stream.get(), dispatch, mode);
	}

	// An adopted stream that still runs on the chosen server needs no recomputation.
	private Mode continued(ServingCommand.Dispatch dispatch) {
		AdoptedAttempt earlier = this.adopted.remove(dispatch.request());
		if (earlier == null) {
			return dispatch.mode();
		}
		if (earlier.server().equals(dispatch.server())) {
			return new Mode.Reattach(earlier.stream());
		}
		cancelAt(earlier.address(), earlier.stream());
		return dispatch.mode();
	}

	private void start(AnswerStream stream, ServingCommand.Dispatch dispatch, Mode mode) {
		AttemptId engineStream = (mode instanceof Mode.Reattach reattach) ? reattach.earlier() : dispatch.attempt();
		RunningAttempt attempt = new RunningAttempt(dispatch.request(), dispatch.attempt(), engineStream,
				dispatch.server(), dispatch.address(), System.nanoTime());
		this.attempts.put(attempt.id(), attempt);
		RunningAttempt earlier = this.current.put(attempt.request(), attempt);
		if (earlier != null) {
			earlier.disconnect();
		}
		Optional<List<String>> emitted = stream.attach(engineStream);
		if (emitted.isEmpty()) {
			return;
		}
		Disposable connection = events(stream, attempt, mode, emitted.get()).subscribeOn(Schedulers.parallel())
			.subscribe((event) -> take(stream, attempt, event), (failure) -> broken(attempt, failure),
					() -> broken(attempt, EngineException.broken(ConnectionFailure.CONNECTION_LOST, null)));
		attempt.connected(connection);
	}

	private Flux<EngineEvent> events(AnswerStream stream, RunningAttempt attempt, Mode mode, List<String> emitted) {
		String address = attempt.address();
		return switch (mode) {
			case Mode.Fresh _, Mode.Replay _ -> this.engines.open(address, order(stream, attempt, emitted));
			case Mode.Reattach _ -> this.engines.attach(address, attempt.stream(), emitted.size());
			case Mode.Import move -> this.engines.importCache(address, move.sourceAddress(), move.sourceAttempt())
				.onErrorResume((failure) -> {
					log(ServingEvents.CACHE_MOVE_FAILED, attempt.request(), "cache move failed", "source",
							move.source(), "cause", failure);
					return Mono.just(0);
				})
				.flatMapMany((_) -> this.engines.open(address, order(stream, attempt, emitted)));
		};
	}

	private StreamOrder order(AnswerStream stream, RunningAttempt attempt, List<String> emitted) {
		AcceptedRequest request = stream.request();
		RequestSpec spec = request.spec();
		Optional<Resource.Adapter> adapter = this.context.configuration()
			.find(Resource.Adapter.class, request.call().model());
		String model = adapter.map(Resource.Adapter::model).orElse(request.call().model());
		Duration left = Duration.ofNanos(Math.max(0, spec.answerDeadlineNanos() - System.nanoTime()))
			.plus(EXPIRY_MARGIN);
		return new StreamOrder(attempt.stream(), model, adapter.map(Resource.Adapter::name).orElse(""),
				request.call().prompt(), spec.prefixBlocks(), emitted, spec.maxTokens(), priority(spec),
				(left.compareTo(SHORTEST_EXPIRY) < 0) ? SHORTEST_EXPIRY : left);
	}

	private static int priority(RequestSpec spec) {
		return switch (spec.priority()) {
			case CHAT -> 1;
			case SUMMARY -> 0;
		};
	}

	private void cancel(ServingCommand.Cancel cancel) {
		RunningAttempt attempt = this.attempts.remove(cancel.attempt());
		if (attempt == null) {
			return;
		}
		log(ServingEvents.ATTEMPT_CANCELLED, cancel.request(), "cancel", "attempt", cancel.attempt(), "reason",
				cancel.reason());
		this.current.remove(cancel.request(), attempt);
		attempt.disconnect();
		cancelAt(attempt.address(), attempt.stream());
	}

	private void cancelAt(String address, AttemptId stream) {
		this.engines.cancel(address, stream).subscribeOn(Schedulers.parallel()).subscribe((_) -> {
		}, (failure) -> EventLog.info(ServingEvents.COMMAND_FAILED, "command", "cancel", "attempt", stream, "cause",
				failure));
	}

	private void refuse(ServingCommand.Refuse refuse) {
		Optional<AnswerStream> stream = this.streams.find(refuse.request());
		if (stream.isEmpty()) {
			return;
		}
		boolean notRun = refuse.problem().verdict() instanceof Verdict.NotRun;
		Invariants.check(!notRun || stream.get().size() == 0, ServingEvents.NOT_RUN_ALTHOUGH_RAN, "request",
				refuse.request(), "tokens", stream.get().size());
		if (stream.get().fail(refuse.problem())) {
			log(ServingEvents.REQUEST_REFUSED, refuse.request(), "refuse", "code", refuse.problem().code().code(),
					"verdict", refuse.problem().verdict().code(), "detail", refuse.problem().detail());
			this.metrics.refused(refuse.problem().code());
		}
		disconnect(refuse.request());
	}

	// -- hand-off

	/**
	 * Notes where the stream of an adopted request still runs.
	 * @param request the request
	 * @param attempt the engine stream
	 */
	void adopt(RequestId request, AdoptedAttempt attempt) {
		this.adopted.put(request, attempt);
	}

	/**
	 * Leaves a request's stream running in its engine without a connection from here.
	 * @param request the request
	 * @return where it runs, empty when it runs nowhere
	 */
	Optional<AdoptedAttempt> release(RequestId request) {
		RunningAttempt attempt = this.current.get(request);
		if (attempt == null) {
			return Optional.empty();
		}
		attempt.disconnect();
		return Optional.of(new AdoptedAttempt(attempt.stream(), attempt.server(), attempt.address()));
	}

	/**
	 * Takes a released request up again, since no peer took it.
	 * @param request the request
	 */
	void resume(RequestId request) {
		RunningAttempt attempt = this.current.get(request);
		if (attempt != null) {
			this.context.post(new ServingEvent.AttemptFailed(attempt.id(), ConnectionFailure.CONNECTION_LOST));
		}
	}

	/**
	 * Forgets all attempts of a request that a peer holds now, so that no later command
	 * cancels a stream to which the peer has attached.
	 * @param request the request
	 */
	void forgetMoved(RequestId request) {
		disconnect(request);
		this.attempts.values().removeIf((attempt) -> attempt.request().equals(request));
	}

	private void disconnect(RequestId request) {
		this.adopted.remove(request);
		RunningAttempt attempt = this.current.remove(request);
		if (attempt != null) {
			attempt.disconnect();
		}
	}

	/**
	 * Removes the attempts of requests that have ended here.
	 */
	void expire() {
		this.attempts.values()
			.removeIf((attempt) -> this.streams.find(attempt.request()).filter(AnswerStream::isOpen).isEmpty()
					&& System.nanoTime() - attempt.startedNanos() > TimeUnit.MINUTES.toNanos(1));
	}

	/**
	 * The streams that this process has open at a backend server.
	 * @param server the VM
	 * @return the number
	 */
	int inFlight(VmId server) {
		return (int) this.current.values().stream().filter((attempt) -> attempt.server().equals(server)).count();
	}

	// -- events of engines

	private void take(AnswerStream stream, RunningAttempt attempt, EngineEvent event) {
		if (!event.attempt().equals(attempt.stream())) {
			dropLate(attempt, event);
			return;
		}
		switch (event) {
			case EngineEvent.Accepted accepted ->
				this.context.post(new ServingEvent.AttemptAccepted(attempt.id(), accepted.cachedTokens()));
			case EngineEvent.Token token -> token(stream, attempt, token);
			case EngineEvent.Heartbeat _ -> {
			}
			case EngineEvent.Done done -> done(stream, attempt, done);
			case EngineEvent.Stopped stopped -> stopped(attempt, stopped);
		}
	}

	private void token(AnswerStream stream, RunningAttempt attempt, EngineEvent.Token token) {
		switch (stream.deliver(attempt.stream(), token.index(), token.text())) {
			case DELIVERED -> {
				this.metrics.token(stream.request(), attempt, token.index());
				if (stream.claimProgress()) {
					this.context.postProgress((count) -> new ServingEvent.AttemptProgressed(attempt.id(), count),
							stream::takeProgress);
				}
			}
			case STALE -> dropLate(attempt, token);
			case OUT_OF_ORDER -> {
				Invariants.check(false, ServingEvents.TOKEN_OUT_OF_ORDER, "request", attempt.request(), "attempt",
						attempt.id(), "index", token.index(), "expected", stream.size());
				attempt.disconnect();
				report(attempt, new ServingEvent.AttemptFailed(attempt.id(), ConnectionFailure.CONNECTION_LOST));
			}
		}
	}

	private void done(AnswerStream stream, RunningAttempt attempt, EngineEvent.Done done) {
		Delivery delivery = stream.finish(attempt.stream(), done.finishReason(), done.tokens());
		switch (delivery) {
			case DELIVERED -> {
				log(ServingEvents.REQUEST_FINISHED, attempt.request(), "finished", "attempt", attempt.id(), "tokens",
						done.tokens(), "finish", done.finishReason());
				this.metrics.finished(stream.request());
				report(attempt, new ServingEvent.AttemptFinished(attempt.id()));
				this.attempts.remove(attempt.id());
				this.current.remove(attempt.request(), attempt);
			}
			case STALE -> dropLate(attempt, done);
			case OUT_OF_ORDER -> {
				Invariants.check(false, ServingEvents.ANSWER_NOT_WHOLE, "request", attempt.request(), "attempt",
						attempt.id(), "tokens", done.tokens(), "received", stream.size());
				report(attempt, new ServingEvent.AttemptFailed(attempt.id(), ConnectionFailure.CONNECTION_LOST));
			}
		}
	}

	private void stopped(RunningAttempt attempt, EngineEvent.Stopped stopped) {
		if (stopped.reason().equals("leaving")) {
			this.context.serverLeaving(attempt.server());
		}
		EventLog.info(ServingEvents.ATTEMPT_BROKEN, "request", attempt.request(), "attempt", attempt.id(), "cause",
				stopped.reason());
		report(attempt, new ServingEvent.AttemptFailed(attempt.id(), ConnectionFailure.CONNECTION_LOST));
	}

	private void broken(RunningAttempt attempt, Throwable failure) {
		if (attempt.isReported()) {
			return;
		}
		Optional<Refusal> refusal = (failure instanceof EngineException ex) ? ex.refusal() : Optional.empty();
		if (refusal.isPresent()) {
			log(ServingEvents.ATTEMPT_REFUSED, attempt.request(), "refused by server", "attempt", attempt.id(),
					"server", attempt.server(), "refusal", refusal.get());
			report(attempt, new ServingEvent.AttemptRefused(attempt.id(), refusal.get()));
			if (refusal.get() == Refusal.LEAVING) {
				this.context.serverLeaving(attempt.server());
			}
			return;
		}
		ConnectionFailure breakage = ((failure instanceof EngineException ex) ? ex.breakage()
				: Optional.<ConnectionFailure>empty())
			.orElse(ConnectionFailure.CONNECTION_LOST);
		log(ServingEvents.ATTEMPT_BROKEN, attempt.request(), "broken", "attempt", attempt.id(), "server",
				attempt.server(), "breakage", breakage);
		report(attempt, new ServingEvent.AttemptFailed(attempt.id(), breakage));
	}

	private void report(RunningAttempt attempt, ServingEvent event) {
		if (attempt.claimReport()) {
			this.context.post(event);
		}
	}

	private void dropLate(RunningAttempt attempt, EngineEvent event) {
		this.metrics.droppedLate();
		EventLog.info(ServingEvents.LATE_ANSWER_DROPPED, "request", attempt.request(), "attempt", attempt.id(), "event",
				event.getClass().getSimpleName(), "of", event.attempt());
	}

	private void log(ServingEvents code, RequestId request, String decision, Object... fields) {
		Object[] all = new Object[fields.length + 2];
		all[0] = "request";
		all[1] = request;
		System.arraycopy(fields, 0, all, 2, fields.length);
		EventLog.info(code, all);
		StringBuilder line = new StringBuilder(decision);
		for (int i = 0; i + 1 < fields.length; i += 2) {
			line.append(' ').append(fields[i]).append('=').append(fields[i + 1]);
		}
		this.decisions.add(request, line.toString());
	}

	/** What the traffic needs from the rest of the process. */
	interface Context {

		/**
		 * The configuration in force.
		 * @return the configuration
		 */
		Configuration configuration();

		/**
		 * Posts an event to the control thread.
		 * @param event what happened
		 */
		void post(ServingEvent event);

		/**
		 * Posts the progress of an attempt, read when the event is taken.
		 * @param event makes the event from the number of tokens
		 * @param tokens the number of tokens so far
		 */
		void postProgress(IntFunction<ServingEvent> event, IntSupplier tokens);

		/**
		 * A backend server said that it is leaving.
		 * @param server the VM
		 */
		void serverLeaving(VmId server);

	}

	/**
	 * An engine stream of a request that came from a peer.
	 *
	 * @param stream the identifier under which it was opened
	 * @param server the VM
	 * @param address its address, {@code host:port}
	 */
	record AdoptedAttempt(AttemptId stream, VmId server, String address) {
	}

}
