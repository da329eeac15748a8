package org.rosemaryfront.bench;

import java.time.Duration;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.rosemaryfront.engine.EngineClient.CacheEvents;
import org.rosemaryfront.engine.EngineClient.Load;
import org.rosemaryfront.engine.EngineClient.StreamOrder;
import org.rosemaryfront.engine.EngineEvent;
import org.rosemaryfront.model.AttemptId;
import org.rosemaryfront.model.RequestId;
import org.rosemaryfront.model.Resource.Priority;
import org.rosemaryfront.model.VmId;
import org.rosemaryfront.serving.ServingCommand;
import org.rosemaryfront.serving.ServingCommand.Mode;
import org.rosemaryfront.serving.ServingDecisions;
import org.rosemaryfront.serving.ServingEvent;
import org.rosemaryfront.serving.ServingEvent.ConnectionFailure;
import org.rosemaryfront.standin.engine.ExportedContext;

/** An entry process: decisions, and traffic that does what they say. */
final class Entry {

	/** A VM that is gone answers no connection; the entry gives up after this time. */
	private static final long CONNECT_TIMEOUT_NANOS = 200 * VirtualTime.MILLI;

	final String zone;

	final ServingDecisions decisions;

	private final Fleet fleet;

	private final VirtualTime time;

	private final Journal journal;

	private final Map<RequestId, Answer> answers = new HashMap<>();

	private final Map<VmId, Long> lastCacheEvent = new HashMap<>();

	Entry(String zone, ServingDecisions decisions, Fleet fleet, VirtualTime time, Journal journal) {
		this.zone = zone;
		this.decisions = decisions;
		this.fleet = fleet;
		this.time = time;
		this.journal = journal;
	}

	// -- events

	// A forced request comes as one that a peer has accepted, so that it is not judged.
	void arrive(Answer answer, boolean forced) {
		this.answers.put(answer.item.id(), answer);
		notify(forced ? new ServingEvent.RequestAdopted(answer.item.id(), answer.item.spec(), 0)
				: new ServingEvent.RequestArrived(answer.item.id(), answer.item.spec()));
	}

	void broken(AttemptId attempt, ConnectionFailure breakage) {
		notify(new ServingEvent.AttemptFailed(attempt, breakage));
	}

	void notify(ServingEvent event) {
		this.decisions.accept(event, this.time.now());
		tick();
	}

	void pollReports(Runner runner) {
		Load load = runner.engine.load(this.time.now());
		this.decisions.accept(new ServingEvent.LoadReported(runner.id, load.running(), load.queued(),
				load.tokensPerSecond(), load.ageMillis() * VirtualTime.MILLI), this.time.now());
		CacheEvents events = runner.engine.cacheEvents(this.time.now(),
				this.lastCacheEvent.getOrDefault(runner.id, 0L));
		this.lastCacheEvent.put(runner.id, events.last());
		this.decisions.accept(new ServingEvent.CacheReported(runner.id, events.added(), events.removed(), events.gap()),
				this.time.now());
	}

	void received(Connection connection, EngineEvent event) {
		Answer answer = this.answers.get(connection.request);
		if (!connection.attempt.equals(answer.attempt) || answer.ended()) {
			return;
		}
		switch (event) {
			case EngineEvent.Accepted accepted ->
				notify(new ServingEvent.AttemptAccepted(connection.attempt, accepted.cachedTokens()));
			case EngineEvent.Token token -> token(connection, answer, token.index());
			case EngineEvent.Heartbeat _ -> {
			}
			case EngineEvent.Done done -> done(connection, answer, done.tokens());
			case EngineEvent.Stopped _ -> broken(connection.attempt, ConnectionFailure.CONNECTION_LOST);
		}
	}

	private void token(Connection connection, Answer answer, int index) {
		if (index != answer.tokens) {
			this.journal.violation("token " + index + " after " + answer.tokens + " of " + answer.item.id());
			return;
		}
		answer.token(this.time.now(), this.journal.between(answer.item.target().priority()));
		this.decisions.accept(new ServingEvent.AttemptProgressed(connection.attempt, answer.tokens), this.time.now());
	}

	private void done(Connection connection, Answer answer, int tokens) {
		if (tokens != answer.tokens) {
			this.journal.violation("answer of " + answer.tokens + " tokens, not " + tokens + ": " + answer.item.id());
		}
		answer.finishedNanos = this.time.now();
		notify(new ServingEvent.AttemptFinished(connection.attempt));
	}

