package org.rosemaryfront.standin.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.node.LongNode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.model.VmId;
import org.rosemaryfront.platform.CloudClient.Market;
import org.rosemaryfront.platform.CloudClient.Purchase;
import org.rosemaryfront.platform.CloudClient.Vm;
import org.rosemaryfront.platform.PlatformException;
import org.rosemaryfront.platform.TableClient.Outcome;
import org.rosemaryfront.platform.TableClient.Transaction;
import org.rosemaryfront.platform.TableClient.Write;
import org.rosemaryfront.standin.platform.Fault.Kind;
import org.rosemaryfront.standin.platform.Fault.Mode;
import org.rosemaryfront.standin.platform.Fault.Service;

import static org.assertj.core.api.Assertions.assertThat;

class InMemoryPlatformTests {

	private static final long TIMEOUT = 1000;

	private final VirtualTimeScheduler time = VirtualTimeScheduler.create();

	private final InMemoryPlatform platform = InMemoryPlatform.of(
			StandinPlatformSettings.standard().rates(40, 200).times(0, 0, TIMEOUT),
			() -> this.time.now(TimeUnit.MILLISECONDS), this.time);

	// -- faults

	@ParameterizedTest(name = "{0} {1}: {2}, written {3}")
	@CsvSource({ "OUTAGE,REFUSE,not-run,false", "OUTAGE,HANG,may-have-run,false",
			"LOST_ANSWER,REFUSE,may-have-run,true", "LOST_ANSWER,HANG,may-have-run,true" })
	void shouldGiveVerdictThatHoldsWhenCommitFails(Kind kind, Mode mode, String verdict, boolean written) {
		this.platform.begin(Fault.of(kind, 5000).with(mode));
		assertThat(failure(commit("k"))).returns(verdict, (failure) -> failure.verdict().code());
		advance(5000);
		assertThat(value(this.platform.read("t", "k")).isPresent()).isEqualTo(written);
	}

	// A claim that was given up shows up as written a second later. The store was slow,
	// the caller's time-out passed, and the store did the write it still had.
	@Test
	void shouldTakeEffectAfterCallerGaveUpWhenSlow() {
		this.platform.begin(Fault.of(Kind.SLOW, 500).delayed(3 * TIMEOUT));
		assertThat(failure(commit("k")).verdict()).isEqualTo(Verdict.mayHaveRun());
		assertThat(value(this.platform.read("t", "k"))).isEmpty();
		advance(3 * TIMEOUT);
		assertThat(value(this.platform.read("t", "k"))).isPresent();
	}

	@Test
	void shouldStrikeOneTableWhenFaultNamesIt() {
		this.platform.begin(Fault.of(Kind.OUTAGE, 5000).onTable("other"));
		assertThat(value(commit("k"))).isInstanceOf(Outcome.Committed.class);
		assertThat(failure(this.platform.read("other", "k")).verdict()).isEqualTo(Verdict.notRun());
	}

	@Test
	void shouldStrikeStorageOnlyWhenFaultNamesNoService() {
		this.platform.begin(Fault.of(Kind.OUTAGE, 5000));
		assertThat(value(this.platform.vms())).isEmpty();
		assertThat(failure(this.platform.getObject("b", "k")).verdict()).isEqualTo(Verdict.notRun());
		this.platform.begin(Fault.of(Kind.OUTAGE, 5000).on(Service.ALL));
		assertThat(failure(this.platform.vms()).verdict()).isEqualTo(Verdict.notRun());
	}

	@Test
	void shouldStrikeSameCallsWhenSeedIsSame() {
		String first = struck();
		assertThat(struck()).isEqualTo(first).contains("x").contains(".");
	}

	private String struck() {
		this.platform.clearFaults();
		this.platform.begin(Fault.of(Kind.OUTAGE, 60_000).sometimes(0.5, 7));
		StringBuilder struck = new StringBuilder();
		for (int i = 0; i < 20; i++) {
			advance(1000);
			AtomicReference<Throwable> failure = new AtomicReference<>();
			this.platform.read("t", "k").subscribe((_) -> {
			}, failure::set);
			struck.append((failure.get() != null) ? 'x' : '.');
		}
		return struck.toString();
	}

	// A machine was paid for and nobody knows it. The cloud sold it, and its answer was
	// lost; only the repeat with the same token tells the buyer which VM it has.
	@Test
	void shouldSellOneVmWhenAnswerToPurchaseIsLost() {
		this.platform.offer(new SlotOffer("m1", "runner", "a", "gpu"));
		this.platform.offer(new SlotOffer("m2", "runner", "a", "gpu"));
		this.platform.begin(Fault.of(Kind.LOST_ANSWER, 1000).on(Service.CLOUD));
		assertThat(failure(buy("token")).verdict()).isEqualTo(Verdict.mayHaveRun());
		this.platform.clearFaults();
		VmId repeat = value(buy("token")).id();
		assertThat(value(this.platform.vms())).singleElement().returns(repeat, (vm) -> vm.id());
	}

