package org.rosemaryfront.standin.platform;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;

import org.rosemaryfront.model.VmId;
import org.rosemaryfront.platform.CloudClient.Listed;
import org.rosemaryfront.platform.CloudClient.Market;
import org.rosemaryfront.platform.CloudClient.Notice;
import org.rosemaryfront.platform.CloudClient.Offer;
import org.rosemaryfront.platform.CloudClient.Purchase;
import org.rosemaryfront.platform.CloudClient.Vm;
import org.rosemaryfront.platform.CloudClient.VmState;

/**
 * The cloud of the stand-in platform: sells VMs on offered machines, reclaims them and
 * counts their cost. Its clock is passed in with every call; one thread uses it at a
 * time.
 *
 * <p>
 * What it does to machines it gives as {@link MachineAction}s; whoever carries them out
 * reports with {@link #booted}, {@link #bootFailed} and {@link #halted}. A machine is
 * sold again only after its halt was reported, so that a late halt never strikes the next
 * VM.
 */
final class CloudModel {

	/** How long the API still lists a VM that is gone, in milliseconds. */
	static final long GONE_LISTED_MILLIS = 60_000;

	private final long bootMillis;

	private final List<Offer> offers;

	private final Set<Offer> standard = new LinkedHashSet<>();

	private final VmList list;

	private final Map<String, Slot> slots = new LinkedHashMap<>();

	private final Map<VmId, Machine> machines = new LinkedHashMap<>();

	private final Map<String, VmId> purchases = new HashMap<>();

	private final List<Given> notices = new ArrayList<>();

	private final Map<VmId, Long> entryEnds = new HashMap<>();

	private final List<MachineAction> actions = new ArrayList<>();

	private final CostLedger ledger = new CostLedger();

	private long lastVm;

	private CloudModel(long bootMillis, long vmListLagMillis, List<Offer> offers) {
		this.bootMillis = bootMillis;
		this.offers = List.copyOf(offers);
		this.list = VmList.of(vmListLagMillis);
	}

	// -- factories

	/**
	 * A cloud without machines.
	 * @param bootMillis how long a VM takes to boot, in milliseconds
	 * @param vmListLagMillis the lag of the VM list, in milliseconds
	 * @param offers what VMs cost; machines of other sorts get a standard offer
	 * @return the cloud
	 */
	static CloudModel of(long bootMillis, long vmListLagMillis, List<Offer> offers) {
		return new CloudModel(bootMillis, vmListLagMillis, offers);
	}

	// -- machines

	/**
	 * Offers a machine for sale; offering it again changes nothing.
	 * @param slot the machine
	 */
	void offer(SlotOffer slot) {
		this.slots.putIfAbsent(slot.address(), new Slot(slot));
		slot.standardOffers().forEach(this.standard::add);
	}

	/**
	 * Moves the cloud on to a time.
	 * @param nowMillis the time now, in milliseconds
	 * @return what has to be done to machines, in order for each machine
	 */
	List<MachineAction> advance(long nowMillis) {
		this.machines.values().forEach((machine) -> advance(machine, nowMillis));
		this.entryEnds.entrySet().removeIf((end) -> {
			boolean over = end.getValue() <= nowMillis;
			if (over) {
				this.list.remove(end.getKey(), nowMillis);
			}
			return over;
		});
		List<MachineAction> due = List.copyOf(this.actions);
		this.actions.clear();
		return due;
	}

	private void advance(Machine machine, long nowMillis) {
		if (machine.endMillis <= nowMillis) {
			end(machine, nowMillis);
		}
		else if (machine.phase == Phase.WAITING && machine.bootDueMillis <= nowMillis) {
			machine.phase = Phase.BOOTING;
			this.actions.add(new MachineAction.Boot(machine.vm.id(), machine.vm.pool(), machine.slot.address()));
		}
	}

	/**
	 * A boot was carried out.
	 * @param vm the VM
	 * @param nowMillis the time now, in milliseconds
	 */
	void booted(VmId vm, long nowMillis) {
		Machine machine = machine(vm);
		if (machine.vm.state() == VmState.GONE) {
			// It was given back during the boot: the machine has to be emptied now.
			halt(machine);
			return;
		}
		machine.phase = Phase.UP;
		VmState state = (machine.vm.state() == VmState.STARTING) ? VmState.RUNNING : machine.vm.state();
		machine.vm = with(machine.vm, state, machine.slot.address());
		this.list.add(new Listed(vm, machine.slot.role(), machine.vm.pool(), machine.vm.zone(), machine.slot.address(),
				state == VmState.RECLAIMING), nowMillis);
	}

	/**
	 * A boot failed: the VM is gone, and its machine is no longer offered.
	 * @param vm the VM
	 * @param nowMillis the time now, in milliseconds
	 */
	void bootFailed(VmId vm, long nowMillis) {
		Machine machine = machine(vm);
		machine.phase = Phase.ENDED;
		this.slots.remove(machine.slot.address());
		gone(machine, nowMillis);
	}

