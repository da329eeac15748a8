package org.rosemaryfront.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.rosemaryfront.capacity.CapacityCommand.Source;
import org.rosemaryfront.capacity.CloudVm.State;
import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.Resource;
import org.rosemaryfront.model.VmId;

/**
 * Decides which VMs a deployment has and what its engines load. Deterministic: it
 * performs no input or output, and the time and the random seed are passed in. Only the
 * control thread may use it. Times are on the monotonic clock, in nanoseconds.
 *
 * <pre>
 * decisions.accept(new CapacityEvent.LeaseTaken(fence), now);
 * decisions.tick(now).forEach(driver::execute);
 * </pre>
 */
public final class CapacityDecisions {

	private final CapacityTables tables;

	private CapacityDecisions(CapacityTables tables) {
		this.tables = tables;
	}

	/**
	 * Creates decisions that have no state yet.
	 * @param settings the limits
	 * @param seed the random seed of the jitter
	 * @return the decisions
	 */
	public static CapacityDecisions of(CapacitySettings settings, long seed) {
		return new CapacityDecisions(new CapacityTables(Objects.requireNonNull(settings, "settings is null"), seed));
	}

	/**
	 * Returns the current status of pools, VMs and purchases.
	 * @return the status
	 */
	public CapacityStatus status() {
		this.tables.groupByPool();
		return new CapacityStatus(this.tables.isSynchronised(),
				this.tables.pools.values()
					.stream()
					.map((row) -> new CapacityStatus.PoolStatus(row.pool.name(), row.target, row.plan.total(),
							row.plan.survives(), (int) row.vms.stream().filter(row::isReady).count()))
					.toList(),
				this.tables.vms.values().stream().map(CapacityDecisions::status).toList(),
				this.tables.intents.values().stream().map((row) -> row.intent).toList());
	}

	private static CapacityStatus.VmStatus status(VmRow row) {
		return new CapacityStatus.VmStatus(row.vm, row.draining, row.drainReason,
				row.actualState.map(ServerState::models).orElse(List.of()),
				row.actualState.map(ServerState::running).orElse(0));
	}

	/**
	 * Runs all systems at the given time.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the commands for the platform and the engines, in order; empty without the
	 * lease
	 */
	public List<CapacityCommand> tick(long nowNanos) {
		List<CapacityCommand> commands = new ArrayList<>();
		if (!this.tables.leaseHeld) {
			return commands;
		}
		PollSystem.run(this.tables, nowNanos, commands);
		this.tables.groupByPool();
		if (this.tables.isSynchronised()) {
			PoolSizeSystem.run(this.tables, nowNanos);
			PlacementSystem.run(this.tables, nowNanos);
			PurchaseSystem.run(this.tables, nowNanos, commands);
			DrainSystem.run(this.tables, nowNanos, commands);
			OrderSystem.run(this.tables, nowNanos, commands);
		}
		PollSystem.readEngines(this.tables, nowNanos, commands);
		return commands;
	}

