package org.rosemaryfront.gateway;

import java.time.Duration;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.Function;
import java.util.stream.IntStream;

import com.codahale.metrics.Counter;
import reactor.core.publisher.Mono;

import org.rosemaryfront.duties.PoolSize;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.ports.Duties;
import org.rosemaryfront.ports.RowStore;
import org.rosemaryfront.ports.StoreException;
import org.rosemaryfront.traffic.TrafficMetrics;

/**
 * Counts the calls of this gateway to the platform by kind and outcome, in metrics and in
 * a log event at an interval. Thread-safe.
 */
final class PlatformCalls implements AutoCloseable {

	/** The interval between two log events, in nanoseconds. */
	private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

	private static final int OUTCOMES = Outcome.values().length;

	private static final String[] NAMES = IntStream.range(0, Kind.values().length * OUTCOMES)
		.mapToObj((index) -> name(Kind.values()[index / OUTCOMES]) + '.' + name(Outcome.values()[index % OUTCOMES]))
		.toArray(String[]::new);

	private final Counter[] byKind;

	private final Counter[] byOutcome;

	/** The calls since the last log event. */
	private final AtomicLongArray counts = new AtomicLongArray(NAMES.length);

	private long loggedNanos;

	/**
	 * Creates the counts, which are all zero.
	 * @param metrics the metrics of the gateway
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	PlatformCalls(TrafficMetrics metrics, long nowNanos) {
		this.byKind = counters(metrics, Kind.values());
		this.byOutcome = counters(metrics, Outcome.values());
		this.loggedNanos = nowNanos;
	}

	private static Counter[] counters(TrafficMetrics metrics, Enum<?>[] constants) {
		return Arrays.stream(constants)
			.map((constant) -> metrics.registry().counter("platform.calls." + name(constant)))
			.toArray(Counter[]::new);
	}

	/**
	 * Returns a store whose calls are counted.
	 * @param store the store
	 * @return the store to call
	 */
	RowStore counting(RowStore store) {
		return new CountedStore(store);
	}

	/**
	 * Returns duties whose calls are counted.
	 * @param duties the duties
	 * @return the duties to call
	 */
	Duties counting(Duties duties) {
		return new CountedDuties(duties);
	}

	/**
	 * Logs the calls since the last log event when the interval has passed.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void tick(long nowNanos) {
		if (nowNanos - this.loggedNanos >= LOG_INTERVAL_NANOS) {
			this.loggedNanos = nowNanos;
			log();
		}
	}

	/** Logs the calls since the last log event. */
	@Override
	public void close() {
		log();
	}

	private void log() {
		String calls = takeCounts();
		if (!calls.isEmpty()) {
			EventLog.info(GatewayEvents.PLATFORM_CALLS, "calls", calls);
		}
	}

	/**
	 * Returns the calls since the last call of this method.
	 * @return the counts by kind and outcome, without those that are zero
	 */
	String takeCounts() {
		StringBuilder text = new StringBuilder();
		for (int index = 0; index < NAMES.length; index++) {
			long count = this.counts.getAndSet(index, 0);
			if (count > 0) {
				text.append(text.isEmpty() ? "" : " ").append(NAMES[index]).append('=').append(count);
			}
		}
		return text.toString();
	}

	private <T> Mono<T> counted(Mono<T> call, Kind kind, Function<T, Outcome> outcome) {
		return call.doOnSuccess((result) -> add(kind, outcome.apply(result)))
			.doOnError((failure) -> add(kind, outcome(failure)))
			.doOnCancel(() -> add(kind, Outcome.NO_ANSWER));
	}

	private void add(Kind kind, Outcome outcome) {
		this.counts.incrementAndGet(kind.ordinal() * OUTCOMES + outcome.ordinal());
		this.byKind[kind.ordinal()].inc();
		this.byOutcome[outcome.ordinal()].inc();
	}

	private static Outcome outcome(Throwable failure) {
		return (failure instanceof StoreException ex) ? switch (ex.reason()) {
			case BUSY, UNAVAILABLE -> Outcome.TURNED_AWAY;
			case FENCED -> Outcome.CONDITION_FAILED;
			case HISTORY_LOST, NONE_AVAILABLE, REJECTED, RESTORED -> Outcome.REFUSED;
			case UNREACHABLE -> Outcome.NO_ANSWER;
		} : Outcome.NO_ANSWER;
	}

	private static String name(Enum<?> constant) {
		return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	/** What a call is for. */
	private enum Kind {

		FEED, CHECK, RANGE, POINT_READ, LEASE_WRITE, USAGE_WRITE, DIRECTORY_WRITE, CRASH_WRITE, ROLLOUT_WRITE,
		OTHER_WRITE, USAGE_REPORT, ORDER;

		private static final Map<String, Kind> WRITES = Map.of(DutyLease.TABLE, LEASE_WRITE, UsageDuty.TABLE,
				USAGE_WRITE, GatewayDirectory.TABLE, DIRECTORY_WRITE, CrashRows.TABLE, CRASH_WRITE, RolloutDuty.TABLE,
				ROLLOUT_WRITE);

	}

	/** How a call ended. */
	private enum Outcome {

		OK, CONDITION_FAILED, REFUSED, TURNED_AWAY, NO_ANSWER

	}

	/** Counts the calls to a store. */
	private final class CountedStore implements RowStore {

		private final RowStore store;

		private CountedStore(RowStore store) {
			this.store = store;
		}

		@Override
		public Mono<RowStore.Outcome> commit(Commit commit) {
			return counted(this.store.commit(commit), Kind.WRITES.getOrDefault(commit.table(), Kind.OTHER_WRITE),
					(outcome) -> (outcome instanceof RowStore.Outcome.Committed) ? PlatformCalls.Outcome.OK
							: PlatformCalls.Outcome.CONDITION_FAILED);
		}

		@Override
		public Mono<Page> read(Range range) {
			return read(range, Transfer.UNOBSERVED);
		}

		@Override
		public Mono<Page> read(Range range, Transfer transfer) {
			boolean single = range.to().equals(range.from() + '\0');
			return counted(this.store.read(range, transfer), single ? Kind.POINT_READ : Kind.RANGE,
					(_) -> PlatformCalls.Outcome.OK);
		}

		@Override
		public Mono<Page> changes(String table, long since, Duration wait) {
			return changes(table, since, wait, Transfer.UNOBSERVED);
		}

		@Override
		public Mono<Page> changes(String table, long since, Duration wait, Transfer transfer) {
			return counted(this.store.changes(table, since, wait, transfer), wait.isZero() ? Kind.CHECK : Kind.FEED,
					(_) -> PlatformCalls.Outcome.OK);
		}

	}

	/** Counts the calls of the duties. */
	private final class CountedDuties implements Duties {

		private final Duties duties;

		private CountedDuties(Duties duties) {
			this.duties = duties;
		}

		@Override
		public Mono<Void> reportUsage(long fence, long window, Map<String, Long> counts) {
			return counted(this.duties.reportUsage(fence, window, counts), Kind.USAGE_REPORT, (_) -> Outcome.OK);
		}

		@Override
		public Mono<Void> resize(long fence, PoolSize size) {
			return counted(this.duties.resize(fence, size), Kind.ORDER, (_) -> Outcome.OK);
		}

	}

}