	/**
	 * A halt was carried out: the machine is for sale again.
	 * @param vm the VM
	 */
	void halted(VmId vm) {
		Machine machine = machine(vm);
		machine.phase = Phase.ENDED;
		Slot slot = this.slots.get(machine.slot.address());
		if (slot != null) {
			slot.free = true;
		}
	}

	// -- sales

	/**
	 * Sells a VM; idempotent by the client token.
	 * @param purchase what to sell
	 * @param nowMillis the time now, in milliseconds
	 * @return the VM, empty when there is no machine of the sort
	 */
	Optional<Vm> buy(Purchase purchase, long nowMillis) {
		Optional<Vm> bought = find(purchase.clientToken());
		if (bought.isPresent()) {
			return bought;
		}
		return freeSlot(purchase).map((slot) -> {
			slot.free = false;
			VmId id = new VmId("vm-" + ++this.lastVm);
			Vm vm = new Vm(id, purchase.clientToken(), purchase.pool(), purchase.zone(), purchase.machineClass(),
					purchase.market(), VmState.STARTING, "");
			this.machines.put(id, new Machine(vm, slot.offer, nowMillis, nowMillis + this.bootMillis));
			this.purchases.put(purchase.clientToken(), id);
			return vm;
		});
	}

	/**
	 * The VM of an earlier purchase.
	 * @param clientToken the token of the purchase
	 * @return the VM, empty when there was none
	 */
	Optional<Vm> find(String clientToken) {
		return Optional.ofNullable(this.purchases.get(clientToken)).map((id) -> this.machines.get(id).vm);
	}

	/**
	 * Takes a VM back at once; idempotent.
	 * @param vm the VM
	 * @param nowMillis the time now, in milliseconds
	 */
	void release(VmId vm, long nowMillis) {
		Optional.ofNullable(this.machines.get(vm)).ifPresent((machine) -> end(machine, nowMillis));
	}

	private Optional<Slot> freeSlot(Purchase purchase) {
		boolean offered = offers().stream()
			.anyMatch((offer) -> offer.zone().equals(purchase.zone())
					&& offer.machineClass().equals(purchase.machineClass()) && offer.market() == purchase.market());
		return this.slots.values()
			.stream()
			.filter((slot) -> offered && slot.free && slot.offer.zone().equals(purchase.zone())
					&& slot.offer.machineClass().equals(purchase.machineClass()))
			.findFirst();
	}

	// -- reclaims

	/**
	 * Begins to reclaim a VM, sold or an entry's.
	 * @param vm the VM
	 * @param noticeMillis the time until it ends, in milliseconds; 0 ends it unannounced
	 * @param noticed whether the notice is given; the VM list shows the VM as leaving
	 * even when it is not
	 * @param nowMillis the time now, in milliseconds
	 * @return whether there is such a VM
	 */
	boolean reclaim(VmId vm, long noticeMillis, boolean noticed, long nowMillis) {
		Machine machine = this.machines.get(vm);
		boolean sold = machine != null && machine.vm.state() != VmState.GONE;
		if (!sold && this.list.find(vm).isEmpty()) {
			return false;
		}
		long endMillis = nowMillis + noticeMillis;
		if (sold) {
			machine.endMillis = Math.min(machine.endMillis, endMillis);
			machine.vm = with(machine.vm, VmState.RECLAIMING, machine.vm.address());
		}
		else {
			this.entryEnds.merge(vm, endMillis, Math::min);
		}
		if (noticeMillis > 0) {
			this.list.leaving(vm, nowMillis);
		}
		if (noticeMillis > 0 && noticed) {
			this.notices.add(new Given(this.notices.size() + 1L, vm, endMillis));
		}
		advanceEnds(nowMillis);
		return true;
	}

	/**
	 * VMs that may be reclaimed, in the order of their purchase.
	 * @return the VMs
	 */
	List<Vm> reclaimable() {
		return this.machines.values()
			.stream()
			.map((machine) -> machine.vm)
			.filter((vm) -> vm.market() == Market.RECLAIMABLE)
			.filter((vm) -> vm.state() == VmState.STARTING || vm.state() == VmState.RUNNING)
			.toList();
	}

	/**
	 * Chooses a share of the VMs that may be reclaimed.
	 * @param share the share, 0 to 1
	 * @param random chooses
	 * @return the VMs chosen
	 */
	List<Vm> reclaimableShare(double share, Random random) {
		List<Vm> all = new ArrayList<>(reclaimable());
		Collections.shuffle(all, random);
		return List.copyOf(all.subList(0, (int) Math.round(share * all.size())));
	}

	private void advanceEnds(long nowMillis) {
		this.machines.values()
			.stream()
			.filter((machine) -> machine.endMillis <= nowMillis)
			.forEach((machine) -> end(machine, nowMillis));
	}

	// -- entries

	/**
	 * Puts an entry VM into the VM list.
	 * @param vm the VM
	 * @param zone its availability zone
	 * @param address the address of its peer listener
	 * @param nowMillis the time now, in milliseconds
	 */
	void addEntry(VmId vm, String zone, String address, long nowMillis) {
		this.list.add(new Listed(vm, "entry", "", zone, address, false), nowMillis);
	}

