package org.rosemaryfront.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

import org.rosemaryfront.capacity.CloudVm.State;
import org.rosemaryfront.model.VmId;

/** An in-memory cloud that sells VMs with a model engine on each. */
final class FakeCloud {

	private static final long BOOT_NANOS = 3_000 * Simulation.MILLI;

	private static final long NOTICE_NANOS = 10_000 * Simulation.MILLI;

	final Simulation simulation;

	final FakeTables tables;

	final boolean fencingChecked;

	final SortedMap<String, Machine> machines = new TreeMap<>();

	final Map<OfferKey, Double> prices = new HashMap<>();

	final Set<String> refusingZones = new HashSet<>();

	final Set<OfferKey> refusedOffers = new HashSet<>();

	final List<VmId> notices = new ArrayList<>();

	private final Map<String, Machine> byToken = new HashMap<>();

	java.util.function.Supplier<List<SimulatedController>> leaseHolders = List::of;

	java.util.function.Consumer<VmId> leavingListener = (_) -> {
	};

	int purchases;

	int refusals;

	FakeCloud(Simulation simulation, FakeTables tables, boolean fencingChecked) {
		this.simulation = simulation;
		this.tables = tables;
		this.fencingChecked = fencingChecked;
	}

	List<Offer> offers() {
		List<Offer> offers = new ArrayList<>();
		this.prices
			.forEach((key, price) -> offers.add(new Offer(key, price, (key.market() == Market.RECLAIMABLE) ? 0.1 : 0)));
		return offers;
	}

	List<CloudVm> vms() {
		return this.machines.values().stream().map(Machine::vm).toList();
	}

	// Returns the VM of the intent's token, empty if its start is refused.
	Optional<CloudVm> buy(Intent intent) {
		Machine existing = this.byToken.get(intent.token());
		if (existing != null) {
			return Optional.of(existing.vm());
		}
		if (this.refusingZones.contains(intent.sort().zone()) || this.refusedOffers.contains(intent.sort())) {
			this.refusals++;
			return Optional.empty();
		}
		this.purchases++;
		Machine machine = new Machine(this, "vm-" + (1000 + this.purchases), intent);
		this.machines.put(machine.id, machine);
		this.byToken.put(intent.token(), machine);
		this.simulation.after(BOOT_NANOS, () -> {
			if (machine.state == State.STARTING) {
				machine.state = State.RUNNING;
			}
		});
		return Optional.of(machine.vm());
	}

	// Called at each order, purchase and release: no other process may hold the lease.
	void checkSoleLeaseHolder(SimulatedController sender) {
		this.simulation.check(this.leaseHolders.get().stream().allMatch((holder) -> holder == sender),
				sender.name + " sends a change while another process holds the lease");
	}

	// Called at each purchase: its intent must be, or have been, in the table service.
	void checkIntentWritten(String token) {
		boolean written = this.tables.read("intents/" + token).isPresent() || this.byToken.containsKey(token)
				|| this.tables.wasWritten("intents/" + token);
		this.simulation.check(written, "purchase " + token + " without a written intent");
	}

	void release(VmId vm, long drainLimit) {
		Machine machine = this.machines.get(vm.value());
		if (machine == null || machine.state == State.GONE) {
			return;
		}
		boolean beforeDrainLimit = machine.drainStartNanos == 0
				|| this.simulation.now - machine.drainStartNanos < drainLimit;
		this.simulation.check(machine.running == 0 || machine.state != State.RUNNING || !beforeDrainLimit,
				"released " + vm + " with " + machine.running + " streams before its drain limit");
		this.simulation.check(machine.draining || machine.state != State.RUNNING || !beforeDrainLimit,
				"released " + vm + " while it accepts work");
		machine.state = State.GONE;
	}

	void reclaim(Machine machine) {
		if (machine.state == State.STARTING || machine.state == State.RUNNING) {
			machine.state = State.RECLAIMING;
			this.notices.add(new VmId(machine.id));
			this.simulation.after(NOTICE_NANOS, () -> machine.state = State.GONE);
		}
	}

	List<Machine> live() {
		return this.machines.values()
			.stream()
			.filter((machine) -> machine.state == State.STARTING || machine.state == State.RUNNING)
			.toList();
	}

	/** A VM and the engine on it. */
	static final class Machine {

		private static final long LOAD_NANOS = 2_000 * Simulation.MILLI;

		private final FakeCloud cloud;

		final String id;

		final Intent intent;

		State state = State.STARTING;

		Set<String> models = new HashSet<>();

		Set<String> adapters = new HashSet<>();

		Map<String, Long> loadingUntil = new TreeMap<>();

		boolean draining;

		/**
		 * When the engine first accepted a drain order or the VM was announced as
		 * leaving.
		 */
		long drainStartNanos;

		int running;

		/** Streams by version; empty if the engine does not report versions. */
		Map<String, Integer> streams = new TreeMap<>();

		/** Streams interrupted because their version was dropped. */
		int interruptedStreams;

		long fence;

		boolean unresponsive;

		Machine(FakeCloud cloud, String id, Intent intent) {
			this.cloud = cloud;
			this.id = id;
			this.intent = intent;
		}

		CloudVm vm() {
			String address = (this.state == State.STARTING) ? "" : this.id + ":1";
			return new CloudVm(new VmId(this.id), this.intent.token(), this.intent.pool(), this.intent.sort(),
					this.state, address);
		}

		boolean isResponsive() {
			return !this.unresponsive && (this.state == State.RUNNING || this.state == State.RECLAIMING);
		}

		// Returns the state after an order, which is ignored if the engine checks the
		// fencing number and it is lower than the last one.
		ServerState order(long orderFence, CapacityCommand.Order order) {
			long now = this.cloud.simulation.now;
			if (this.cloud.fencingChecked && orderFence < this.fence) {
				return report();
			}
			this.fence = orderFence;
			this.draining = order.drain();
			if (this.draining && this.drainStartNanos == 0) {
				this.drainStartNanos = now;
			}
			for (String dropped : this.models.stream().filter((name) -> !order.models().contains(name)).toList()) {
				this.interruptedStreams += this.streams.getOrDefault(dropped, 0);
				this.streams.remove(dropped);
			}
			this.models.retainAll(order.models());
			this.adapters.retainAll(order.adapters());
			this.loadingUntil.keySet().retainAll(union(order.models(), order.adapters()));
			for (String name : union(order.models(), order.adapters())) {
				if (!this.models.contains(name) && !this.adapters.contains(name)) {
					this.loadingUntil.putIfAbsent(name, now + LOAD_NANOS);
					(order.models().contains(name) ? this.models : this.adapters).add(name);
				}
			}
			return report();
		}

		ServerState report() {
			long now = this.cloud.simulation.now;
			this.loadingUntil.values().removeIf((until) -> until <= now);
			return new ServerState(this.fence, loaded(this.models), loaded(this.adapters),
					List.copyOf(this.loadingUntil.keySet()), this.draining,
					this.running + this.streams.values().stream().mapToInt(Integer::intValue).sum(), 0, this.streams);
		}

		private List<String> loaded(Set<String> names) {
			return names.stream().filter((name) -> !this.loadingUntil.containsKey(name)).sorted().toList();
		}

		private static List<String> union(List<String> first, List<String> second) {
			List<String> all = new ArrayList<>(first);
			all.addAll(second);
			return all;
		}

	}

}
