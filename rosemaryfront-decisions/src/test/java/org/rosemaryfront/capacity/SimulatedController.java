package org.rosemaryfront.capacity;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.rosemaryfront.capacity.FakeCloud.Machine;
import org.rosemaryfront.lease.LeaseCommand;
import org.rosemaryfront.lease.LeaseEvent;
import org.rosemaryfront.lease.LeaseStateMachine;
import org.rosemaryfront.lease.LeaseRow;
import org.rosemaryfront.lease.LeaseTiming;
import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.VmId;

/**
 * A controller process on virtual time: the lease and the decisions are the real ones,
 * and the driver between them and the fakes follows the program's.
 */
final class SimulatedController {

	private static final long TICK = 100 * VirtualWorld.MILLI;

	final String name;

	final LeaseStateMachine lease;

	final CapacityDecisions decisions;

	private final VirtualWorld world;

	private final FakeTables tables;

	private final FakeCloud cloud;

	private final CapacitySettings settings;

	/** How fast its clock runs, and from where. */
	private final double rate;

	private final long offset;

	private final java.util.ArrayDeque<Runnable> inbox = new java.util.ArrayDeque<>();

	private final java.util.ArrayDeque<CapacityCommand> decided = new java.util.ArrayDeque<>();

	boolean paused;

	boolean crashed;

	/**
	 * Called before each command, by its type; the fault matrix crashes and pauses here.
	 */
	java.util.function.Consumer<String> beforeCommand = (_) -> {
	};

	private long leadingFence;

	private boolean fenceAsked;

	private long fenceVersion;

	SimulatedController(String name, FakeCloud cloud, LeaseTiming terms, CapacitySettings settings, long seed) {
		this.name = name;
		this.cloud = cloud;
		this.world = cloud.world;
		this.tables = cloud.tables;
		this.settings = settings;
		this.rate = 1 + (this.world.random.nextDouble() - 0.5) / 500;
		this.offset = this.world.random.nextLong(1L << 40);
		this.lease = LeaseStateMachine.of(name, terms, seed);
		this.decisions = CapacityDecisions.of(settings, seed);
		this.world.after(this.world.random.nextLong(TICK), this::step);
	}

	long clock() {
		return this.offset + (long) (this.world.now * this.rate);
	}

	boolean mayOrder() {
		return !this.crashed && this.lease.maySendOrders(clock());
	}

	void configuration(Configuration configuration) {
		post(() -> this.decisions.accept(new CapacityEvent.ConfigurationApplied(configuration), clock()));
	}

	void leavingLearned(VmId vm) {
		answer(new CapacityEvent.LeavingLearned(vm));
	}

	void pause(long nanos) {
		this.paused = true;
		this.world.after(nanos, () -> this.paused = false);
	}

	// -- control thread

	private void step() {
		if (this.crashed) {
			return;
		}
		this.world.after(TICK, this::step);
		if (this.paused) {
			return;
		}
		// A process that was paused in the middle goes on with what it had decided.
		if (carryOut()) {
			while (!this.inbox.isEmpty()) {
				this.inbox.poll().run();
			}
			this.lease.tick(clock()).forEach(this::execute);
			follow();
			this.decided.addAll(this.decisions.tick(clock()));
			carryOut();
		}
	}

	private boolean carryOut() {
		while (!this.decided.isEmpty() && !this.paused && !this.crashed) {
			this.beforeCommand.accept(this.decided.peek().getClass().getSimpleName());
			if (!this.paused && !this.crashed) {
				execute(this.decided.poll());
			}
		}
		return this.decided.isEmpty();
	}

	private void post(Runnable event) {
		this.inbox.add(event);
	}

	private void answer(CapacityEvent event) {
		post(() -> this.decisions.accept(event, clock()));
	}

	private void follow() {
		boolean held = mayOrder();
		if (!held && this.leadingFence != 0) {
			this.leadingFence = 0;
			this.decisions.accept(new CapacityEvent.LeaseLost(), clock());
		}
		if (held && this.leadingFence != this.lease.fence() && !this.fenceAsked) {
			this.fenceAsked = true;
			long fence = this.lease.fence();
			this.world.call(() -> this.tables.down ? Optional.<FakeTables.Row>empty() : this.tables.read("lease/fence"),
					(row) -> post(() -> {
						this.fenceAsked = false;
						if (row.isPresent() && row.get().value().equals(fence) && fence == this.lease.fence()
								&& mayOrder()) {
							this.leadingFence = fence;
							this.fenceVersion = row.get().version();
							this.decisions.accept(new CapacityEvent.LeaseTaken(fence), clock());
						}
					}), () -> post(() -> this.fenceAsked = false));
		}
	}

	// -- lease

	private void execute(LeaseCommand command) {
		this.beforeCommand.accept(command.getClass().getSimpleName());
		switch (command) {
			case LeaseCommand.Read read ->
				this.world.call(() -> this.tables.down ? null : this.tables.read("lease/controller"),
						(row) -> lease((row != null)
								? new LeaseEvent.RowRead(read.number(), row.map((found) -> (LeaseRow) found.value()),
										row.map(FakeTables.Row::version).orElse(0L))
								: new LeaseEvent.ReadFailed(read.number())),
						() -> lease(new LeaseEvent.ReadFailed(read.number())));
			case LeaseCommand.Write write -> {
				String token = write.row().token();
				Map<String, Optional<Object>> writes = new HashMap<>();
				writes.put("lease/controller", Optional.of(write.row()));
				if (write.takeOver()) {
					writes.put("lease/fence", Optional.of(write.row().fence()));
				}
				this.world.call(() -> this.tables.commit(Map.of("lease/controller", write.version()), writes),
						(outcome) -> lease(outcome.committed() ? new LeaseEvent.WriteCommitted(token, outcome.version())
								: new LeaseEvent.WriteRejected(token)),
						() -> lease(new LeaseEvent.WriteUnknown(token)));
			}
		}
	}

