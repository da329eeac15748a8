package org.rosemaryfront.standin.platform;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

import org.rosemaryfront.model.VmId;
import org.rosemaryfront.platform.CloudClient.Listed;
import org.rosemaryfront.platform.CloudClient.Notice;
import org.rosemaryfront.platform.CloudClient.Offer;
import org.rosemaryfront.platform.CloudClient.Purchase;
import org.rosemaryfront.platform.CloudClient.Vm;
import org.rosemaryfront.platform.TableClient.Outcome;
import org.rosemaryfront.platform.TableClient.Row;
import org.rosemaryfront.platform.TableClient.Transaction;
import org.rosemaryfront.standin.platform.Fault.Kind;
import org.rosemaryfront.standin.platform.Fault.Service;
import org.rosemaryfront.standin.platform.Faults.Effect;

/**
 * All services of the stand-in platform with their limits and faults; the server and the
 * platform in the same process both stand before it. Safe for use by several threads.
 *
 * <p>
 * A call fails with {@link CallFailure}, never ends when a fault keeps it silent, and
 * fails with {@link IllegalArgumentException} when it is malformed.
 */
final class PlatformModel {

	private final StandinPlatformSettings settings;

	private final LongSupplier clock;

	private final Scheduler scheduler;

	private final TableStore tables = TableStore.empty();

	private final Map<String, byte[]> objects = new ConcurrentHashMap<>();

	private final CloudModel cloud;

	private final Faults faults = new Faults();

	private final Map<Limit, TokenBucket> buckets;

	private final RateCount reads = new RateCount();

	private final RateCount writes = new RateCount();

	private final LongAdder overRate = new LongAdder();

	private PlatformModel(StandinPlatformSettings settings, LongSupplier clock, Scheduler scheduler) {
		this.settings = settings;
		this.clock = clock;
		this.scheduler = scheduler;
		this.cloud = CloudModel.of(settings.bootMillis(), settings.vmListLagMillis(), settings.offers());
		long now = clock.getAsLong();
		this.buckets = Map.of(Limit.READ, TokenBucket.of(settings.readsPerSecond(), now), Limit.WRITE,
				TokenBucket.of(settings.writesPerSecond(), now), Limit.WEIGHT,
				TokenBucket.of(settings.weightsPerSecond(), now));
	}

	/**
	 * A platform without rows, objects and machines.
	 * @param settings the settings
	 * @param clock the time now, in milliseconds
	 * @param scheduler where slow calls wait
	 * @return the platform
	 */
	static PlatformModel of(StandinPlatformSettings settings, LongSupplier clock, Scheduler scheduler) {
		return new PlatformModel(Objects.requireNonNull(settings, "settings is null"),
				Objects.requireNonNull(clock, "clock is null"), Objects.requireNonNull(scheduler, "scheduler is null"));
	}

	// -- tables

	Mono<Outcome> commit(Transaction transaction) {
		String table = transaction.writes().stream().findFirst().map((write) -> write.table()).orElse("");
		return call(Service.TABLES, table, Limit.WRITE, () -> this.tables.commit(transaction));
	}

	Mono<Optional<Row>> read(String table, String key) {
		return call(Service.TABLES, table, Limit.READ, () -> this.tables.read(table, key));
	}

	Mono<List<Row>> scan(String table, String prefix, String after, int limit) {
		return call(Service.TABLES, table, Limit.READ, () -> this.tables.scan(table, prefix, after, limit));
	}

	// -- objects

	Mono<Boolean> deleteObject(String name) {
		return call(Service.OBJECTS, "", Limit.WRITE, () -> this.objects.remove(name) != null);
	}

	Mono<Optional<byte[]>> getObject(String name) {
		return call(Service.OBJECTS, "", Limit.READ, () -> Optional.ofNullable(this.objects.get(name)));
	}

	Mono<Boolean> putObject(String name, byte[] content) {
		return call(Service.OBJECTS, "", Limit.WRITE, () -> this.objects.put(name, content) == null);
	}

	// -- weights

	Mono<byte[]> weights() {
		return call(Service.WEIGHTS, "", Limit.WEIGHT, () -> new byte[this.settings.weightBytes()]);
	}

	// -- cloud

	Mono<Sale> buy(Purchase purchase) {
		return call(Service.CLOUD, "", Limit.CLOUD_WRITE, () -> {
			synchronized (this.cloud) {
				boolean repeat = this.cloud.find(purchase.clientToken()).isPresent();
				if (!repeat && this.faults.strikes(Kind.REFUSE_STARTS, now())) {
					throw noCapacity(purchase);
				}
				return new Sale(this.cloud.buy(purchase, now()).orElseThrow(() -> noCapacity(purchase)), repeat);
			}
		});
	}

	Mono<List<Notice>> notices(long after) {
		return call(Service.CLOUD, "", Limit.CLOUD_READ, () -> {
			synchronized (this.cloud) {
				return this.cloud.notices(after, now());
			}
		});
	}

	Mono<List<Offer>> offers() {
		return call(Service.CLOUD, "", Limit.CLOUD_READ, () -> {
			synchronized (this.cloud) {
				return this.cloud.offers();
			}
		});
	}

	Mono<Boolean> release(VmId vm) {
		return call(Service.CLOUD, "", Limit.CLOUD_WRITE, () -> {
			synchronized (this.cloud) {
				this.cloud.release(vm, now());
				return true;
			}
		});
	}

	Mono<List<Listed>> vmList() {
		return call(Service.VMLIST, "", Limit.CLOUD_READ, this::listed);
	}

	Mono<List<Vm>> vms() {
		return call(Service.CLOUD, "", Limit.CLOUD_READ, () -> {
			synchronized (this.cloud) {
				return this.cloud.vms(now());
			}
		});
	}

