package org.rosemaryfront.capacity;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.rosemaryfront.capacity.FakeCloud.Machine;
import org.rosemaryfront.lease.LeaseCommand;
import org.rosemaryfront.lease.LeaseEvent;
import org.rosemaryfront.lease.LeaseRow;
import org.rosemaryfront.lease.LeaseStateMachine;
import org.rosemaryfront.lease.LeaseTiming;
import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.VmId;

/**
 * A controller process on virtual time. The lease and the decisions are the production
 * classes, and the driver between them and the fakes follows that of the production
 * program.
 */
final class SimulatedController {

	private static final long TICK_NANOS = 100 * Simulation.MILLI;

	final String name;

	final LeaseStateMachine lease;

	final CapacityDecisions decisions;

	private final Simulation simulation;

	private final FakeTables tables;

	private final FakeCloud cloud;

	private final CapacitySettings settings;

	/** The rate of its clock relative to virtual time. */
	private final double clockRate;

	private final long clockOffset;

	private final java.util.ArrayDeque<Runnable> pendingEvents = new java.util.ArrayDeque<>();

	private final java.util.ArrayDeque<CapacityCommand> pendingCommands = new java.util.ArrayDeque<>();

	boolean paused;

	boolean crashed;

	/**
	 * Called before each command with the command's type name; the fault tests inject
	 * crashes and pauses here.
	 */
	java.util.function.Consumer<String> beforeCommand = (_) -> {
	};

	private long reportedFence;

	private boolean fenceReadPending;

	private long fenceVersion;

	SimulatedController(String name, FakeCloud cloud, LeaseTiming terms, CapacitySettings settings, long seed) {
		this.name = name;
		this.cloud = cloud;
		this.simulation = cloud.simulation;
		this.tables = cloud.tables;
		this.settings = settings;
		this.clockRate = 1 + (this.simulation.random.nextDouble() - 0.5) / 500;
		this.clockOffset = this.simulation.random.nextLong(1L << 40);
		this.lease = LeaseStateMachine.of(name, terms, seed);
		this.decisions = CapacityDecisions.of(settings, seed);
		this.simulation.after(this.simulation.random.nextLong(TICK_NANOS), this::runTick);
	}

	long clock() {
		return this.clockOffset + (long) (this.simulation.now * this.clockRate);
	}

	boolean mayOrder() {
		return !this.crashed && this.lease.maySendOrders(clock());
	}

	void applyConfiguration(Configuration configuration) {
		post(() -> this.decisions.accept(new CapacityEvent.ConfigurationApplied(configuration), clock()));
	}

	void reportLeaving(VmId vm) {
		postEvent(new CapacityEvent.LeavingReported(vm));
	}

	void pause(long nanos) {
		this.paused = true;
		this.simulation.after(nanos, () -> this.paused = false);
	}

	// -- control thread

	private void runTick() {
		if (this.crashed) {
			return;
		}
		this.simulation.after(TICK_NANOS, this::runTick);
		if (this.paused) {
			return;
		}
		// After a pause the process continues with the commands it had already decided.
		if (executePending()) {
			while (!this.pendingEvents.isEmpty()) {
				this.pendingEvents.poll().run();
			}
			this.lease.tick(clock()).forEach(this::execute);
			followLease();
			this.pendingCommands.addAll(this.decisions.tick(clock()));
			executePending();
		}
	}

	private boolean executePending() {
		while (!this.pendingCommands.isEmpty() && !this.paused && !this.crashed) {
			this.beforeCommand.accept(this.pendingCommands.peek().getClass().getSimpleName());
			if (!this.paused && !this.crashed) {
				execute(this.pendingCommands.poll());
			}
		}
		return this.pendingCommands.isEmpty();
	}

	private void post(Runnable event) {
		this.pendingEvents.add(event);
	}

	private void postEvent(CapacityEvent event) {
		post(() -> this.decisions.accept(event, clock()));
	}