	@Test
	void shouldRefuseStartsWhenFaultSaysSo() {
		this.platform.offer(new SlotOffer("m1", "runner", "a", "gpu"));
		this.platform.begin(Fault.of(Kind.REFUSE_STARTS, 1000));
		assertThat(failure(buy("token"))).returns(true, PlatformException::isRefusedStart);
		advance(1000);
		assertThat(value(buy("token")).address()).isEmpty();
	}

	@ParameterizedTest
	@EnumSource(names = { "FREEZE_VM_LIST", "LOSE_NOTICES" })
	void shouldStillWarnOnOtherSideWhenOneIsLost(Kind kind) {
		this.platform.offer(new SlotOffer("m1", "runner", "a", "gpu"));
		VmId vm = value(buy("token")).id();
		this.platform.tick();
		assertThat(value(this.platform.vmList())).singleElement().returns(false, (listed) -> listed.leaving());
		this.platform.begin(Fault.of(kind, 10_000));
		this.platform.reclaim(new Reclaim.OfZone("a"), 5000);
		boolean noticed = kind == Kind.FREEZE_VM_LIST;
		assertThat(value(this.platform.notices(0))).hasSize(noticed ? 1 : 0);
		assertThat(value(this.platform.vmList())).singleElement()
			.returns(vm, (listed) -> listed.vm())
			.returns(!noticed, (listed) -> listed.leaving());
	}

	// -- rates

	// The store refuses what is above its rate, and the refusal had no effect: a caller
	// may answer not-run. Were the refused write done all the same, the answer would be
	// a lie.
	@Test
	void shouldRefuseWithoutEffectWhenAboveRate() {
		int committed = 0;
		int refused = 0;
		for (int i = 0; i < 1000; i++) {
			advance(10);
			AtomicReference<Throwable> failure = new AtomicReference<>();
			commit("k" + i).subscribe((_) -> {
			}, failure::set);
			if (failure.get() == null) {
				committed++;
			}
			else {
				refused++;
				assertThat(((PlatformException) failure.get()).verdict()).isEqualTo(Verdict.notRun());
			}
		}
		assertThat(committed).isBetween(400, 410);
		assertThat(this.platform.stats()).returns((long) committed, PlatformStats::writes)
			.returns((long) refused, PlatformStats::overRate)
			.returns((long) committed, PlatformStats::rowsWritten);
	}

	// -- objects

	@Test
	void shouldGiveBackObjectWhenWritten() {
		value(this.platform.putObject("b", "k", new byte[] { 1, 2 }).thenReturn(true));
		assertThat(value(this.platform.getObject("b", "k")))
			.hasValueSatisfying((content) -> assertThat(content).containsExactly(1, 2));
		value(this.platform.deleteObject("b", "k").thenReturn(true));
		assertThat(value(this.platform.getObject("b", "k"))).isEmpty();
	}

	// -- help

	private void advance(long millis) {
		this.time.advanceTimeBy(Duration.ofMillis(millis));
	}

	private Mono<Vm> buy(String token) {
		return this.platform.buy(new Purchase(token, "pool", "a", "gpu", Market.RECLAIMABLE));
	}

	private Mono<Outcome> commit(String key) {
		return this.platform
			.commit(new Transaction(List.of(), List.of(new Write("t", key, Optional.of(LongNode.valueOf(1))))));
	}

	private PlatformException failure(Mono<?> call) {
		AtomicReference<Throwable> failure = new AtomicReference<>();
		run(call, (_) -> {
		}, failure::set);
		assertThat(failure.get()).isInstanceOf(PlatformException.class);
		return (PlatformException) failure.get();
	}

	private <T> T value(Mono<T> call) {
		AtomicReference<T> value = new AtomicReference<>();
		run(call, value::set, (failure) -> {
			throw new AssertionError(failure);
		});
		assertThat(value.get()).isNotNull();
		return value.get();
	}

	private <T> void run(Mono<T> call, Consumer<T> value, Consumer<Throwable> failure) {
		AtomicReference<Boolean> ended = new AtomicReference<>(false);
		call.doFinally((_) -> ended.set(true)).subscribe(value, failure);
		if (!ended.get()) {
			advance(TIMEOUT);
		}
	}

}
