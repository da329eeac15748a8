package org.rosemaryfront.standin.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import org.rosemaryfront.model.VmId;
import org.rosemaryfront.platform.CloudClient.Listed;
import org.rosemaryfront.platform.CloudClient.Market;
import org.rosemaryfront.platform.CloudClient.Notice;
import org.rosemaryfront.platform.CloudClient.Offer;
import org.rosemaryfront.platform.CloudClient.Purchase;
import org.rosemaryfront.platform.CloudClient.Vm;
import org.rosemaryfront.platform.CloudClient.VmState;
import org.rosemaryfront.standin.platform.MachineAction.Boot;
import org.rosemaryfront.standin.platform.MachineAction.Halt;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class CloudModelTests {

	private static final long BOOT = 500;

	private static final long LAG = 2000;

	private static final long HOUR = 3_600_000;

	private final CloudModel cloud = CloudModel.of(BOOT, LAG, List
		.of(new Offer("a", "gpu", Market.RECLAIMABLE, 0.5, 0.1), new Offer("a", "gpu", Market.ON_DEMAND, 2, 0)));

	// -- boots and ends

	@Test
	void shouldRunWhenBootIsCarriedOut() {
		offer("m1");
		Vm vm = buy("token", 0);
		assertThat(vm.state()).isEqualTo(VmState.STARTING);
		assertThat(this.cloud.advance(BOOT - 1)).isEmpty();
		assertThat(this.cloud.advance(BOOT)).containsExactly(new Boot(vm.id(), "pool", "m1"));
		this.cloud.booted(vm.id(), BOOT);
		assertThat(this.cloud.vms(BOOT)).singleElement().returns(VmState.RUNNING, Vm::state).returns("m1", Vm::address);
	}

	@Test
	void shouldSellNothingTwiceWhenTokenIsRepeated() {
		offer("m1");
		offer("m2");
		assertThat(buy("token", 0)).isEqualTo(buy("token", 10));
		assertThat(this.cloud.vms(10)).hasSize(1);
	}

	@Test
	void shouldSellNothingWhenNoMachineOfSortIsFree() {
		offer("m1");
		buy("first", 0);
		assertThat(this.cloud.buy(purchase("second", "a", Market.RECLAIMABLE), 0)).isEmpty();
		assertThat(this.cloud.buy(purchase("third", "b", Market.RECLAIMABLE), 0)).isEmpty();
	}

	// A VM that was just bought ends at once. The VM before it on the machine was given
	// back while it booted; its halt arrives late and strikes the next VM.
	@Test
	void shouldSellMachineOnlyAfterHaltWhenVmIsGivenBackDuringBoot() {
		offer("m1");
		Vm vm = buy("first", 0);
		this.cloud.advance(BOOT);
		this.cloud.release(vm.id(), BOOT);
		assertThat(this.cloud.advance(BOOT)).isEmpty();
		assertThat(this.cloud.buy(purchase("second", "a", Market.RECLAIMABLE), BOOT)).isEmpty();
		this.cloud.booted(vm.id(), BOOT + 1);
		assertThat(this.cloud.advance(BOOT + 1)).containsExactly(new Halt(vm.id(), "m1"));
		assertThat(this.cloud.buy(purchase("second", "a", Market.RECLAIMABLE), BOOT + 1)).isEmpty();
		this.cloud.halted(vm.id());
		assertThat(this.cloud.buy(purchase("second", "a", Market.RECLAIMABLE), BOOT + 2)).isPresent();
	}

	@Test
	void shouldBeGoneWhenBootFails() {
		offer("m1");
		Vm vm = buy("token", 0);
		this.cloud.advance(BOOT);
		this.cloud.bootFailed(vm.id(), BOOT);
		assertThat(this.cloud.vms(BOOT)).singleElement().returns(VmState.GONE, Vm::state);
		assertThat(this.cloud.buy(purchase("next", "a", Market.RECLAIMABLE), BOOT)).isEmpty();
	}

	// Whatever the order of purchases, reclaims, releases and the machines' answers: no
	// machine boots a second VM before the first was halted, and no VM that booted ends
	// without a halt.
	@Property(tries = 300, seed = "-1829650639855547712")
	void shouldKeepOneVmPerMachineWhenEventsComeInAnyOrder(@ForAll long seed) {
		Random random = new Random(seed);
		CloudModel model = CloudModel.of(BOOT, LAG, List.of());
		List.of("m1", "m2", "m3").forEach((address) -> model.offer(new SlotOffer(address, "runner", "a", "gpu")));
		Map<String, VmId> onMachine = new HashMap<>();
		List<MachineAction> open = new ArrayList<>();
		long now = 0;
		for (int step = 0; step < 200; step++) {
			now += random.nextInt(200);
			long at = now;
			List<Vm> vms = model.vms(now);
			switch (random.nextInt(5)) {
				case 0 -> model.buy(purchase("token" + random.nextInt(60), "a", Market.RECLAIMABLE), now);
				case 1 -> any(vms, random).forEach((vm) -> model.release(vm.id(), at));
				case 2 -> any(vms, random).forEach((vm) -> model.reclaim(vm.id(), random.nextInt(3) * 200L, true, at));
				default -> finishOne(model, open, onMachine, random, now);
			}
			open.addAll(model.advance(now));
		}
		while (!open.isEmpty()) {
			finishOne(model, open, onMachine, random, now);
			open.addAll(model.advance(now));
		}
		List<VmId> alive = model.vms(now).stream().filter((vm) -> vm.state() != VmState.GONE).map(Vm::id).toList();
		assertThat(alive).containsAll(onMachine.values());
	}

	private static void finishOne(CloudModel model, List<MachineAction> open, Map<String, VmId> onMachine,
			Random random, long now) {
		if (open.isEmpty()) {
			return;
		}
		switch (open.remove(random.nextInt(open.size()))) {
			case Boot boot when random.nextInt(10) == 0 -> model.bootFailed(boot.vm(), now);
			case Boot boot -> {
				assertThat(onMachine.put(boot.address(), boot.vm())).isNull();
				model.booted(boot.vm(), now);
			}
			case Halt halt -> {
				assertThat(onMachine.remove(halt.address())).isEqualTo(halt.vm());
				model.halted(halt.vm());
			}
		}
	}

	private static List<Vm> any(List<Vm> vms, Random random) {
		return vms.isEmpty() ? List.of() : List.of(vms.get(random.nextInt(vms.size())));
	}

	// -- reclaims

	@Test
	void shouldEndAfterNoticeWhenReclaimed() {
		Vm vm = running("m1", "token");
		assertThat(this.cloud.reclaim(vm.id(), 3000, true, 1000)).isTrue();
		assertThat(this.cloud.notices(0, 1500)).containsExactly(new Notice(1, vm.id(), 2500));
		assertThat(this.cloud.notices(1, 1500)).isEmpty();
		assertThat(this.cloud.advance(3999)).isEmpty();
		assertThat(this.cloud.vms(3999)).singleElement().returns(VmState.RECLAIMING, Vm::state);
		assertThat(this.cloud.advance(4000)).containsExactly(new Halt(vm.id(), "m1"));
		assertThat(this.cloud.vms(4000)).singleElement().returns(VmState.GONE, Vm::state);
	}

	@Test
	void shouldEndUnannouncedWhenNoticeIsZero() {
		Vm vm = running("m1", "token");
		this.cloud.reclaim(vm.id(), 0, true, 1000);
		assertThat(this.cloud.notices(0, 1000)).isEmpty();
		assertThat(this.cloud.advance(1000)).containsExactly(new Halt(vm.id(), "m1"));
	}

	@Test
	void shouldChooseSameShareWhenSeedIsSame() {
		List.of("m1", "m2", "m3", "m4").forEach((address) -> running(address, address));
		List<Vm> chosen = this.cloud.reclaimableShare(0.5, new Random(3));
		assertThat(chosen).hasSize(2).isEqualTo(this.cloud.reclaimableShare(0.5, new Random(3)));
	}

	@Test
	void shouldLeaveOnDemandVmsWhenShareIsReclaimed() {
		offer("m1");
		this.cloud.buy(purchase("token", "a", Market.ON_DEMAND), 0);
		assertThat(this.cloud.reclaimable()).isEmpty();
	}

	// -- the VM list

	@Test
	void shouldShowChangesAfterLagWhenListIsRead() {
		Vm vm = running("m1", "token");
		Listed listed = new Listed(vm.id(), "runner", "pool", "a", "m1", false);
		assertThat(this.cloud.listed(false, BOOT + LAG - 1)).isEmpty();
		assertThat(this.cloud.listed(false, BOOT + LAG)).containsExactly(listed);
		this.cloud.reclaim(vm.id(), 10_000, false, 5000);
		assertThat(this.cloud.listed(false, 5000 + LAG - 1)).containsExactly(listed);
		assertThat(this.cloud.listed(false, 5000 + LAG)).singleElement().returns(true, Listed::leaving);
		this.cloud.advance(15_000);
		assertThat(this.cloud.listed(true, 15_000 + LAG)).hasSize(1);
		assertThat(this.cloud.listed(false, 15_000 + LAG)).isEmpty();
	}

	@Test
	void shouldTakeEntryOutOfListWhenItsReclaimEnds() {
		VmId entry = new VmId("entry-1");
		this.cloud.addEntry(entry, "a", "127.0.0.1:9", 0);
		assertThat(this.cloud.reclaim(entry, 1000, true, 5000)).isTrue();
		assertThat(this.cloud.notices(0, 5000)).containsExactly(new Notice(1, entry, 1000));
		this.cloud.advance(6000);
		assertThat(this.cloud.listed(false, 6000 + LAG)).isEmpty();
		assertThat(this.cloud.reclaim(entry, 1000, true, 7000)).isFalse();
	}

	// -- cost

	@Test
	void shouldAddUpCostWhenVmsAreHeld() {
		Vm gone = running("m1", "first");
		this.cloud.release(gone.id(), HOUR);
		offer("m2");
		this.cloud.buy(purchase("second", "a", Market.ON_DEMAND), HOUR);
		List<PlatformStats.Cost> costs = this.cloud.costs(3 * HOUR);
		assertThat(costs).extracting(PlatformStats.Cost::market).containsExactly(Market.RECLAIMABLE, Market.ON_DEMAND);
		assertThat(costs.get(0).cost()).isEqualTo(0.5, within(1e-9));
		assertThat(costs.get(1).vmHours()).isEqualTo(2.0, within(1e-9));
		assertThat(costs.get(1).cost()).isEqualTo(4.0, within(1e-9));
	}

	// -- help

	private Vm buy(String token, long now) {
		return this.cloud.buy(purchase(token, "a", Market.RECLAIMABLE), now).orElseThrow();
	}

	private void offer(String address) {
		this.cloud.offer(new SlotOffer(address, "runner", "a", "gpu"));
	}

	private static Purchase purchase(String token, String zone, Market market) {
		return new Purchase(token, "pool", zone, "gpu", market);
	}

	private Vm running(String address, String token) {
		offer(address);
		Vm vm = buy(token, 0);
		this.cloud.advance(BOOT);
		this.cloud.booted(vm.id(), BOOT);
		return vm;
	}

}
