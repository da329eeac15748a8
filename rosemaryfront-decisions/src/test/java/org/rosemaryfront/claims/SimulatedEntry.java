package org.rosemaryfront.claims;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Entry process on virtual time that can be paused and can crash. */
final class SimulatedEntry {

	private final String vm;

	private final SimulatedTime time;

	private final SimulatedStore store;

	private final Random random;

	private final ClaimTimes times;

	private final long clockOffset;

	private final ClaimHolderTracker ledger;

	private final Map<String, OpenCall> openCalls = new HashMap<>();

	private final Set<String> violations;

	private long pausedUntil;

	private boolean crashed;

	private double backendFaultRate;

	SimulatedEntry(String vm, SimulatedTime time, SimulatedStore store, Random random, ClaimTimes times,
			Set<String> terminatedVms, Set<String> violations) {
		this.vm = vm;
		this.time = time;
		this.store = store;
		this.random = random;
		this.times = times;
		this.violations = violations;
		this.clockOffset = random.nextLong(1L << 50) - (1L << 49);
		this.ledger = ClaimHolderTracker.of((held) -> terminatedVms.contains(held.vm())
				|| held.vm().equals(this.vm) && !this.openCalls.containsKey(held.token()));
	}

	void backendFaultRate(double share) {
		this.backendFaultRate = share;
	}

	void crash() {
		this.crashed = true;
		this.openCalls.values().forEach((call) -> {
			call.request.entryCrashed = true;
			call.request.mayHaveRun = true;
		});
	}

	void pause(long millis) {
		this.pausedUntil = Math.max(this.pausedUntil, this.time.now() + TimeUnit.MILLISECONDS.toNanos(millis));
		this.openCalls.values().forEach((call) -> call.request.entryPaused = true);
	}

	void request(SimulatedRequest request) {
		deliver(() -> {
			request.arrived = this.time.now();
			OpenCall call = new OpenCall(request,
					ClaimMachine.of(request.token, this.vm, request.fingerprint, this.times, clock()));
			this.openCalls.put(request.token, call);
			execute(call, call.machine.start());
		});
	}

	String vm() {
		return this.vm;
	}

	private long clock() {
		return this.time.now() + this.clockOffset;
	}

	private void deliver(Runnable work) {
		if (this.crashed) {
			return;
		}
		if (this.time.now() < this.pausedUntil) {
			this.time.at(this.pausedUntil, () -> deliver(work));
			return;
		}
		work.run();
	}

	private void feed(OpenCall call, ClaimEvent event) {
		deliver(() -> execute(call, call.machine.accept(event, clock())));
	}

	private void execute(OpenCall call, List<ClaimCommand> commands) {
		commands.forEach((command) -> execute(call, command));
		if (!call.machine.finished() && call.machine.wakeAt() != Long.MAX_VALUE) {
			long at = call.machine.wakeAt() - this.clockOffset;
			if (at != call.wake) {
				call.wake = at;
				this.time.at(at, () -> wake(call, at));
			}
		}
	}

	private void wake(OpenCall call, long at) {
		if (call.wake == at) {
			call.wake = Long.MIN_VALUE;
			feed(call, new ClaimEvent.TimerFired());
		}
	}

	private void execute(OpenCall call, ClaimCommand command) {
		switch (command) {
			case ClaimCommand.Abort abort -> call.aborted.add(abort.attempt());
			case ClaimCommand.Connect connect -> connect(call, connect.attempt());
			case ClaimCommand.Finish _ -> this.openCalls.remove(call.request.token);
			case ClaimCommand.Permit permit -> send(call, permit.attempt());
			case ClaimCommand.Read _ ->
				this.store.read(call.request.key,
						(row) -> deliver(() -> execute(call,
								call.machine.accept(new ClaimEvent.RowRead(row.map(SimulatedStore.Versioned::row),
										row.map(SimulatedStore.Versioned::version).orElse(0L),
										row.map((found) -> this.ledger.ended(found.row(), clock())).orElse(false)),
										clock()))),
						() -> feed(call, new ClaimEvent.ReadFailed()));
			case ClaimCommand.Reply reply -> reply(call, reply.reply());
			case ClaimCommand.Report report -> this.violations.add(report.invariant() + ": " + call.request);
			case ClaimCommand.Write write -> this.store.commit(call.request.key, write, (event) -> feed(call, event));
		}
	}

	private void reply(OpenCall call, ClaimReply reply) {
		call.request.replies.add(reply);
		call.request.repliedAt = java.util.OptionalLong.of(this.time.now());
	}

	private void connect(OpenCall call, int attempt) {
		boolean fails = this.random.nextDouble() < this.backendFaultRate;
		ClaimEvent event = fails ? new ClaimEvent.NotRun(attempt, this.random.nextBoolean())
				: new ClaimEvent.ReadyToSend(attempt);
		this.time.after(this.random.nextInt(fails ? 300 : 20), () -> feedAttempt(call, attempt, event));
	}

	private void feedAttempt(OpenCall call, int attempt, ClaimEvent event) {
		// The response of an aborted attempt can still arrive.
		if (!call.aborted.contains(attempt) || this.random.nextInt(3) == 0) {
			feed(call, event);
		}
	}

	private void send(OpenCall call, int attempt) {
		SimulatedRequest request = call.request;
		request.sends.add(this.time.now());
		boolean faulty = this.random.nextDouble() < this.backendFaultRate;
		switch (faulty ? this.random.nextInt(5) : 5) {
			case 0 -> this.time.after(10,
					() -> feedAttempt(call, attempt, new ClaimEvent.NotRun(attempt, this.random.nextBoolean())));
			case 1 -> request.mayHaveRun = true;
			case 2 -> {
				request.mayHaveRun = true;
				run(request);
			}
			case 3 -> {
				request.mayHaveRun = true;
				this.time.after(50, () -> feedAttempt(call, attempt, new ClaimEvent.ConnectionBroken(attempt)));
			}
			case 4 -> {
				request.mayHaveRun = true;
				run(request);
				this.time.after(50, () -> feedAttempt(call, attempt, new ClaimEvent.ConnectionBroken(attempt)));
			}
			default -> {
				ClaimOutcome outcome = run(request);
				this.time.after(5 + this.random.nextInt(200),
						() -> feedAttempt(call, attempt, new ClaimEvent.ResponseReceived(attempt, outcome)));
			}
		}
	}

	private ClaimOutcome run(SimulatedRequest request) {
		request.runs++;
		return ClaimOutcome.of(201, new TreeMap<>(), request.token + "/" + request.fingerprint);
	}

	private static final class OpenCall {

		private final SimulatedRequest request;

		private final ClaimMachine machine;

		private final Set<Integer> aborted = new HashSet<>();

		private long wake = Long.MIN_VALUE;

		private OpenCall(SimulatedRequest request, ClaimMachine machine) {
			this.request = request;
			this.machine = machine;
		}

	}

}
