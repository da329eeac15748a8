package org.rosemaryfront.services;

import java.time.Duration;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;

import org.rosemaryfront.claims.ClaimCommand;
import org.rosemaryfront.claims.ClaimEvent;
import org.rosemaryfront.claims.ClaimHolderTracker;
import org.rosemaryfront.claims.ClaimMachine;
import org.rosemaryfront.claims.ClaimOutcome;
import org.rosemaryfront.claims.ClaimReply;
import org.rosemaryfront.claims.ClaimRow;
import org.rosemaryfront.claims.ClaimTimes;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.events.Invariants;
import org.rosemaryfront.model.Problem;
import org.rosemaryfront.model.ProblemCode;
import org.rosemaryfront.model.RosemaryException;
import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.model.VmId;
import org.rosemaryfront.platform.TableClient;

/**
 * Carries out what {@link ClaimMachine}s command. A call goes on when its caller leaves,
 * since what it did must be stored for the repeat.
 */
final class ClaimedCalls {

	private static final long POLL_MILLIS = 100;

	private static final long RETRY_MILLIS = 100;

	private final ServiceCallSettings settings;

	private final ClaimTimes times;

	private final TableClient tables;

	private final ServiceClient client;

	private final ServerChoice choice;

	private final Scheduler control;

	private final ClaimWriter writer;

	private final ClaimHolderTracker ledger;

	private final Map<String, Open> open = new HashMap<>();

	private final AtomicInteger count = new AtomicInteger();

	private ClaimedCalls(ServiceCallSettings settings, TableClient tables, ServiceClient client, ServerChoice choice,
			Scheduler control, Predicate<VmId> entryGone) {
		this.settings = settings;
		this.times = new ClaimTimes(settings.callMillis(), settings.storeMillis(),
				settings.callMillis() - settings.storeMillis(), Math.min(settings.waitMillis(), settings.callMillis()),
				POLL_MILLIS, RETRY_MILLIS);
		this.tables = tables;
		this.client = client;
		this.choice = choice;
		this.control = control;
		this.writer = ClaimWriter.of(tables, control, Duration.ofMillis(settings.groupMillis()));
		this.ledger = ClaimHolderTracker.of((held) -> endedHere(held) || entryGone.test(new VmId(held.vm())));
	}

	// A claim of this VM by a request that is not open here is one of an earlier process.
	private boolean endedHere(ClaimRow.Held held) {
		return held.vm().equals(this.settings.vm().value()) && !this.open.containsKey(held.token());
	}

	static ClaimedCalls of(ServiceCallSettings settings, TableClient tables, ServiceClient client, ServerChoice choice,
			Scheduler control, Predicate<VmId> entryGone) {
		return new ClaimedCalls(settings, tables, client, choice, control, entryGone);
	}

	/**
	 * Runs a call at most once.
	 * @param call the call
	 * @param key the caller's idempotency key
	 * @return its final answer
	 */
	Mono<ClaimedAnswer> run(ServiceCall call, String key) {
		return Mono.defer(() -> {
			if (this.count.incrementAndGet() > this.settings.openLimit()) {
				this.count.decrementAndGet();
				return Mono.error(RosemaryException.of(Problem.notRun(ProblemCode.OVERLOADED,
						"too many calls are open or not yet settled", Duration.ofSeconds(1))));
			}
			Open started = new Open(call, call.claimKey(key));
			this.control.schedule(() -> start(started));
			return started.reply.asMono();
		});
	}

	/**
	 * How many calls are not answered or not settled.
	 * @return the count
	 */
	int unsettled() {
		return this.count.get();
	}

	private void start(Open call) {
		call.machine = ClaimMachine.of(call.call.id(), this.settings.vm().value(), call.call.fingerprint(), this.times,
				System.nanoTime());
		this.open.put(call.call.id(), call);
		execute(call, call.machine.start());
	}

	private void feed(Open call, ClaimEvent event) {
		execute(call, call.machine.accept(event, System.nanoTime()));
	}

	private void feedLater(Open call, ClaimEvent event) {
		this.control.schedule(() -> feed(call, event));
	}

	private void execute(Open call, List<ClaimCommand> commands) {
		commands.forEach((command) -> execute(call, command));
		call.timer.dispose();
		if (!call.machine.finished() && call.machine.wakeAt() != Long.MAX_VALUE) {
			long wait = Math.max(0, call.machine.wakeAt() - System.nanoTime());
			call.timer = this.control.schedule(() -> feed(call, new ClaimEvent.TimerFired()), wait,
					TimeUnit.NANOSECONDS);
		}
	}

	private void execute(Open call, ClaimCommand command) {
		switch (command) {
			case ClaimCommand.Abort _ -> {
				call.permit.tryEmitError(ServiceFailure.notRun("given up before the first byte"));
				call.exchange.dispose();
			}
			case ClaimCommand.Connect connect -> connect(call, connect.attempt());
			case ClaimCommand.Finish _ -> {
				this.open.remove(call.call.id());
				this.count.decrementAndGet();
			}
			case ClaimCommand.Permit _ -> call.permit.tryEmitEmpty();
			case ClaimCommand.Read _ -> read(call);
			case ClaimCommand.Reply reply -> reply(call, reply.reply());
			case ClaimCommand.Report report -> Invariants.check(false, ServiceEvents.CLAIM_INVARIANT_BROKEN, "request",
					call.call.id(), "invariant", report.invariant());
			case ClaimCommand.Write write -> this.writer.write(call.key, write, (event) -> feed(call, event));
		}
	}

