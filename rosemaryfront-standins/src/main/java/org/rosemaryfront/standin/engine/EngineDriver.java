package org.rosemaryfront.standin.engine;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import org.rosemaryfront.engine.EngineClient.StreamOrder;
import org.rosemaryfront.engine.EngineEvent;
import org.rosemaryfront.model.AttemptId;
import org.rosemaryfront.serving.ServingEvent.Refusal;

/**
 * Drives an {@link EngineModel} on real time, on one thread, and hands the events of its
 * streams to the connections attached to them.
 */
final class EngineDriver implements AutoCloseable {

	private static final Duration HEARTBEAT_CHECK = Duration.ofMillis(50);

	private final ScheduledThreadPoolExecutor thread = new ScheduledThreadPoolExecutor(1,
			Thread.ofPlatform().name("engine").daemon().factory());

	private final Map<AttemptId, List<StreamSubscriber>> subscribers = new HashMap<>();

	private final Set<String> fetching = new HashSet<>();

	private final Deque<Runnable> held = new ArrayDeque<>();

	private final long origin = System.nanoTime();

	private final EngineSettings settings;

	private final Function<String, Mono<Void>> weights;

	private EngineModel model;

	private EngineCounters earlier = EngineCounters.ZERO;

	private ScheduledFuture<?> wakeUp;

	private long wakeUpAt = Long.MAX_VALUE;

	private long frozenUntil;

	private long refusingUntil;

	private Refusal refusal = Refusal.FULL;

	private volatile boolean booted;

	EngineDriver(EngineSettings settings, Function<String, Mono<Void>> weights) {
		this.settings = settings;
		this.weights = weights;
		this.thread.setRemoveOnCancelPolicy(true);
		this.model = newModel();
		long millis = HEARTBEAT_CHECK.toMillis();
		this.thread.scheduleAtFixedRate(this::heartbeat, millis, millis, TimeUnit.MILLISECONDS);
	}

	// -- VM

	boolean booted() {
		return this.booted;
	}

	Mono<Void> boot() {
		return onThread(() -> this.booted = true);
	}

	// The memory of a VM that ends is gone; so are the calls it had not answered.
	Mono<Void> halt() {
		return onThread(() -> {
			this.booted = false;
			this.earlier = this.earlier.plus(this.model.counters());
			this.subscribers.clear();
			this.held.clear();
			this.frozenUntil = 0;
			this.refusingUntil = 0;
			this.model = newModel();
		});
	}

	// -- calls

	// Calls the model; a frozen engine takes the call when it thaws.
	<T> Mono<T> call(Function<Call, T> work) {
		return Mono.create((result) -> {
			long receivedAt = now();
			this.thread.execute(() -> takeOrHold(() -> {
				try {
					result.success(work.apply(new Call(this.model, now(), receivedAt)));
					fetchWeights();
				}
				catch (RuntimeException ex) {
					result.error(ex);
				}
			}));
		});
	}

	Mono<Opening> open(StreamOrder order) {
		return call((call) -> {
			Optional<Flux<EngineEvent>> known = attachNow(call, order.attempt(), order.emitted().size());
			if (known.isPresent()) {
				return new Opening(Optional.empty(), known.get());
			}
			if (call.now() < this.refusingUntil) {
				return new Opening(Optional.of(this.refusal), Flux.empty());
			}
			StreamSubscriber subscriber = subscribe(order.attempt(), List.of(), call.now());
			Optional<Refusal> refused = call.model().open(call.now(), order);
			refused.ifPresent((_) -> this.subscribers.remove(order.attempt()));
			return new Opening(refused, subscriber.events());
		});
	}

	Mono<Optional<Flux<EngineEvent>>> attach(AttemptId attempt, int offset) {
		return call((call) -> attachNow(call, attempt, offset));
	}

	private Optional<Flux<EngineEvent>> attachNow(Call call, AttemptId attempt, int offset) {
		return call.model()
			.replay(call.now(), attempt, offset)
			.map((events) -> subscribe(attempt, events, call.now()).events());
	}

	private StreamSubscriber subscribe(AttemptId attempt, List<EngineEvent> first, long now) {
		StreamSubscriber subscriber = new StreamSubscriber(attempt, now,
				(gone) -> this.thread.execute(() -> unsubscribe(attempt, gone)));
		this.subscribers.computeIfAbsent(attempt, (_) -> new ArrayList<>(1)).add(subscriber);
		first.forEach((event) -> subscriber.next(event, now));
		if (subscriber.ended()) {
			unsubscribe(attempt, subscriber);
		}
		return subscriber;
	}

	private void unsubscribe(AttemptId attempt, StreamSubscriber gone) {
		this.subscribers.computeIfPresent(attempt, (_, attached) -> {
			attached.remove(gone);
			return attached.isEmpty() ? null : attached;
		});
	}

	// -- faults