	// -- commands

	void tick() {
		List<ServingCommand> commands = this.decisions.tick(this.time.now());
		commands.forEach(this::execute);
		this.decisions.takeViolations().forEach(this.journal::violation);
	}

	private void execute(ServingCommand command) {
		this.journal.decision(this.time.now(), command);
		switch (command) {
			case ServingCommand.Dispatch dispatch -> dispatch(dispatch);
			case ServingCommand.Cancel cancel -> this.fleet.cancel(cancel.attempt());
			case ServingCommand.Refuse refuse -> refuse(refuse);
		}
	}

	private void refuse(ServingCommand.Refuse refuse) {
		Answer answer = this.answers.get(refuse.request());
		if (answer.ended()) {
			this.journal.violation("second final answer for " + refuse.request());
		}
		answer.refusal = Optional.of(refuse.problem());
		answer.refusedNanos = this.time.now();
		this.journal.refused(answer);
	}

	private void dispatch(ServingCommand.Dispatch dispatch) {
		Answer answer = this.answers.get(dispatch.request());
		answer.attempt = dispatch.attempt();
		Runner runner = this.fleet.runner(dispatch.server());
		if (runner.leaving && !runner.gone && !(dispatch.mode() instanceof Mode.Reattach)) {
			this.journal.sentToLeaving(this.time.now(), runner);
		}
		AttemptId stream = (dispatch.mode() instanceof Mode.Reattach reattach) ? reattach.earlier()
				: dispatch.attempt();
		this.fleet.opened(dispatch.attempt(), stream, runner);
		Connection connection = new Connection(dispatch.request(), dispatch.attempt(), this, this.time,
				this.fleet.latencyNanos(this.zone, runner.zone));
		this.time.after(this.fleet.latencyNanos(this.zone, runner.zone), () -> {
			switch (dispatch.mode()) {
				case Mode.Fresh _, Mode.Replay _ -> open(runner, answer, connection);
				case Mode.Import move -> move(runner, answer, connection, move);
				case Mode.Reattach reattach -> attach(runner, answer, connection, reattach.earlier());
			}
		});
	}

	private void open(Runner runner, Answer answer, Connection connection) {
		if (runner.gone) {
			this.time.after(CONNECT_TIMEOUT_NANOS, () -> broken(connection.attempt, ConnectionFailure.CONNECT_FAILED));
			return;
		}
		if (!connection.attempt.equals(answer.attempt)) {
			return;
		}
		runner.open(order(answer, connection.attempt), connection)
			.ifPresent((refusal) -> this.time.after(this.fleet.latencyNanos(this.zone, runner.zone),
					() -> notify(new ServingEvent.AttemptRefused(connection.attempt, refusal))));
	}

	private void move(Runner runner, Answer answer, Connection connection, Mode.Import move) {
		Runner source = this.fleet.runner(move.source());
		Optional<ExportedContext> exported = source.gone ? Optional.empty() : source.export(move.sourceAttempt());
		if (exported.isEmpty()) {
			open(runner, answer, connection);
			return;
		}
		this.time.at(exported.get().readyAt(), () -> {
			if (!source.gone && !runner.gone) {
				runner.importContext(exported.get());
			}
			open(runner, answer, connection);
		});
	}

	private void attach(Runner runner, Answer answer, Connection connection, AttemptId stream) {
		if (runner.gone) {
			this.time.after(CONNECT_TIMEOUT_NANOS, () -> broken(connection.attempt, ConnectionFailure.CONNECT_FAILED));
			return;
		}
		Optional<List<EngineEvent>> events = runner.attach(stream, answer.tokens, connection);
		if (events.isEmpty()) {
			notify(new ServingEvent.AttemptRefused(connection.attempt, ServingEvent.Refusal.UNKNOWN_STREAM));
		}
		else {
			events.get().forEach(connection::deliver);
		}
	}

	private static StreamOrder order(Answer answer, AttemptId attempt) {
		WorkItem item = answer.item;
		int priority = (item.target().priority() == Priority.CHAT) ? 1 : 0;
		return new StreamOrder(attempt, Deployment.MODEL, "", item.prompt(), item.blockHashes(),
				Collections.nCopies(answer.tokens, ""), item.maxTokens(), priority,
				Duration.ofMillis(2L * item.target().answerMillis()));
	}

}
