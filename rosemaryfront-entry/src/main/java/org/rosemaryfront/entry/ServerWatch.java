package org.rosemaryfront.entry;

import java.time.Duration;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.function.LongFunction;
import java.util.function.Supplier;

import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;

import org.rosemaryfront.engine.EngineClient;
import org.rosemaryfront.entry.ServerDirectory.Known;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.model.VmId;
import org.rosemaryfront.platform.CloudClient;
import org.rosemaryfront.serving.ServingEvent;
import org.rosemaryfront.serving.ServingEvent.LeavingSource;

/**
 * Polls the VM list, reclaim notices, and the load and cache events of engines.
 *
 * <p>
 * Every rate is bounded: polls of the platform by a rate for the fleet, divided among the
 * live entry processes, since departures spread among peers; polls of engines by a rate
 * for this process, round robin, however many runners there are.
 */
final class ServerWatch implements AutoCloseable {

	private static final double JITTER = 0.2;

	private final Disposable.Composite polls = Disposables.composite();

	private final Map<VmId, Long> cacheEvents = new ConcurrentHashMap<>();

	private final CloudClient cloud;

	private final EngineClient engines;

	private final ServerDirectory directory;

	private final ServerDirectory.Listener listener;

	private final EntrySettings.Watch settings;

	private final IntSupplier livePeers;

	private volatile long lastNotice;

	ServerWatch(CloudClient cloud, EngineClient engines, ServerDirectory directory, ServerDirectory.Listener listener,
			EntrySettings.Watch settings, IntSupplier livePeers) {
		this.cloud = cloud;
		this.engines = engines;
		this.directory = directory;
		this.listener = listener;
		this.settings = settings;
		this.livePeers = livePeers;
	}

	/**
	 * Starts polling.
	 */
	void start() {
		repeat("vm-list", () -> fleetInterval(this.settings.vmListMillis()), this::pollList);
		repeat("notices", () -> fleetInterval(this.settings.noticesMillis()), this::pollNotices);
		repeat("load", () -> Duration.ofMillis(TimeUnit.SECONDS.toMillis(1) / this.settings.loadPollsPerSecond()),
				roundRobin(this::pollLoad));
		repeat("cache", () -> Duration.ofMillis(TimeUnit.SECONDS.toMillis(1) / this.settings.cachePollsPerSecond()),
				roundRobin(this::pollCache));
	}

	@Override
	public void close() {
		this.polls.dispose();
	}

	// -- polls

	private Mono<Void> pollList() {
		return this.cloud.vmList().doOnNext(this.directory::listed).then();
	}

	private Mono<Void> pollNotices() {
		return this.cloud.notices(this.lastNotice).doOnNext((notices) -> notices.forEach(this::take)).then();
	}

	private void take(CloudClient.Notice notice) {
		this.lastNotice = Math.max(this.lastNotice, notice.number());
		this.directory.left(notice.vm(), LeavingSource.RECLAIM_NOTICE, notice.remainingMillis());
	}

	private Mono<Void> pollLoad(Known runner) {
		return this.engines.load(runner.address())
			.doOnNext((load) -> this.listener.post(new ServingEvent.LoadReported(runner.vm(), load.running(),
					load.queued(), load.tokensPerSecond(), TimeUnit.MILLISECONDS.toNanos(load.ageMillis()))))
			.then();
	}

	private Mono<Void> pollCache(Known runner) {
		long after = this.cacheEvents.getOrDefault(runner.vm(), 0L);
		return this.engines.cacheEvents(runner.address(), after).doOnNext((events) -> {
			this.cacheEvents.put(runner.vm(), events.last());
			if (events.gap() || !events.added().isEmpty() || !events.removed().isEmpty()) {
				this.listener
					.post(new ServingEvent.CacheReported(runner.vm(), events.added(), events.removed(), events.gap()));
			}
		}).then();
	}

	// -- scheduling

	private Supplier<Mono<Void>> roundRobin(Function<Known, Mono<Void>> poll) {
		Iterator<Known> next = new Iterator<>() {

			private List<Known> left = List.of();

			@Override
			public boolean hasNext() {
				if (this.left.isEmpty()) {
					this.left = ServerWatch.this.directory.runners();
					ServerWatch.this.cacheEvents.keySet()
						.removeIf((vm) -> ServerWatch.this.directory.find(vm).isEmpty());
				}
				return !this.left.isEmpty();
			}

			@Override
			public Known next() {
				Known first = this.left.getFirst();
				this.left = this.left.subList(1, this.left.size());
				return first;
			}

		};
		return () -> next.hasNext() ? poll.apply(next.next()) : Mono.empty();
	}

	// The time between two polls when the fleet shares its rate among the entries.
	private Duration fleetInterval(long millis) {
		long shared = (long) (this.livePeers.getAsInt() * 1000.0 / this.settings.fleetPollsPerSecond());
		return Duration.ofMillis(Math.max(millis, shared));
	}

	private void repeat(String name, Supplier<Duration> interval, Supplier<Mono<Void>> poll) {
		LongFunction<Mono<Long>> pause = (_) -> Mono.delay(jittered(interval.get()));
		this.polls.add(Mono.defer(poll)
			.timeout(Duration.ofMillis(this.settings.pollTimeoutMillis()))
			.onErrorResume((failure) -> {
				EventLog.info(ServingEvents.POLL_FAILED, "poll", name, "cause", failure);
				return Mono.empty();
			})
			.repeatWhen((rounds) -> rounds.concatMap(pause::apply))
			.subscribe());
	}

	private static Duration jittered(Duration interval) {
		double factor = 1 + JITTER * (ThreadLocalRandom.current().nextDouble() - 0.5);
		return Duration.ofMillis(Math.max(1, (long) (interval.toMillis() * factor)));
	}

}