	private void read(Open call) {
		this.tables.read(ClaimWriter.TABLE, call.key)
			.publishOn(this.control)
			.subscribe((row) -> feed(call, row.map(this::rowRead).orElseGet(() -> rowAbsent())),
					(_) -> feed(call, new ClaimEvent.ReadFailed()));
	}

	private ClaimEvent rowRead(TableClient.Row row) {
		ClaimRow claim = ClaimCodec.read(row.value());
		return new ClaimEvent.RowRead(Optional.of(claim), row.version(), this.ledger.ended(claim, System.nanoTime()));
	}

	private static ClaimEvent rowAbsent() {
		return new ClaimEvent.RowRead(Optional.empty(), 0, false);
	}

	private void connect(Open call, int attempt) {
		boolean allowed = attempt == 1 || this.choice.spendRetry();
		Optional<ServiceServer> server = allowed ? this.choice.choose(call.call, call.tried, attempt)
				: Optional.empty();
		if (server.isEmpty()) {
			feedLater(call, new ClaimEvent.NotRun(attempt, false));
			return;
		}
		call.tried.add(server.get().vm());
		Sinks.Empty<Void> permit = Sinks.empty();
		call.permit = permit;
		Duration remaining = Duration.ofNanos(Math.max(1, call.sendBy - System.nanoTime()));
		Mono<Void> asked = Mono.defer(() -> {
			feedLater(call, new ClaimEvent.ReadyToSend(attempt));
			return permit.asMono();
		}).then(Mono.defer(() -> sendCheck(call)));
		call.exchange = this.choice
			.track(server.get(),
					this.client.sendOnce(server.get(), call.call, remaining, () -> asked, this.settings.answerLimit()))
			.publishOn(this.control)
			.subscribe((answer) -> feed(call, new ClaimEvent.ResponseReceived(attempt, outcome(call, answer))),
					(failure) -> failed(call, attempt, failure));
	}

	// The permission came from the control thread; the process may have been paused
	// between it and this connection's thread. Nothing is written yet, so giving up
	// here is not-run.
	private Mono<Void> sendCheck(Open call) {
		boolean late = System.nanoTime() - call.sendBy >= 0;
		return late ? Mono.error(ServiceFailure.notRun("the deadline passed before the first byte")) : Mono.empty();
	}

	private void failed(Open call, int attempt, Throwable failure) {
		boolean notRun = failure instanceof ServiceFailure known && known.verdict().equals(Verdict.notRun());
		EventLog.warn(ServiceEvents.SERVICE_ATTEMPT_FAILED, "request", call.call.id(), "attempt", attempt, "notRun",
				notRun, "cause", failure.getMessage());
		feed(call, notRun ? new ClaimEvent.NotRun(attempt, attempt <= this.settings.retriesPerCall())
				: new ClaimEvent.ConnectionBroken(attempt));
	}

	private ClaimOutcome outcome(Open call, ServiceAnswer answer) {
		call.answer = Optional.of(answer);
		return answer.body()
			.filter((body) -> body.length <= this.settings.outcomeLimit())
			.map((body) -> ClaimOutcome.of(answer.status(), answer.headers(), Base64.getEncoder().encodeToString(body)))
			.orElseGet(() -> ClaimOutcome.withoutBody(answer.status(), answer.headers()));
	}

	private void reply(Open call, ClaimReply reply) {
		if (reply instanceof ClaimReply.Ran ran && !ran.stored()) {
			EventLog.warn(ServiceEvents.CLAIM_OUTCOME_PENDING, "request", call.call.id());
		}
		EventLog.info(ServiceEvents.SERVICE_CALL_ANSWERED, "request", call.call.id(), "answer", describe(reply));
		call.reply.tryEmitValue(new ClaimedAnswer(reply, call.answer));
	}

	private static String describe(ClaimReply reply) {
		return switch (reply) {
			case ClaimReply.Failed failed -> failed.problem().code().code() + "/" + failed.problem().verdict().code();
			case ClaimReply.Ran ran -> "ran/" + ran.outcome().status();
			case ClaimReply.Repeated repeated -> "repeated/" + repeated.outcome().status();
		};
	}

	/**
	 * The final answer of a call.
	 *
	 * @param reply the answer
	 * @param direct the whole answer of the backend server, when the call ran now
	 */
	record ClaimedAnswer(ClaimReply reply, Optional<ServiceAnswer> direct) {
	}

	private final class Open {

		private final ServiceCall call;

		private final String key;

		private final long sendBy = System.nanoTime()
				+ TimeUnit.MILLISECONDS.toNanos(ClaimedCalls.this.times.sendMillis());

		private final Sinks.One<ClaimedAnswer> reply = Sinks.one();

		private final Set<VmId> tried = new HashSet<>();

		private ClaimMachine machine;

		private Disposable timer = () -> {
		};

		private Disposable exchange = () -> {
		};

		private Sinks.Empty<Void> permit = Sinks.empty();

		private Optional<ServiceAnswer> answer = Optional.empty();

		private Open(ServiceCall call, String key) {
			this.call = call;
			this.key = key;
		}

	}

}