	private List<Listed> listed() {
		synchronized (this.cloud) {
			return this.cloud.listed(this.faults.strikes(Kind.FREEZE_VM_LIST, now()), now());
		}
	}

	private static CallFailure noCapacity(Purchase purchase) {
		return new CallFailure(CallFailure.Kind.NO_CAPACITY,
				"no " + purchase.machineClass() + " in " + purchase.zone() + " to sell");
	}

	// -- machines

	void addEntry(VmId vm, String zone, String address) {
		synchronized (this.cloud) {
			this.cloud.addEntry(vm, zone, address, now());
		}
	}

	List<MachineAction> advance() {
		synchronized (this.cloud) {
			return this.cloud.advance(now());
		}
	}

	/**
	 * Takes in how a machine action ended.
	 * @param action the action
	 * @param done whether the machine did it
	 */
	void carriedOut(MachineAction action, boolean done) {
		synchronized (this.cloud) {
			switch (action) {
				case MachineAction.Boot boot when done -> this.cloud.booted(boot.vm(), now());
				case MachineAction.Boot boot -> this.cloud.bootFailed(boot.vm(), now());
				// A machine that cannot be halted holds nothing more to lose.
				case MachineAction.Halt halt -> this.cloud.halted(halt.vm());
			}
		}
	}

	void offer(SlotOffer slot) {
		synchronized (this.cloud) {
			this.cloud.offer(slot);
		}
	}

	/**
	 * Begins to reclaim VMs.
	 * @param chosen which
	 * @param noticeMillis the time until they end, in milliseconds; 0 ends them
	 * unannounced
	 * @return the VMs
	 */
	List<VmId> reclaim(Reclaim chosen, long noticeMillis) {
		synchronized (this.cloud) {
			boolean noticed = !this.faults.strikes(Kind.LOSE_NOTICES, now());
			return choose(chosen).stream()
				.filter((vm) -> this.cloud.reclaim(vm, noticeMillis, noticed, now()))
				.toList();
		}
	}

	void removeEntry(VmId vm) {
		synchronized (this.cloud) {
			this.cloud.removeEntry(vm, now());
		}
	}

	private List<VmId> choose(Reclaim chosen) {
		return switch (chosen) {
			case Reclaim.OfVm ofVm -> List.of(ofVm.vm());
			case Reclaim.OfZone ofZone ->
				this.cloud.reclaimable().stream().filter((vm) -> vm.zone().equals(ofZone.zone())).map(Vm::id).toList();
			case Reclaim.OfShare ofShare ->
				this.cloud.reclaimableShare(ofShare.share(), new Random(ofShare.seed())).stream().map(Vm::id).toList();
		};
	}

	// -- faults

	void begin(Fault fault) {
		// A freeze keeps what a reader could see when it began.
		listed();
		this.faults.begin(fault, now());
	}

	void clearFaults() {
		this.faults.clear();
	}

	// -- counts

	PlatformStats stats() {
		synchronized (this.cloud) {
			return new PlatformStats(this.reads.sum(), this.writes.sum(), this.tables.rowsWritten(),
					this.tables.conflicts(), this.overRate.sum(), this.reads.lastSecond(now()),
					this.writes.lastSecond(now()), now(), this.cloud.costs(now()));
		}
	}

	// -- calls

	private <T> Mono<T> call(Service service, String table, Limit limit, Supplier<T> work) {
		return Mono.defer(() -> {
			Effect effect = this.faults.on(service, table, limit.writes(), now());
			return switch (effect.ending()) {
				case SILENT -> Mono.never();
				case REFUSED -> Mono.error(new CallFailure(CallFailure.Kind.OUTAGE, "an outage"));
				case ANSWERED -> delayed(effect, () -> admitted(limit, work));
				case LOST -> delayed(effect, () -> admitted(limit, work))
					.then(Mono.error(() -> new CallFailure(CallFailure.Kind.LOST, "the answer is lost")));
				case LOST_AND_SILENT -> delayed(effect, () -> admitted(limit, work)).then(Mono.never());
			};
		});
	}

	// The caller's cancellation must not stop a call that arrived: a real service does
	// its work although nobody waits for the answer any more.
	private <T> Mono<T> delayed(Effect effect, Supplier<T> work) {
		if (effect.delayMillis() == 0) {
			return Mono.fromSupplier(work);
		}
		Mono<T> slow = Mono.delay(Duration.ofMillis(effect.delayMillis()), this.scheduler)
			.map((_) -> work.get())
			.cache();
		slow.subscribe((_) -> {
		}, (_) -> {
		});
		return slow;
	}

	private <T> T admitted(Limit limit, Supplier<T> work) {
		TokenBucket bucket = this.buckets.get(limit);
		if (bucket != null) {
			synchronized (bucket) {
				if (!bucket.take(now())) {
					this.overRate.increment();
					throw new CallFailure(CallFailure.Kind.OVER_RATE, "above the rate");
				}
			}
		}
		switch (limit) {
			case READ -> this.reads.add(now());
			case WRITE -> this.writes.add(now());
			case WEIGHT, CLOUD_READ, CLOUD_WRITE -> {
			}
		}
		return work.get();
	}

	private long now() {
		return this.clock.getAsLong();
	}

	/** What limits a call. */
	private enum Limit {

		READ, WRITE, WEIGHT, CLOUD_READ, CLOUD_WRITE;

		boolean writes() {
			return this == WRITE || this == CLOUD_WRITE;
		}

	}

	/**
	 * A VM that was sold.
	 *
	 * @param vm the VM
	 * @param repeat whether an earlier call had bought it
	 */
	record Sale(Vm vm, boolean repeat) {
	}

}
