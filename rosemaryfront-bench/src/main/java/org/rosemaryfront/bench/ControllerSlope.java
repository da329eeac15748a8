package org.rosemaryfront.bench;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;

import org.rosemaryfront.capacity.CapacityCommand;
import org.rosemaryfront.capacity.CapacityDecisions;
import org.rosemaryfront.capacity.CapacityEvent;
import org.rosemaryfront.capacity.CapacitySettings;
import org.rosemaryfront.capacity.CloudVm;
import org.rosemaryfront.capacity.Intent;
import org.rosemaryfront.capacity.Market;
import org.rosemaryfront.capacity.Offer;
import org.rosemaryfront.capacity.OfferKey;
import org.rosemaryfront.capacity.ServerState;
import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.Resource;
import org.rosemaryfront.model.VmId;

/**
 * Measures what the lease holder spends as the number of VMs grows: the time of a tick,
 * the heap and the messages, while VMs are reclaimed and replaced. Prints one JSON line a
 * size. Messages are counted on virtual time; ticks are timed on the real clock.
 *
 * <pre>
 * bin/slope-controller 13 190 1900
 * </pre>
 */
public final class ControllerSlope {

	private static final int REPLACED_A_DAY = 200;

	private static final long SECOND = 1_000_000_000L;

	private static final long TICK = SECOND / 4;

	private static final long FILL_SECONDS = 1_800;

	private static final long STEADY_SECONDS = 3_600;

	private static final long DAY_SECONDS = 86_400;

	private CapacityDecisions decisions = CapacityDecisions.of(CapacitySettings.defaults(), 1);

	private final Map<VmId, Engine> engines = new LinkedHashMap<>();

	private final Map<String, Long> counts = new HashMap<>();

	private final List<CapacityEvent> answers = new ArrayList<>();

	private final List<VmId> notices = new ArrayList<>();

	private final List<Offer> offers = new ArrayList<>();

	private final List<Long> tickNanos = new ArrayList<>();

	private final SplittableRandom random = new SplittableRandom(1);

	private final int size;

	private final CallBytes callBytes;

	private long now;

	private long listed;

	private long bought;

	private ControllerSlope(int size, CallBytes callBytes) {
		this.size = size;
		this.callBytes = callBytes;
	}

	/**
	 * Measures the sizes named.
	 * @param args numbers of VMs, 13, 190 and 1,900 when there are none
	 */
	public static void main(String[] args) {
		List<Integer> sizes = (args.length > 0) ? Arrays.stream(args).map(Integer::valueOf).toList()
				: List.of(13, 190, 1_900);
		CallBytes callBytes = CallBytes.measure();
		for (int size : sizes) {
			System.out.println(new ControllerSlope(size, callBytes).measure());
		}
	}

	private String measure() {
		declare();
		run(FILL_SECONDS);
		long ready = ready();
		this.counts.clear();
		this.tickNanos.clear();
		this.listed = 0;
		run(STEADY_SECONDS);
		long[] ticks = this.tickNanos.stream().mapToLong(Long::longValue).sorted().toArray();
		double mean = Arrays.stream(ticks).average().orElse(0);
		long readyAtEnd = ready();
		this.engines.clear();
		long heap = usedHeap();
		this.decisions = CapacityDecisions.of(CapacitySettings.defaults(), 1);
		long bytes = heap - usedHeap();
		return String.format(Locale.ROOT,
				"{\"vms\": %d, \"readyAfterFill\": %d, \"readyAtEnd\": %d, \"tickMicrosMean\": %.1f, "
						+ "\"tickMicrosP99\": %.1f, \"corePercent\": %.3f, \"heapKilobytes\": %d, "
						+ "\"replaced\": %d, \"tableWritesPerSecond\": %.4f, \"ordersPerSecond\": %.4f, "
						+ "\"engineReadsPerSecond\": %.2f, \"platformReadsPerSecond\": %.2f, "
						+ "\"vmsListedPerSecond\": %.1f, \"bytesPerSecond\": %.0f, "
						+ "\"bytesPerEngineRead\": %.0f, \"bytesPerListedVm\": %.0f, "
						+ "\"secondsBetweenReadsOfAnEngine\": %.0f}",
				this.size, ready, readyAtEnd, mean / 1e3, ticks[(int) (ticks.length * 0.99)] / 1e3, mean * 4 / 1e7,
				bytes / 1024, this.notices.size(), rate("WriteIntent") + rate("DeleteIntent"), rate("Order"),
				rate("ReadState"), rate("Read"), (double) this.listed / STEADY_SECONDS, bytesPerSecond(),
				this.callBytes.engineState(), this.callBytes.listedVm(), this.size / Math.max(rate("ReadState"), 1e-9));
	}

	// Orders, purchases and the lease are a few calls a minute and not counted.
	private double bytesPerSecond() {
		return rate("ReadState") * this.callBytes.engineState() + rate("Read") * this.callBytes.emptyRead()
				+ this.callBytes.listedVm() * this.listed / STEADY_SECONDS;
	}