	/**
	 * Applies an event to the tables.
	 * @param event the event
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void accept(CapacityEvent event, long nowNanos) {
		switch (event) {
			case CapacityEvent.LeaseTaken taken -> leaseTaken(taken.fence(), nowNanos);
			case CapacityEvent.LeaseLost _ -> this.tables.leaseHeld = false;
			case CapacityEvent.ConfigurationApplied applied -> configurationApplied(applied.configuration(), nowNanos);
			case CapacityEvent.OffersRead read -> offersRead(read.offers(), nowNanos);
			case CapacityEvent.VmsRead read -> vmsRead(read, nowNanos);
			case CapacityEvent.NoticesRead read -> noticesRead(read, nowNanos);
			case CapacityEvent.LeavingReported reported -> {
				this.tables.markLeaving(reported.vm());
				find(reported.vm()).ifPresent((row) -> row.startDrain(nowNanos, "said-to-be-leaving"));
			}
			case CapacityEvent.ReadFailed failed ->
				PollSystem.readCompleted(this.tables, failed.source(), false, nowNanos);
			case CapacityEvent.IntentsRead read -> intentsRead(read.intents(), nowNanos);
			case CapacityEvent.IntentWritten written -> PurchaseSystem.intentWritten(this.tables, written.token());
			case CapacityEvent.IntentFailed failed -> PurchaseSystem.retry(this.tables, failed.token(), nowNanos);
			case CapacityEvent.IntentDeleted deleted -> this.tables.intents.remove(deleted.token());
			case CapacityEvent.Bought bought ->
				PurchaseSystem.bought(this.tables, bought.token(), bought.vm(), nowNanos);
			case CapacityEvent.BuyRefused refused -> PurchaseSystem.refused(this.tables, refused.token(), nowNanos);
			case CapacityEvent.BuyOutcomeUnknown unknown ->
				PurchaseSystem.retry(this.tables, unknown.token(), nowNanos);
			case CapacityEvent.Released released -> this.tables.vms.remove(released.vm());
			case CapacityEvent.ReleaseFailed failed -> find(failed.vm()).ifPresent((row) -> {
				row.releasePending = false;
				row.nextReleaseNanos = nowNanos + this.tables.jittered(this.tables.settings.backOffMillis());
			});
			case CapacityEvent.StateRead read -> find(read.vm()).ifPresent((row) -> stateRead(row, read, nowNanos));
			case CapacityEvent.StateUnknown unknown -> find(unknown.vm()).ifPresent((row) -> {
				row.requestPending = false;
				row.unresponsiveSinceNanos = OptionalLong.of(row.unresponsiveSinceNanos.orElse(nowNanos));
				row.nextReadNanos = nowNanos + this.tables.jittered(this.tables.settings.pollMillis());
			});
		}
	}

	private Optional<VmRow> find(VmId vm) {
		return Optional.ofNullable(this.tables.vms.get(vm));
	}

	private void leaseTaken(long fence, long nowNanos) {
		this.tables.leaseHeld = true;
		this.tables.fence = fence;
		this.tables.leaseTakenNanos = nowNanos;
		this.tables.intents.clear();
		this.tables.vms.clear();
		this.tables.sources.values().forEach(SourceRow::reset);
	}

	private void configurationApplied(Configuration configuration, long nowNanos) {
		this.tables.configuration = configuration;
		Set<String> names = new HashSet<>();
		configuration.all(Resource.Pool.class).forEach((pool) -> {
			names.add(pool.name());
			this.tables.pools.computeIfAbsent(pool.name(), (_) -> new PoolRow(pool, nowNanos)).pool = pool;
		});
		this.tables.pools.keySet().retainAll(names);
	}

	private void offersRead(List<Offer> offers, long nowNanos) {
		Set<OfferKey> keys = new HashSet<>();
		for (Offer offer : offers) {
			keys.add(offer.key());
			this.tables.offers.computeIfAbsent(offer.key(), (_) -> new OfferRow(offer)).offer = offer;
		}
		this.tables.offers.keySet().retainAll(keys);
		PollSystem.readCompleted(this.tables, Source.OFFERS, true, nowNanos);
	}

	private void vmsRead(CapacityEvent.VmsRead read, long nowNanos) {
		Map<VmId, CloudVm> listed = new HashMap<>();
		for (CloudVm vm : read.vms()) {
			if (vm.state() == State.GONE) {
				continue;
			}
			listed.put(vm.id(), vm);
			VmRow row = this.tables.findOrAdd(vm, nowNanos);
			// A reclaim notice is final: a list made before it must not set the VM back
			// to running.
			boolean outdated = row.vm.state() == State.RECLAIMING && vm.state() == State.RUNNING;
			row.vm = outdated ? row.vm : vm;
			IntentRow intent = this.tables.intents.get(vm.token());
			if (intent != null && intent.isOpen()) {
				PurchaseSystem.bought(this.tables, vm.token(), vm, nowNanos);
			}
		}
		// A VM bought after the list was requested is missing from it but not terminated.
		this.tables.vms.values()
			.removeIf((row) -> !listed.containsKey(row.id) && row.firstSeenNanos - read.requestedNanos() < 0);
		PollSystem.readCompleted(this.tables, Source.VMS, true, nowNanos);
	}

	private void noticesRead(CapacityEvent.NoticesRead read, long nowNanos) {
		this.tables.lastNoticeNumber = Math.max(this.tables.lastNoticeNumber, read.lastNumber());
		read.remainingMillis().keySet().forEach((vm) -> find(vm).ifPresent((row) -> {
			CloudVm previous = row.vm;
			row.vm = new CloudVm(previous.id(), previous.token(), previous.pool(), previous.sort(), State.RECLAIMING,
					previous.address());
		}));
		PollSystem.readCompleted(this.tables, Source.NOTICES, true, nowNanos);
	}

	private void intentsRead(List<Intent> intents, long nowNanos) {
		for (Intent intent : intents) {
			this.tables.intents.computeIfAbsent(intent.token(),
					(_) -> new IntentRow(intent, "found", IntentRow.Phase.FOUND));
		}
		PollSystem.readCompleted(this.tables, Source.INTENTS, true, nowNanos);
	}

	private void stateRead(VmRow row, CapacityEvent.StateRead read, long nowNanos) {
		row.requestPending = false;
		row.unresponsiveSinceNanos = OptionalLong.empty();
		row.actualState = Optional.of(read.state());
		row.stateRequestedNanos = read.requestedNanos();
		// The entries treat a leaving VM as leaving permanently, so a drained engine must
		// not be returned to service.
		if (read.state().draining()) {
			row.startDrain(nowNanos, "found-draining");
		}
	}

}
