package org.rosemaryfront.load;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpMethod;
import reactor.core.publisher.Mono;

import org.rosemaryfront.load.LoadHttp.Call;
import org.rosemaryfront.load.LoadReport.Bookings;
import org.rosemaryfront.load.LoadSettings.Kind;

/**
 * A seeded load run. Requests are sent at their times whether or not earlier ones were
 * answered (an open loop), but never more at once than the bound.
 *
 * <pre>
 * LoadRun run = LoadRun.start(settings);
 * breakSomething();
 * LoadReport report = run.await();
 * </pre>
 */
public final class LoadRun {

	private static final double NANOS_PER_SECOND = 1e9;

	private final CountDownLatch finished = new CountDownLatch(1);

	private final AtomicInteger open = new AtomicInteger();

	private final AtomicBoolean stopped = new AtomicBoolean();

	private final LoadTally tally = new LoadTally();

	private final BookingLedger ledger = new BookingLedger();

	private final LoadSettings settings;

	private final LoadHttp http;

	private volatile long nanos;

	private LoadRun(LoadSettings settings) {
		this.settings = settings;
		this.http = new LoadHttp(settings.entries(), settings.silence());
	}

	// -- factories

	/**
	 * Starts a run.
	 * @param settings what it sends
	 * @return the run, which goes on by itself
	 */
	public static LoadRun start(LoadSettings settings) {
		LoadRun run = new LoadRun(Objects.requireNonNull(settings, "settings is null"));
		Thread.ofPlatform().name("load").daemon().start(run::send);
		return run;
	}

	// -- changes

	/**
	 * Sets the entries that the balancer knows, for requests from now on.
	 * @param entries the base URLs
	 */
	public void entries(List<String> entries) {
		this.http.entries(entries);
	}

	/** Sends nothing new; what is open goes on. */
	public void stop() {
		this.stopped.set(true);
	}

	// -- results

	/**
	 * Waits until all requests were sent and have ended.
	 * @return what callers saw
	 */
	public LoadReport await() {
		try {
			this.finished.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			stop();
		}
		return this.tally.report(compare(), this.nanos);
	}

	/**
	 * What callers have seen so far, without a comparison of bookings.
	 * @return the report
	 */
	public LoadReport soFar() {
		return this.tally.report(this.ledger.compare(Map.of(), false), this.nanos);
	}

	// -- sending

	private void send() {
		SplittableRandom random = new SplittableRandom(this.settings.seed());
		long began = System.nanoTime();
		long end = began + this.settings.duration().toNanos();
		long next = began;
		while (!this.stopped.get() && next < end) {
			LockSupport.parkNanos(next - System.nanoTime());
			if (System.nanoTime() >= next) {
				sendOne(random.split());
				next += (long) (-Math.log(1 - random.nextDouble()) / this.settings.rate() * NANOS_PER_SECOND);
			}
		}
		while (this.open.get() > 0) {
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
		}
		this.nanos = System.nanoTime() - began;
		this.finished.countDown();
	}

	private void sendOne(SplittableRandom random) {
		if (this.open.get() >= this.settings.concurrency()) {
			this.tally.notSent.increment();
			return;
		}
		this.open.incrementAndGet();
		Mono<Void> call = call(random);
		call.doFinally((_) -> this.open.decrementAndGet()).subscribe((_) -> {
		}, (failure) -> this.tally.lost(String.valueOf(failure)));
	}

	private Mono<Void> call(SplittableRandom random) {
		Kind kind = this.settings.mix().kind(random);
		if (kind == Kind.BOOKING) {
			return new BookingCall(this.http, this.tally, this.ledger, this.settings, random).run();
		}
		this.tally.sent.increment();
		return new ModelCall(this.http, this.tally, this.settings, ModelRequest.draw(this.settings, kind, random))
			.run();
	}

	// -- bookings

	private Bookings compare() {
		Map<String, Integer> executions = new HashMap<>();
		for (String service : this.settings.services()) {
			Call call = new Call(HttpMethod.GET, service + "/standin/v1/executions", List.of(), "",
					Optional.of(Duration.ofSeconds(5)));
			JsonNode counts = this.http.call(call, LoadHttp::read).blockFirst().body();
			counts.properties().forEach((key) -> executions.merge(key.getKey(), key.getValue().asInt(), Integer::sum));
		}
		return this.ledger.compare(executions, !this.settings.services().isEmpty());
	}

}