	private void lease(LeaseEvent event) {
		post(() -> this.lease.accept(event, clock()));
	}

	// -- capacity

	private void execute(CapacityCommand command) {
		switch (command) {
			case CapacityCommand.Read read -> read(read);
			case CapacityCommand.ReadState read -> {
				long asked = clock();
				Machine machine = this.cloud.machines.get(read.vm().value());
				engine(read.vm(), asked, machine, machine::report);
			}
			case CapacityCommand.AnnounceLeaving leaving -> {
				Machine machine = this.cloud.machines.get(leaving.vm().value());
				machine.drainedAt = (machine.drainedAt != 0) ? machine.drainedAt : this.world.now;
				this.cloud.announced.accept(leaving.vm());
			}
			case CapacityCommand.WriteIntent write -> {
				String token = write.intent().token();
				if (withheld(new CapacityEvent.IntentFailed(token))) {
					return;
				}
				commit(token, Map.of("intents/" + token, 0L, "lease/fence", this.fenceVersion),
						Optional.of(write.intent()), new CapacityEvent.IntentWritten(token));
			}
			case CapacityCommand.DeleteIntent delete -> {
				if (withheld(new CapacityEvent.IntentFailed(delete.token()))) {
					return;
				}
				commit(delete.token(), Map.of("lease/fence", this.fenceVersion), Optional.empty(),
						new CapacityEvent.IntentDeleted(delete.token()));
			}
			case CapacityCommand.Buy buy -> buy(buy.intent());
			case CapacityCommand.Release release -> {
				if (withheld(new CapacityEvent.ReleaseFailed(release.vm()))) {
					return;
				}
				this.world.call(() -> {
					this.cloud.release(release.vm(), this.settings.drainMillis() * VirtualWorld.MILLI * 99 / 100);
					return true;
				}, (_) -> answer(new CapacityEvent.Released(release.vm())),
						() -> answer(new CapacityEvent.ReleaseFailed(release.vm())));
			}
			case CapacityCommand.Order order -> {
				if (withheld(new CapacityEvent.StateUnknown(order.vm()))) {
					return;
				}
				long fence = this.lease.fence();
				Machine machine = this.cloud.machines.get(order.vm().value());
				engine(order.vm(), clock(), machine, () -> machine.order(fence, order));
			}
		}
	}

	private void read(CapacityCommand.Read read) {
		long asked = clock();
		this.world.call(() -> (CapacityEvent) switch (read.source()) {
			case INTENTS ->
				this.tables.down ? new CapacityEvent.ReadFailed(read.source()) : new CapacityEvent.IntentsRead(
						this.tables.scan("intents/").values().stream().map((row) -> (Intent) row.value()).toList());
			case VMS -> new CapacityEvent.VmsRead(asked, this.cloud.vms());
			case OFFERS -> new CapacityEvent.OffersRead(this.cloud.offers());
			case NOTICES -> {
				Map<VmId, Long> remaining = new HashMap<>();
				List<VmId> all = this.cloud.notices;
				all.subList((int) read.after(), all.size()).forEach((vm) -> remaining.put(vm, 1L));
				yield new CapacityEvent.NoticesRead(all.size(), remaining);
			}
		}, this::answer, () -> answer(new CapacityEvent.ReadFailed(read.source())));
	}

	private void engine(VmId vm, long asked, Machine machine, java.util.function.Supplier<ServerState> effect) {
		this.world.call(() -> machine.answers() ? effect.get() : null, (state) -> {
			if (state == null) {
				answer(new CapacityEvent.StateUnknown(vm));
				return;
			}
			post(() -> {
				if (state.fence() > this.lease.fence()) {
					this.lease.observeFence(state.fence());
				}
			});
			answer(new CapacityEvent.StateRead(vm, asked, state));
		}, () -> answer(new CapacityEvent.StateUnknown(vm)));
	}

	private void commit(String token, Map<String, Long> conditions, Optional<Object> value, CapacityEvent done) {
		long fence = this.lease.fence();
		this.world.call(() -> this.tables.commit(conditions, Map.of("intents/" + token, value)), (outcome) -> {
			if (outcome.fenced()) {
				post(() -> this.lease.observeFence(fence + 1));
			}
			answer((outcome.refused() || outcome.fenced()) ? new CapacityEvent.IntentFailed(token) : done);
		}, () -> answer(new CapacityEvent.IntentFailed(token)));
	}

	private void buy(Intent intent) {
		String token = intent.token();
		if (withheld(new CapacityEvent.BuyUnknown(token))) {
			return;
		}
		this.world.call(() -> {
			this.cloud.intentStood(token);
			return this.cloud.buy(intent);
		}, (vm) -> answer(vm.<CapacityEvent>map((sold) -> new CapacityEvent.Bought(token, sold))
			.orElse(new CapacityEvent.BuyRefused(token))), () -> answer(new CapacityEvent.BuyUnknown(token)));
	}

	private boolean withheld(CapacityEvent instead) {
		if (!mayOrder()) {
			answer(instead);
			return true;
		}
		this.cloud.changeSent(this);
		return false;
	}

}
