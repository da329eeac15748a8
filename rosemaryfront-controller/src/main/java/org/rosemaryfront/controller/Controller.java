package org.rosemaryfront.controller;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.IntSupplier;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;

import org.rosemaryfront.capacity.CapacityCommand;
import org.rosemaryfront.capacity.CapacityDecisions;
import org.rosemaryfront.capacity.CapacityEvent;
import org.rosemaryfront.capacity.CapacityStatus;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.lease.LeaseCommand;
import org.rosemaryfront.lease.LeaseEvent;
import org.rosemaryfront.lease.LeaseStateMachine;
import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.VmId;
import org.rosemaryfront.program.ControlLoop;

/**
 * Holds the lease or waits for it, and under it keeps the deployment as declared. All of
 * its state belongs to one control thread; answers of the platform and the engines are
 * posted to it.
 *
 * <pre>
 * try (Controller controller = Controller.start(parts, seed)) {
 *     controller.configurationApplied(configuration);
 * }
 * </pre>
 */
final class Controller implements AutoCloseable {

	private static final Duration TICK = Duration.ofMillis(100);

	/** The time between two runs of the capacity systems; they run over all VMs. */
	private static final Duration DECISIONS = Duration.ofMillis(250);

	/** The time a stop waits for orders under way and for the lease's last write. */
	private static final long STOP_MILLIS = 5_000;

	private static final long STOP_CHECK_MILLIS = 20;

	private final MetricRegistry metrics = new MetricRegistry();

	private final Timer tickTimer = this.metrics.timer("controller.tick");

	private final DecisionLog decisionLog = new DecisionLog();

	private final LeaseStateMachine lease;

	private final LeaseTable leaseTable;

	private final CapacityDecisions decisions;

	private final CapacityExecutor executor;

	private final IntSupplier controllers;

	private final ControlLoop loop;

	private long leadingFence;

	private boolean fenceAsked;

	private boolean stopping;

	private long nextDecisionNanos = System.nanoTime();

	private Controller(ControllerParts parts, long seed) {
		this.lease = LeaseStateMachine.of(parts.settings().vm(), parts.settings().lease().terms(), seed);
		this.leaseTable = LeaseTable.of(parts.tables());
		this.controllers = parts.controllers();
		this.decisions = CapacityDecisions.of(parts.settings().capacity().limits(), seed);
		this.executor = new CapacityExecutor(parts, this.lease, this.decisionLog, this::post, this::overtaken);
		this.metrics.gauge("lease.held", () -> () -> (this.leadingFence != 0) ? 1 : 0);
		this.metrics.gauge("lease.fence", () -> () -> this.leadingFence);
		this.loop = ControlLoop.start("control", TICK, this::tick);
	}

	// -- factories

	static Controller start(ControllerParts parts, long seed) {
		return new Controller(parts, seed);
	}

	// -- events

	void configurationApplied(Configuration configuration) {
		post(new CapacityEvent.ConfigurationApplied(configuration));
	}

	void leavingLearned(VmId vm) {
		post(new CapacityEvent.LeavingReported(vm));
	}

	private void post(CapacityEvent event) {
		this.loop.post((now) -> this.decisions.accept(event, now));
	}

	private void overtaken(long fence) {
		this.loop.post((_) -> {
			if (fence > this.lease.fence()) {
				EventLog.warn(ControllerEvents.FENCE_OVERTAKEN, "own", this.lease.fence(), "seen", fence);
				this.lease.observeFence(fence);
			}
		});
	}

	// -- queries

	MetricRegistry metrics() {
		return this.metrics;
	}

	CompletableFuture<Status> status() {
		CompletableFuture<Status> status = new CompletableFuture<>();
		this.loop.post((now) -> status.complete(new Status(this.lease.holder(), this.lease.fence(),
				this.lease.maySendOrders(now), Duration.ofNanos(this.lease.remainingNanos(now)).toMillis(),
				this.decisions.status(), this.decisionLog.last())));
		return status;
	}

	// -- control thread

