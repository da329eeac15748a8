package org.rosemaryfront.standin.platform;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.model.VmId;
import org.rosemaryfront.platform.CloudClient;
import org.rosemaryfront.platform.ObjectClient;
import org.rosemaryfront.platform.PlatformException;
import org.rosemaryfront.platform.TableClient;

/**
 * The stand-in platform in the same process, without a network, with the same limits and
 * faults.
 *
 * <p>
 * Time is virtual when the clock and the scheduler passed in are. Machines move on only
 * with {@link #tick()}; without {@link #machines} every boot succeeds.
 *
 * <pre>
 * InMemoryPlatform platform = InMemoryPlatform.of(StandinPlatformSettings.standard());
 * platform.begin(Fault.of(Fault.Kind.OUTAGE, 5000));
 * </pre>
 */
public final class InMemoryPlatform implements TableClient, CloudClient, ObjectClient {

	private final PlatformModel model;

	private final Duration timeout;

	private final Scheduler scheduler;

	private volatile Predicate<MachineAction> machines = (_) -> true;

	private InMemoryPlatform(PlatformModel model, Duration timeout, Scheduler scheduler) {
		this.model = model;
		this.timeout = timeout;
		this.scheduler = scheduler;
	}

	// -- factories

	/**
	 * A platform on real time.
	 * @param settings the settings
	 * @return the platform
	 */
	public static InMemoryPlatform of(StandinPlatformSettings settings) {
		return of(settings, () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()), Schedulers.parallel());
	}

	/**
	 * A platform on the time passed in.
	 * @param settings the settings
	 * @param clock the time now, in milliseconds
	 * @param scheduler where slow calls and time-outs wait
	 * @return the platform
	 */
	public static InMemoryPlatform of(StandinPlatformSettings settings, LongSupplier clock, Scheduler scheduler) {
		return new InMemoryPlatform(PlatformModel.of(settings, clock, scheduler),
				Duration.ofMillis(settings.timeoutMillis()), scheduler);
	}

	// -- tables

	@Override
	public Mono<Outcome> commit(Transaction transaction) {
		return call(this.model.commit(transaction));
	}

	@Override
	public Mono<Optional<Row>> read(String table, String key) {
		return call(this.model.read(table, key));
	}

	@Override
	public Mono<List<Row>> scan(String table, String prefix, String after, int limit) {
		return call(this.model.scan(table, prefix, after, limit));
	}

	// -- cloud

	@Override
	public Mono<Vm> buy(Purchase purchase) {
		return call(this.model.buy(purchase)).map(PlatformModel.Sale::vm);
	}

	@Override
	public Mono<List<Notice>> notices(long after) {
		return call(this.model.notices(after));
	}

	@Override
	public Mono<List<Offer>> offers() {
		return call(this.model.offers());
	}

	@Override
	public Mono<Void> release(VmId vm) {
		return call(this.model.release(vm)).then();
	}

	@Override
	public Mono<List<Listed>> vmList() {
		return call(this.model.vmList());
	}

	@Override
	public Mono<List<Vm>> vms() {
		return call(this.model.vms());
	}

	// -- objects

	@Override
	public Mono<Void> deleteObject(String bucket, String key) {
		return call(this.model.deleteObject(bucket + '/' + key)).then();
	}

	@Override
	public Mono<Optional<byte[]>> getObject(String bucket, String key) {
		return call(this.model.getObject(bucket + '/' + key));
	}

	@Override
	public Mono<Void> putObject(String bucket, String key, byte[] content) {
		return call(this.model.putObject(bucket + '/' + key, content)).then();
	}

	// -- the outside world

	/**
	 * Puts an entry VM into the VM list.
	 * @param vm the VM
	 * @param zone its availability zone
	 * @param address the address of its peer listener
	 */
	public void addEntry(VmId vm, String zone, String address) {
		this.model.addEntry(vm, zone, address);
	}

	/**
	 * Begins a fault.
	 * @param fault the fault
	 */
	public void begin(Fault fault) {
		this.model.begin(fault);
	}

	/** Ends all faults. */
	public void clearFaults() {
		this.model.clearFaults();
	}

	/**
	 * Sets what carries out boots and halts.
	 * @param carrier carries one out and says whether it succeeded
	 */
	public void machines(Predicate<MachineAction> carrier) {
		this.machines = Objects.requireNonNull(carrier, "carrier is null");
	}

	/**
	 * Offers a machine for sale.
	 * @param slot the machine
	 */
	public void offer(SlotOffer slot) {
		this.model.offer(slot);
	}

	/**
	 * Begins to reclaim VMs.
	 * @param chosen which
	 * @param noticeMillis the time until they end, in milliseconds; 0 ends them
	 * unannounced
	 * @return the VMs
	 */
	public List<VmId> reclaim(Reclaim chosen, long noticeMillis) {
		return this.model.reclaim(chosen, noticeMillis);
	}

	/**
	 * Takes an entry VM out of the VM list.
	 * @param vm the VM
	 */
	public void removeEntry(VmId vm) {
		this.model.removeEntry(vm);
	}

	/**
	 * What was counted since the start.
	 * @return the counts
	 */
	public PlatformStats stats() {
		return this.model.stats();
	}

	/** Moves machines on: boots and ends that are due happen. */
	public void tick() {
		this.model.advance().forEach((action) -> this.model.carriedOut(action, this.machines.test(action)));
	}

	// -- calls

	private <T> Mono<T> call(Mono<T> call) {
		return call.timeout(this.timeout, this.scheduler).onErrorMap(InMemoryPlatform::failure);
	}

	private static Throwable failure(Throwable failure) {
		return switch (failure) {
			case CallFailure call -> switch (call.kind()) {
				case OUTAGE, OVER_RATE -> PlatformException.of(Verdict.notRun(), call.getMessage(), call);
				case NO_CAPACITY -> PlatformException.refusedStart(call.getMessage());
				case LOST -> PlatformException.of(Verdict.mayHaveRun(), call.getMessage(), call);
			};
			case TimeoutException timeout -> PlatformException.of(Verdict.mayHaveRun(), "no answer in time", timeout);
			case IllegalArgumentException malformed ->
				PlatformException.of(Verdict.notRun(), malformed.getMessage(), malformed);
			default -> failure;
		};
	}

}