	/**
	 * The VM list as a reader sees it.
	 * @param frozen whether it stays as it was last seen
	 * @param nowMillis the time now, in milliseconds
	 * @return the entries
	 */
	List<Listed> listed(boolean frozen, long nowMillis) {
		return this.list.visible(frozen, nowMillis);
	}

	/**
	 * Takes an entry VM out of the VM list.
	 * @param vm the VM
	 * @param nowMillis the time now, in milliseconds
	 */
	void removeEntry(VmId vm, long nowMillis) {
		this.entryEnds.remove(vm);
		this.list.remove(vm, nowMillis);
	}

	// -- queries

	/**
	 * What the VMs cost so far.
	 * @param nowMillis the time now, in milliseconds
	 * @return the cost by availability zone, machine class and market
	 */
	List<PlatformStats.Cost> costs(long nowMillis) {
		CostLedger sum = this.ledger.copy();
		this.machines.values()
			.stream()
			.filter((machine) -> machine.vm.state() != VmState.GONE)
			.forEach((machine) -> sum.add(machine.vm, nowMillis - machine.boughtMillis));
		return sum.costs(offers());
	}

	/**
	 * Notices given.
	 * @param after the number of the last notice known
	 * @param nowMillis the time now, in milliseconds
	 * @return later notices
	 */
	List<Notice> notices(long after, long nowMillis) {
		return this.notices.stream()
			.skip(Math.max(0, after))
			.map((given) -> new Notice(given.number, given.vm, Math.max(0, given.endMillis - nowMillis)))
			.toList();
	}

	/**
	 * What VMs cost.
	 * @return the offers of the settings, and standard offers for machines of other sorts
	 */
	List<Offer> offers() {
		Stream<Offer> others = this.standard.stream()
			.filter((each) -> this.offers.stream()
				.noneMatch((offer) -> offer.zone().equals(each.zone())
						&& offer.machineClass().equals(each.machineClass())));
		return Stream.concat(this.offers.stream(), others).toList();
	}

	/**
	 * The VMs that were bought; those gone for {@link #GONE_LISTED_MILLIS} are left out.
	 * @param nowMillis the time now, in milliseconds
	 * @return the VMs in the order of their purchase
	 */
	List<Vm> vms(long nowMillis) {
		return this.machines.values()
			.stream()
			.filter((machine) -> machine.vm.state() != VmState.GONE
					|| nowMillis - machine.goneMillis < GONE_LISTED_MILLIS)
			.map((machine) -> machine.vm)
			.toList();
	}

	// -- ends

	private void end(Machine machine, long nowMillis) {
		if (machine.vm.state() == VmState.GONE) {
			return;
		}
		gone(machine, nowMillis);
		switch (machine.phase) {
			case WAITING -> halted(machine.vm.id());
			case UP -> halt(machine);
			case BOOTING, HALTING, ENDED -> {
				// A boot under way is answered by booted or bootFailed first.
			}
		}
	}

	private void gone(Machine machine, long nowMillis) {
		if (machine.vm.state() == VmState.GONE) {
			return;
		}
		machine.vm = with(machine.vm, VmState.GONE, machine.vm.address());
		machine.goneMillis = nowMillis;
		machine.endMillis = Fault.FOR_GOOD;
		this.ledger.add(machine.vm, nowMillis - machine.boughtMillis);
		this.list.remove(machine.vm.id(), nowMillis);
	}

	private void halt(Machine machine) {
		machine.phase = Phase.HALTING;
		this.actions.add(new MachineAction.Halt(machine.vm.id(), machine.slot.address()));
	}

	private Machine machine(VmId vm) {
		return Objects.requireNonNull(this.machines.get(vm), () -> "no VM " + vm);
	}

	private static Vm with(Vm vm, VmState state, String address) {
		return new Vm(vm.id(), vm.clientToken(), vm.pool(), vm.zone(), vm.machineClass(), vm.market(), state, address);
	}

	/** Where the machine behind a VM is in its life. */
	private enum Phase {

		WAITING, BOOTING, UP, HALTING, ENDED

	}

	private record Given(long number, VmId vm, long endMillis) {
	}

	private static final class Machine {

		private final SlotOffer slot;

		private final long boughtMillis;

		private final long bootDueMillis;

		private Vm vm;

		private Phase phase = Phase.WAITING;

		private long endMillis = Fault.FOR_GOOD;

		private long goneMillis;

		Machine(Vm vm, SlotOffer slot, long boughtMillis, long bootDueMillis) {
			this.vm = vm;
			this.slot = slot;
			this.boughtMillis = boughtMillis;
			this.bootDueMillis = bootDueMillis;
		}

	}

	private static final class Slot {

		private final SlotOffer offer;

		private boolean free = true;

		Slot(SlotOffer offer) {
			this.offer = offer;
		}

	}

}