	private void tick(long nowNanos) {
		this.lease.tick(nowNanos).forEach(this::execute);
		follow(nowNanos);
		if (nowNanos - this.nextDecisionNanos < 0) {
			return;
		}
		this.lease.setProcessCount(this.controllers.getAsInt());
		this.nextDecisionNanos = nowNanos + DECISIONS.toNanos();
		try (Timer.Context _ = this.tickTimer.time()) {
			for (CapacityCommand command : this.decisions.tick(nowNanos)) {
				this.metrics.counter("commands." + command.getClass().getSimpleName()).inc();
				this.executor.execute(command);
			}
		}
	}

	private void execute(LeaseCommand command) {
		this.leaseTable.execute(command).subscribe((event) -> this.loop.post((now) -> {
			if (event instanceof LeaseEvent.ReadFailed || event instanceof LeaseEvent.WriteUnknown) {
				EventLog.warn(ControllerEvents.LEASE_STORAGE_FAILED, "event", event);
			}
			this.lease.accept(event, now);
		}));
	}

	// Tells the decisions when the lease begins and ends.
	private void follow(long nowNanos) {
		boolean held = this.lease.maySendOrders(nowNanos) && !this.stopping;
		if (!held && this.leadingFence != 0) {
			EventLog.warn(ControllerEvents.LEASE_LOST, "fence", this.leadingFence, "holder", this.lease.holder());
			this.leadingFence = 0;
			this.decisions.accept(new CapacityEvent.LeaseLost(), nowNanos);
		}
		if (held && this.leadingFence != this.lease.fence() && !this.fenceAsked) {
			this.fenceAsked = true;
			long fence = this.lease.fence();
			this.leaseTable.fenceVersion(fence)
				.subscribe((version) -> this.loop.post((now) -> fenceRead(fence, version.orElse(0L), now)),
						(_) -> this.loop.post((_) -> this.fenceAsked = false));
		}
	}

	private void fenceRead(long fence, long version, long nowNanos) {
		this.fenceAsked = false;
		if (version == 0 || fence != this.lease.fence() || !this.lease.maySendOrders(nowNanos)) {
			return;
		}
		EventLog.info(ControllerEvents.LEASE_TAKEN, "fence", fence);
		this.leadingFence = fence;
		this.executor.fenceVersion(version);
		this.decisions.accept(new CapacityEvent.LeaseTaken(fence), nowNanos);
	}

	// -- stop

	/**
	 * Stops giving orders, waits for those under way and gives the lease back, so that a
	 * successor need not wait for its term.
	 */
	@Override
	public void close() {
		boolean released = stepUntil((now) -> {
			this.stopping = true;
			follow(now);
			return this.executor.changesUnderWay() == 0;
		}) && stepUntil((now) -> {
			this.lease.release(now);
			return true;
		}) && stepUntil((_) -> this.lease.isReleased());
		if (released) {
			EventLog.info(ControllerEvents.LEASE_RELEASED, "fence", this.lease.fence());
		}
		else {
			EventLog.warn(ControllerEvents.RELEASE_TIMED_OUT, "fence", this.lease.fence());
		}
		this.loop.close();
	}

	private boolean stepUntil(java.util.function.Predicate<Long> step) {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STOP_MILLIS);
		while (System.nanoTime() - end < 0) {
			CompletableFuture<Boolean> done = new CompletableFuture<>();
			this.loop.post((now) -> done.complete(step.test(now)));
			try {
				if (done.get(STOP_MILLIS, TimeUnit.MILLISECONDS)) {
					return true;
				}
				Thread.sleep(STOP_CHECK_MILLIS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return false;
			}
			catch (ExecutionException | TimeoutException ex) {
				return false;
			}
		}
		return false;
	}

	/**
	 * What the status page shows.
	 *
	 * @param holder the VM that holds the lease as far as is known
	 * @param fence the fencing number held now or last by this process
	 * @param held whether this process holds the lease
	 * @param remainingMillis how long it still holds, in milliseconds
	 * @param capacity what the capacity decisions know
	 * @param decisions the last decisions with their reasons
	 */
	record Status(String holder, long fence, boolean held, long remainingMillis, CapacityStatus capacity,
			List<String> decisions) {

		Map<String, Object> asMap() {
			return Map.of("lease", Map.of("holder", this.holder, "fence", this.fence, "held", this.held,
					"remainingMillis", this.remainingMillis), "capacity", this.capacity, "decisions", this.decisions);
		}

	}

}