	private void followLease() {
		boolean leaseHeld = mayOrder();
		if (!leaseHeld && this.reportedFence != 0) {
			this.reportedFence = 0;
			this.decisions.accept(new CapacityEvent.LeaseLost(), clock());
		}
		if (leaseHeld && this.reportedFence != this.lease.fence() && !this.fenceReadPending) {
			this.fenceReadPending = true;
			long fence = this.lease.fence();
			this.simulation.call(
					() -> this.tables.unavailable ? Optional.<FakeTables.Row>empty() : this.tables.read("lease/fence"),
					(row) -> post(() -> {
						this.fenceReadPending = false;
						if (row.isPresent() && row.get().value().equals(fence) && fence == this.lease.fence()
								&& mayOrder()) {
							this.reportedFence = fence;
							this.fenceVersion = row.get().version();
							this.decisions.accept(new CapacityEvent.LeaseTaken(fence), clock());
						}
					}), () -> post(() -> this.fenceReadPending = false));
		}
	}

	// -- lease

	private void execute(LeaseCommand command) {
		this.beforeCommand.accept(command.getClass().getSimpleName());
		switch (command) {
			case LeaseCommand.Read read ->
				this.simulation.call(() -> this.tables.unavailable ? null : this.tables.read("lease/controller"),
						(row) -> postLeaseEvent((row != null)
								? new LeaseEvent.RowRead(read.number(), row.map((found) -> (LeaseRow) found.value()),
										row.map(FakeTables.Row::version).orElse(0L))
								: new LeaseEvent.ReadFailed(read.number())),
						() -> postLeaseEvent(new LeaseEvent.ReadFailed(read.number())));
			case LeaseCommand.Write write -> {
				String token = write.row().token();
				Map<String, Optional<Object>> writes = new HashMap<>();
				writes.put("lease/controller", Optional.of(write.row()));
				if (write.takeOver()) {
					writes.put("lease/fence", Optional.of(write.row().fence()));
				}
				this.simulation.call(() -> this.tables.commit(Map.of("lease/controller", write.version()), writes),
						(outcome) -> postLeaseEvent(
								outcome.committed() ? new LeaseEvent.WriteCommitted(token, outcome.version())
										: new LeaseEvent.WriteRejected(token)),
						() -> postLeaseEvent(new LeaseEvent.WriteUnknown(token)));
			}
		}
	}

	private void postLeaseEvent(LeaseEvent event) {
		post(() -> this.lease.accept(event, clock()));
	}

	// -- capacity

	private void execute(CapacityCommand command) {
		switch (command) {
			case CapacityCommand.Read read -> read(read);
			case CapacityCommand.ReadState read -> {
				long requestedNanos = clock();
				Machine machine = this.cloud.machines.get(read.vm().value());
				callEngine(read.vm(), requestedNanos, machine, machine::report);
			}
			case CapacityCommand.AnnounceLeaving leaving -> {
				Machine machine = this.cloud.machines.get(leaving.vm().value());
				machine.drainStartNanos = (machine.drainStartNanos != 0) ? machine.drainStartNanos
						: this.simulation.now;
				this.cloud.leavingListener.accept(leaving.vm());
			}
			case CapacityCommand.WriteIntent write -> {
				String token = write.intent().token();
				if (rejectWithoutLease(new CapacityEvent.IntentFailed(token))) {
					return;
				}
				commit(token, Map.of("intents/" + token, 0L, "lease/fence", this.fenceVersion),
						Optional.of(write.intent()), new CapacityEvent.IntentWritten(token));
			}
			case CapacityCommand.DeleteIntent delete -> {
				if (rejectWithoutLease(new CapacityEvent.IntentFailed(delete.token()))) {
					return;
				}
				commit(delete.token(), Map.of("lease/fence", this.fenceVersion), Optional.empty(),
						new CapacityEvent.IntentDeleted(delete.token()));
			}
			case CapacityCommand.Buy buy -> buy(buy.intent());
			case CapacityCommand.Release release -> {
				if (rejectWithoutLease(new CapacityEvent.ReleaseFailed(release.vm()))) {
					return;
				}
				this.simulation.call(() -> {
					this.cloud.release(release.vm(), this.settings.drainMillis() * Simulation.MILLI * 99 / 100);
					return true;
				}, (_) -> postEvent(new CapacityEvent.Released(release.vm())),
						() -> postEvent(new CapacityEvent.ReleaseFailed(release.vm())));
			}
			case CapacityCommand.Order order -> {
				if (rejectWithoutLease(new CapacityEvent.StateUnknown(order.vm()))) {
					return;
				}
				long fence = this.lease.fence();
				Machine machine = this.cloud.machines.get(order.vm().value());
				callEngine(order.vm(), clock(), machine, () -> machine.order(fence, order));
			}
		}
	}