	void freeze(long millis) {
		onThread(() -> {
			this.frozenUntil = now() + TimeUnit.MILLISECONDS.toNanos(millis);
			this.model.freeze(now(), this.frozenUntil);
			this.thread.schedule(this::thaw, millis, TimeUnit.MILLISECONDS);
		}).subscribe();
	}

	void slow(long millis, double factor) {
		onThread(() -> this.model.slow(factor)).subscribe();
		this.thread.schedule(() -> this.model.slow(1), millis, TimeUnit.MILLISECONDS);
	}

	void refuse(long millis, Refusal reason) {
		onThread(() -> {
			this.refusal = reason;
			this.refusingUntil = now() + TimeUnit.MILLISECONDS.toNanos(millis);
		}).subscribe();
	}

	void delayCacheEvents(long millis, long delayMillis) {
		onThread(() -> this.model.delayCacheEvents(TimeUnit.MILLISECONDS.toNanos(delayMillis))).subscribe();
		this.thread.schedule(() -> this.model.delayCacheEvents(0), millis, TimeUnit.MILLISECONDS);
	}

	void clearFaults() {
		onThread(() -> {
			this.refusingUntil = 0;
			this.model.slow(1);
			this.model.delayCacheEvents(0);
			if (this.frozenUntil > now()) {
				this.frozenUntil = 0;
				this.model.freeze(now(), now());
				thaw();
			}
		}).subscribe();
	}

	// -- queries

	Mono<EngineCounters> counters() {
		return Mono
			.create((result) -> this.thread.execute(() -> result.success(this.earlier.plus(this.model.counters()))));
	}

	Mono<Integer> memoryUsed() {
		return Mono.create((result) -> this.thread.execute(() -> result.success(this.model.memoryUsed())));
	}

	long now() {
		return System.nanoTime() - this.origin;
	}

	@Override
	public void close() {
		this.thread.shutdownNow();
	}

	// -- the thread

	private EngineModel newModel() {
		EngineModel made = EngineModel.of(this.settings.engineParameters(), this.settings.seed(), this::publish);
		made.preload(now(), this.settings.models(), this.settings.adapters());
		return made;
	}

	private Mono<Void> onThread(Runnable work) {
		return Mono.create((result) -> this.thread.execute(() -> {
			work.run();
			arm();
			result.success();
		}));
	}

	private void takeOrHold(Runnable work) {
		if (now() < this.frozenUntil) {
			this.held.add(work);
		}
		else {
			work.run();
			arm();
		}
	}

	private void thaw() {
		if (now() >= this.frozenUntil) {
			List<Runnable> work = List.copyOf(this.held);
			this.held.clear();
			work.forEach(Runnable::run);
			arm();
		}
	}

	private void arm() {
		long next = this.model.nextEventAt();
		if (next != this.wakeUpAt) {
			if (this.wakeUp != null) {
				this.wakeUp.cancel(false);
			}
			this.wakeUpAt = next;
			this.wakeUp = (next != Long.MAX_VALUE)
					? this.thread.schedule(this::step, Math.max(0, next - now()), TimeUnit.NANOSECONDS) : null;
		}
	}

	private void step() {
		this.wakeUpAt = Long.MAX_VALUE;
		this.wakeUp = null;
		this.model.advance(now());
		arm();
	}

	private void publish(EngineEvent event) {
		List<StreamSubscriber> attached = this.subscribers.getOrDefault(event.attempt(), List.of());
		long now = now();
		for (StreamSubscriber subscriber : attached) {
			subscriber.next(event, now);
		}
		if (event instanceof EngineEvent.Done || event instanceof EngineEvent.Stopped) {
			this.subscribers.remove(event.attempt());
		}
	}

	private void heartbeat() {
		long now = now();
		if (now >= this.frozenUntil) {
			this.subscribers.values().forEach((attached) -> attached.forEach((each) -> each.heartbeat(now)));
		}
	}

	private void fetchWeights() {
		EngineModel wanting = this.model;
		for (String name : wanting.notFetched()) {
			if (this.fetching.add(name)) {
				this.weights.apply(name).subscribe(null, (_) -> fetched(wanting, name), () -> fetched(wanting, name));
			}
		}
	}

	// Weights that arrive after a reboot belong to the memory that is gone.
	private void fetched(EngineModel wanting, String name) {
		this.thread.execute(() -> {
			this.fetching.remove(name);
			if (wanting == this.model) {
				wanting.fetched(now(), name);
			}
			fetchWeights();
		});
	}

	/**
	 * A call that the model takes.
	 *
	 * @param model the model
	 * @param now the time
	 * @param receivedAt when the call arrived
	 */
	record Call(EngineModel model, long now, long receivedAt) {
	}

	/**
	 * What became of opening a stream.
	 *
	 * @param refusal why it was refused, empty when it was taken
	 * @param events the events of the stream
	 */
	record Opening(Optional<Refusal> refusal, Flux<EngineEvent> events) {
	}

}
