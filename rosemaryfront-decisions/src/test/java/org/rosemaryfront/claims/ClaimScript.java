package org.rosemaryfront.claims;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Runs one request and then its repeat at another entry process, with a fault that begins
 * at a given step of the first request.
 */
final class ClaimScript {

	private static final ClaimTimes TIMES = new ClaimTimes(2_000, 400, 1_600, 1_500, 50, 20);

	private static final long PAUSE_NANOS = TimeUnit.SECONDS.toNanos(60);

	private static final int MAX_WAKE_UPS = 400;

	private final Fault fault;

	private final Step step;

	private final Deque<ClaimEvent> events = new ArrayDeque<>();

	private Optional<ClaimRow> row = Optional.empty();

	private long version;

	private long now;

	private int runs;

	private boolean faultStarted;

	private boolean entryDead;

	private boolean faultEnded;

	private String reply = "none";

	ClaimScript(Fault fault, Step step) {
		this.fault = fault;
		this.step = step;
	}

	/**
	 * Runs the request and its repeat.
	 * @return the response, the response to the repeat and the number of times that the
	 * call ran
	 */
	List<String> run() {
		reach(Step.BEFORE_CLAIM);
		if (!this.entryDead) {
			runRequest("first");
		}
		String first = this.reply;
		this.faultEnded = true;
		this.entryDead = false;
		this.reply = "none";
		this.now += PAUSE_NANOS;
		runRequest("repeat");
		return List.of(first, this.reply, Integer.toString(this.runs));
	}

	private void runRequest(String token) {
		this.events.clear();
		ClaimMachine machine = ClaimMachine.of(token, "vm-" + token, "call", TIMES, this.now);
		execute(machine.start());
		for (int wakeUps = 0; wakeUps < MAX_WAKE_UPS && !machine.finished() && !this.entryDead; wakeUps++) {
			if (this.events.isEmpty()) {
				this.now = Math.max(this.now, machine.wakeAt());
				this.faultEnded |= machine.answered() && wakeUps > MAX_WAKE_UPS / 2;
			}
			ClaimEvent event = this.events.isEmpty() ? new ClaimEvent.TimerFired() : this.events.poll();
			execute(machine.accept(event, this.now));
		}
	}

	private void execute(List<ClaimCommand> commands) {
		for (ClaimCommand command : commands) {
			if (!this.entryDead) {
				execute(command);
			}
		}
	}

	private void execute(ClaimCommand command) {
		switch (command) {
			case ClaimCommand.Connect connect -> {
				reach(Step.CLAIMED);
				boolean refused = active(Fault.NO_CONNECTION);
				this.events.add(refused ? new ClaimEvent.NotRun(connect.attempt(), false)
						: new ClaimEvent.ReadyToSend(connect.attempt()));
				reach(Step.SENDING);
			}
			case ClaimCommand.Permit permit -> send(permit.attempt());
			case ClaimCommand.Read _ -> this.events
				.add(storeFails() ? new ClaimEvent.ReadFailed() : new ClaimEvent.RowRead(this.row, this.version, true));
			case ClaimCommand.Reply answer -> {
				this.reply = describe(answer.reply());
				reach(Step.ANSWERED_TO_CALLER);
			}
			case ClaimCommand.Report report -> throw new IllegalStateException(report.invariant());
			case ClaimCommand.Write write -> write(write);
			case ClaimCommand.Abort _, ClaimCommand.Finish _ -> {
			}
		}
	}

	private void send(int attempt) {
		reach(Step.SENT);
		if (active(Fault.SERVICE_REFUSES)) {
			this.events.add(new ClaimEvent.NotRun(attempt, false));
			return;
		}
		this.runs++;
		if (active(Fault.SERVICE_BREAKS)) {
			this.events.add(new ClaimEvent.ConnectionBroken(attempt));
		}
		else if (!active(Fault.SERVICE_SILENT)) {
			this.events.add(new ClaimEvent.ResponseReceived(attempt, ClaimOutcome.of(201, new TreeMap<>(), "booked")));
			reach(Step.ANSWERED);
		}
	}

	private void write(ClaimCommand.Write write) {
		if (active(Fault.STORE_DOWN)) {
			this.events.add(new ClaimEvent.WriteRefused());
			return;
		}
		ClaimEvent applied = apply(write);
		reach((write.row() instanceof ClaimRow.Held) ? Step.CLAIM_IN_FLIGHT : Step.OUTCOME_IN_FLIGHT);
		this.events.add(active(Fault.STORE_LOSES_ANSWERS) ? new ClaimEvent.WriteUncertain() : applied);
	}

	private ClaimEvent apply(ClaimCommand.Write write) {
		if (write.version() != this.version) {
			return new ClaimEvent.WriteConflicted();
		}
		this.row = Optional.of(write.row());
		this.version++;
		return new ClaimEvent.Written(this.version);
	}

	private void reach(Step reached) {
		if (reached != this.step || this.faultStarted) {
			return;
		}
		this.faultStarted = true;
		if (this.fault == Fault.ENTRY_DIES) {
			this.entryDead = true;
		}
		if (this.fault == Fault.ENTRY_PAUSES) {
			this.now += PAUSE_NANOS;
		}
	}

	private boolean storeFails() {
		return active(Fault.STORE_DOWN) || active(Fault.STORE_LOSES_ANSWERS);
	}

	private boolean active(Fault expected) {
		return this.fault == expected && this.faultStarted && !this.faultEnded;
	}

	private static String describe(ClaimReply reply) {
		return switch (reply) {
			case ClaimReply.Failed failed -> failed.problem().verdict().code();
			case ClaimReply.Ran _ -> "ran";
			case ClaimReply.Repeated _ -> "repeated";
		};
	}

	enum Fault {

		ENTRY_DIES, ENTRY_PAUSES, NO_CONNECTION, SERVICE_BREAKS, SERVICE_REFUSES, SERVICE_SILENT, STORE_DOWN,
		STORE_LOSES_ANSWERS

	}

	enum Step {

		BEFORE_CLAIM, CLAIM_IN_FLIGHT, CLAIMED, SENDING, SENT, ANSWERED, OUTCOME_IN_FLIGHT, ANSWERED_TO_CALLER

	}

}