	private void read(CapacityCommand.Read read) {
		long requestedNanos = clock();
		this.simulation.call(() -> (CapacityEvent) switch (read.source()) {
			case INTENTS ->
				this.tables.unavailable ? new CapacityEvent.ReadFailed(read.source()) : new CapacityEvent.IntentsRead(
						this.tables.scan("intents/").values().stream().map((row) -> (Intent) row.value()).toList());
			case VMS -> new CapacityEvent.VmsRead(requestedNanos, this.cloud.vms());
			case OFFERS -> new CapacityEvent.OffersRead(this.cloud.offers());
			case NOTICES -> {
				Map<VmId, Long> remaining = new HashMap<>();
				List<VmId> all = this.cloud.notices;
				all.subList((int) read.afterNotice(), all.size()).forEach((vm) -> remaining.put(vm, 1L));
				yield new CapacityEvent.NoticesRead(all.size(), remaining);
			}
		}, this::postEvent, () -> postEvent(new CapacityEvent.ReadFailed(read.source())));
	}

	private void callEngine(VmId vm, long requestedNanos, Machine machine,
			java.util.function.Supplier<ServerState> effect) {
		this.simulation.call(() -> machine.isResponsive() ? effect.get() : null, (state) -> {
			if (state == null) {
				postEvent(new CapacityEvent.StateUnknown(vm));
				return;
			}
			post(() -> {
				if (state.fence() > this.lease.fence()) {
					this.lease.observeFence(state.fence());
				}
			});
			postEvent(new CapacityEvent.StateRead(vm, requestedNanos, state));
		}, () -> postEvent(new CapacityEvent.StateUnknown(vm)));
	}

	private void commit(String token, Map<String, Long> conditions, Optional<Object> value, CapacityEvent success) {
		long fence = this.lease.fence();
		this.simulation.call(() -> this.tables.commit(conditions, Map.of("intents/" + token, value)), (outcome) -> {
			if (outcome.fenced()) {
				post(() -> this.lease.observeFence(fence + 1));
			}
			postEvent((outcome.unavailable() || outcome.fenced()) ? new CapacityEvent.IntentFailed(token) : success);
		}, () -> postEvent(new CapacityEvent.IntentFailed(token)));
	}

	private void buy(Intent intent) {
		String token = intent.token();
		if (rejectWithoutLease(new CapacityEvent.BuyOutcomeUnknown(token))) {
			return;
		}
		this.simulation.call(() -> {
			this.cloud.checkIntentWritten(token);
			return this.cloud.buy(intent);
		}, (vm) -> postEvent(vm.<CapacityEvent>map((sold) -> new CapacityEvent.Bought(token, sold))
			.orElse(new CapacityEvent.BuyRefused(token))), () -> postEvent(new CapacityEvent.BuyOutcomeUnknown(token)));
	}

	private boolean rejectWithoutLease(CapacityEvent failure) {
		if (!mayOrder()) {
			postEvent(failure);
			return true;
		}
		this.cloud.checkSoleLeaseHolder(this);
		return false;
	}

}
