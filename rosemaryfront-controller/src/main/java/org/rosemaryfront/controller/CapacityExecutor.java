package org.rosemaryfront.controller;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import reactor.core.publisher.Mono;

import org.rosemaryfront.capacity.CapacityCommand;
import org.rosemaryfront.capacity.CapacityEvent;
import org.rosemaryfront.engine.EngineClient;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.events.Invariants;
import org.rosemaryfront.lease.LeaseStateMachine;
import org.rosemaryfront.model.VmId;
import org.rosemaryfront.platform.CloudClient;
import org.rosemaryfront.platform.PlatformException;

/**
 * Carries out the commands of the capacity decisions. Used by the control thread; answers
 * come on other threads and are handed to the given consumer.
 *
 * <p>
 * The lease is checked right before each command that changes something: the control
 * thread may have been paused since the decision, and the monotonic clock then shows the
 * term's end.
 */
final class CapacityExecutor {

	private final EngineClient engines;

	private final CloudClient cloud;

	private final IntentTable intents;

	private final LeaseStateMachine lease;

	private final ControllerSettings settings;

	private final BiConsumer<VmId, Long> announce;

	private final Consumer<CapacityEvent> answers;

	private final Consumer<Long> overtaken;

	private final DecisionLog decisions;

	private final AtomicInteger changesUnderWay = new AtomicInteger();

	private long fenceVersion;

	CapacityExecutor(ControllerParts parts, LeaseStateMachine lease, DecisionLog decisions,
			Consumer<CapacityEvent> answers, Consumer<Long> overtaken) {
		this.engines = parts.engines();
		this.cloud = parts.cloud();
		this.intents = IntentTable.of(parts.tables());
		this.settings = parts.settings();
		this.announce = parts.announce();
		this.lease = Objects.requireNonNull(lease, "lease is null");
		this.decisions = decisions;
		this.answers = answers;
		this.overtaken = overtaken;
	}

	// Orders, purchases and releases that were sent and not answered.
	int changesUnderWay() {
		return this.changesUnderWay.get();
	}

	void fenceVersion(long version) {
		this.fenceVersion = version;
	}

	void execute(CapacityCommand command) {
		switch (command) {
			case CapacityCommand.Read read -> read(read);
			case CapacityCommand.ReadState read -> readState(read);
			case CapacityCommand.AnnounceLeaving leaving -> announceLeaving(leaving);
			case CapacityCommand.WriteIntent write -> writeIntent(write);
			case CapacityCommand.DeleteIntent delete -> deleteIntent(delete);
			case CapacityCommand.Buy buy -> buy(buy);
			case CapacityCommand.Release release -> release(release);
			case CapacityCommand.Order order -> order(order);
		}
	}

	// -- reads

	private void read(CapacityCommand.Read read) {
		long asked = System.nanoTime();
		Mono<CapacityEvent> answer = switch (read.source()) {
			case INTENTS -> this.intents.all().map(CapacityEvent.IntentsRead::new);
			case VMS -> this.cloud.vms().map((vms) -> new CapacityEvent.VmsRead(asked, WireTypes.vms(vms)));
			case OFFERS -> this.cloud.offers().map((offers) -> new CapacityEvent.OffersRead(WireTypes.offers(offers)));
			case NOTICES -> this.cloud.notices(read.afterNotice()).map((notices) -> {
				Map<VmId, Long> remaining = new HashMap<>();
				long last = read.afterNotice();
				for (CloudClient.Notice notice : notices) {
					last = Math.max(last, notice.number());
					remaining.put(notice.vm(), notice.remainingMillis());
					EventLog.info(ControllerEvents.VM_RECLAIMED, "vm", notice.vm(), "remainingMillis",
							notice.remainingMillis());
					this.announce.accept(notice.vm(), notice.remainingMillis());
				}
				return new CapacityEvent.NoticesRead(last, remaining);
			});
		};
		answer.timeout(requestTimeout())
			.onErrorResume((failure) -> failed(ControllerEvents.PLATFORM_READ_FAILED, read.source(), failure,
					new CapacityEvent.ReadFailed(read.source())))
			.subscribe(this.answers);
	}

	private void readState(CapacityCommand.ReadState read) {
		long asked = System.nanoTime();
		stateAnswer(read.vm(), asked, this.engines.state(read.address())).subscribe(this.answers);
	}

	private Mono<CapacityEvent> stateAnswer(VmId vm, long askedNanos, Mono<EngineClient.ActualState> answer) {
		long own = this.lease.fence();
		return answer.timeout(requestTimeout()).<CapacityEvent>map((state) -> {
			if (state.fence() > own) {
				this.overtaken.accept(state.fence());
			}
			return new CapacityEvent.StateRead(vm, askedNanos, WireTypes.state(state));
		})
			.onErrorResume((failure) -> failed(ControllerEvents.ENGINE_SILENT, vm, failure,
					new CapacityEvent.StateUnknown(vm)));
	}

	// -- purchases

	private void writeIntent(CapacityCommand.WriteIntent write) {
		String token = write.intent().token();
		if (withheld("intent", token, new CapacityEvent.IntentFailed(token))) {
			return;
		}
		EventLog.info(ControllerEvents.PURCHASE_INTENDED, "token", token, "pool", write.intent().pool(), "sort",
				write.intent().sort(), "reason", write.reason());
		this.decisions.add("buy " + write.intent().sort() + " for " + write.intent().pool() + ": " + write.reason());
		change(written(this.intents.write(write.intent(), this.fenceVersion), token,
				new CapacityEvent.IntentWritten(token)));
	}