	private void declare() {
		List<String> zones = List.of("a", "b", "c", "d");
		for (String zone : zones) {
			this.offers.add(new Offer(new OfferKey(zone, "gpu", Market.RECLAIMABLE), 1, 0.05));
			this.offers.add(new Offer(new OfferKey(zone, "gpu", Market.ON_DEMAND), 3, 0));
		}
		int minimum = this.size * (zones.size() - 1) / zones.size();
		Configuration configuration = Configuration.empty()
			.with(1, List.of(
					new Resource.Pool("p", Resource.Serves.MODELS, List.of("m"), zones, List.of("gpu"), minimum,
							this.size, Resource.Fencing.CHECKED, 8, 0, 0, List.of()),
					new Resource.Model("m", "1", 800)), List.of());
		this.decisions.accept(new CapacityEvent.ConfigurationApplied(configuration), this.now);
		this.decisions.accept(new CapacityEvent.LeaseTaken(1), this.now);
	}

	private void run(long seconds) {
		long end = this.now + seconds * SECOND;
		long pause = DAY_SECONDS * SECOND / REPLACED_A_DAY;
		long nextReclaim = this.now + pause;
		while (this.now < end) {
			this.now += TICK;
			if (this.now >= nextReclaim && seconds == STEADY_SECONDS) {
				reclaim();
				nextReclaim += pause;
			}
			tick();
		}
	}

	private void tick() {
		List<CapacityEvent> events = new ArrayList<>(this.answers);
		this.answers.clear();
		long began = System.nanoTime();
		events.forEach((event) -> this.decisions.accept(event, this.now));
		List<CapacityCommand> commands = this.decisions.tick(this.now);
		this.tickNanos.add(System.nanoTime() - began);
		for (CapacityCommand command : commands) {
			this.counts.merge(command.getClass().getSimpleName(), 1L, Long::sum);
			this.answers.add(answer(command));
		}
	}

	private CapacityEvent answer(CapacityCommand command) {
		return switch (command) {
			case CapacityCommand.Read read -> read(read);
			case CapacityCommand.WriteIntent write -> new CapacityEvent.IntentWritten(write.intent().token());
			case CapacityCommand.DeleteIntent delete -> new CapacityEvent.IntentDeleted(delete.token());
			case CapacityCommand.Buy buy -> new CapacityEvent.Bought(buy.intent().token(), buy(buy.intent()));
			case CapacityCommand.Release release -> {
				this.engines.remove(release.vm());
				yield new CapacityEvent.Released(release.vm());
			}
			case CapacityCommand.ReadState read -> state(read.vm());
			case CapacityCommand.Order order -> {
				Engine engine = this.engines.get(order.vm());
				if (engine != null) {
					engine.models = order.models();
					engine.draining = order.drain();
				}
				yield state(order.vm());
			}
			case CapacityCommand.AnnounceLeaving leaving -> new CapacityEvent.LeavingReported(leaving.vm());
		};
	}

	private CapacityEvent read(CapacityCommand.Read read) {
		return switch (read.source()) {
			case INTENTS -> new CapacityEvent.IntentsRead(List.of());
			case OFFERS -> new CapacityEvent.OffersRead(this.offers);
			case NOTICES -> {
				Map<VmId, Long> fresh = new HashMap<>();
				this.notices.subList((int) read.afterNotice(), this.notices.size()).forEach((vm) -> fresh.put(vm, 0L));
				yield new CapacityEvent.NoticesRead(this.notices.size(), fresh);
			}
			case VMS -> {
				this.listed += this.engines.size();
				yield new CapacityEvent.VmsRead(this.now, this.engines.values().stream().map((e) -> e.vm).toList());
			}
		};
	}

	private CapacityEvent state(VmId vm) {
		Engine engine = this.engines.get(vm);
		return (engine != null)
				? new CapacityEvent.StateRead(vm, this.now,
						new ServerState(1, engine.models, List.of(), List.of(), engine.draining, 4, 0, Map.of()))
				: new CapacityEvent.StateUnknown(vm);
	}

	private CloudVm buy(Intent intent) {
		this.bought++;
		VmId id = new VmId("vm-" + this.bought);
		CloudVm vm = new CloudVm(id, intent.token(), intent.pool(), intent.sort(), CloudVm.State.RUNNING, id + ":1");
		this.engines.put(id, new Engine(vm));
		return vm;
	}

	private void reclaim() {
		List<VmId> all = new ArrayList<>(this.engines.keySet());
		VmId vm = all.get(this.random.nextInt(all.size()));
		this.engines.remove(vm);
		this.notices.add(vm);
	}

	private long ready() {
		return this.decisions.status().pools().getFirst().ready();
	}

	private double rate(String command) {
		return (double) this.counts.getOrDefault(command, 0L) / STEADY_SECONDS;
	}

	private static long usedHeap() {
		for (int i = 0; i < 3; i++) {
			System.gc();
		}
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

	private static final class Engine {

		private final CloudVm vm;

		private List<String> models = List.of();

		private boolean draining;

		private Engine(CloudVm vm) {
			this.vm = vm;
		}

	}

}