	private void deleteIntent(CapacityCommand.DeleteIntent delete) {
		String token = delete.token();
		if (withheld("intent", token, new CapacityEvent.IntentFailed(token))) {
			return;
		}
		EventLog.info(ControllerEvents.PURCHASE_ENDED, "token", token, "how", delete.reason());
		change(written(this.intents.delete(token, this.fenceVersion), token, new CapacityEvent.IntentDeleted(token)));
	}

	private Mono<CapacityEvent> written(Mono<IntentTable.Written> answer, String token, CapacityEvent done) {
		long own = this.lease.fence();
		return answer.timeout(requestTimeout()).map((written) -> switch (written) {
			case DONE -> done;
			case OVERTAKEN -> {
				this.overtaken.accept(own + 1);
				yield new CapacityEvent.IntentFailed(token);
			}
		})
			.onErrorResume((failure) -> failed(ControllerEvents.PURCHASE_UNCERTAIN, token, failure,
					new CapacityEvent.IntentFailed(token)));
	}

	private void buy(CapacityCommand.Buy buy) {
		String token = buy.intent().token();
		if (withheld("purchase", token, new CapacityEvent.BuyOutcomeUnknown(token))) {
			return;
		}
		change(this.cloud.buy(WireTypes.purchase(buy.intent())).timeout(requestTimeout()).<CapacityEvent>map((vm) -> {
			EventLog.info(ControllerEvents.VM_BOUGHT, "vm", vm.id(), "token", token, "pool", vm.pool(), "zone",
					vm.zone(), "market", vm.market());
			return new CapacityEvent.Bought(token, WireTypes.vm(vm));
		}).onErrorResume((failure) -> notBought(buy, failure)));
	}

	private Mono<CapacityEvent> notBought(CapacityCommand.Buy buy, Throwable failure) {
		String token = buy.intent().token();
		if (failure instanceof PlatformException known && known.isRefusedStart()) {
			EventLog.warn(ControllerEvents.VM_START_REFUSED, "token", token, "sort", buy.intent().sort());
			return Mono.just(new CapacityEvent.BuyRefused(token));
		}
		return failed(ControllerEvents.PURCHASE_UNCERTAIN, token, failure, new CapacityEvent.BuyOutcomeUnknown(token));
	}

	// -- VMs

	private void announceLeaving(CapacityCommand.AnnounceLeaving leaving) {
		EventLog.info(ControllerEvents.VM_DRAINING, "vm", leaving.vm(), "reason", leaving.reason());
		this.decisions.add("drain " + leaving.vm() + ": " + leaving.reason());
		this.announce.accept(leaving.vm(), leaving.remainingMillis());
	}

	private void release(CapacityCommand.Release release) {
		VmId vm = release.vm();
		if (withheld("release", vm, new CapacityEvent.ReleaseFailed(vm))) {
			return;
		}
		EventLog.info(ControllerEvents.VM_RELEASED, "vm", vm, "reason", release.reason());
		this.decisions.add("release " + vm + ": " + release.reason());
		change(this.cloud.release(vm)
			.timeout(requestTimeout())
			.thenReturn((CapacityEvent) new CapacityEvent.Released(vm))
			.onErrorResume((failure) -> failed(ControllerEvents.PURCHASE_UNCERTAIN, vm, failure,
					new CapacityEvent.ReleaseFailed(vm))));
	}

	private void order(CapacityCommand.Order order) {
		long now = System.nanoTime();
		long remainingMillis = Duration.ofNanos(this.lease.remainingNanos(now)).toMillis();
		if (remainingMillis == 0) {
			withheld("order", order.vm(), new CapacityEvent.StateUnknown(order.vm()));
			return;
		}
		long valid = Math.min(this.settings.capacity().orderValidityMillis(), remainingMillis);
		EventLog.info(ControllerEvents.ENGINE_ORDERED, "vm", order.vm(), "models", order.models(), "adapters",
				order.adapters(), "drain", order.drain(), "fence", this.lease.fence(), "reason", order.reason());
		this.decisions.add(
				"order " + order.vm() + " " + order.models() + (order.drain() ? " drain" : "") + ": " + order.reason());
		EngineClient.EngineOrder wire = new EngineClient.EngineOrder(this.lease.fence(), valid, order.models(),
				order.adapters(), order.drain() ? WireTypes.DRAIN : WireTypes.SERVE);
		Invariants.check(this.lease.maySendOrders(System.nanoTime()), ControllerEvents.ORDER_WITHOUT_LEASE, "vm",
				order.vm());
		change(stateAnswer(order.vm(), now, this.engines.order(order.address(), wire)));
	}

	// -- shared

	// Whether the lease has ended; the command is then answered as failed.
	private boolean withheld(String what, Object which, CapacityEvent answer) {
		if (this.lease.maySendOrders(System.nanoTime())) {
			return false;
		}
		EventLog.warn(ControllerEvents.ORDER_WITHHELD, "what", what, "which", which);
		this.answers.accept(answer);
		return true;
	}

	private void change(Mono<CapacityEvent> answer) {
		this.changesUnderWay.incrementAndGet();
		answer.doFinally((_) -> this.changesUnderWay.decrementAndGet()).subscribe(this.answers);
	}

	private Duration requestTimeout() {
		return Duration.ofMillis(this.settings.platform().timeoutMillis() * 2);
	}

	private static Mono<CapacityEvent> failed(ControllerEvents code, Object which, Throwable failure,
			CapacityEvent answer) {
		EventLog.warn(code, "which", which, "cause", failure);
		return Mono.just(answer);
	}

}
