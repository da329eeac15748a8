package org.rosemaryfront.gateway;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.resources.LoopResources;

import org.rosemaryfront.gateway.proto.TableNews;
import org.rosemaryfront.ports.RowStore;
import org.rosemaryfront.tables.FreshnessLimits;
import org.rosemaryfront.tables.Role;

import static org.assertj.core.api.Assertions.assertThat;

class TableWatchTests {

	private static final String LARGE_VALUE = IntStream.range(0, 2_000)
		.mapToObj(Integer::toString)
		.collect(Collectors.joining(","));

	// Guards against missing a row that changes while later pages are read.
	@Test
	void shouldRequestChangesSinceFirstPageWhenThereAreSeveral() {
		Sinks.One<Long> asked = Sinks.one();
		RowStore store = new RowStore() {
			@Override
			public Mono<Outcome> commit(Commit commit) {
				return Mono.never();
			}

			@Override
			public Mono<Page> read(Range range) {
				boolean first = range.from().isEmpty();
				return Mono.just(new Page(List.of(row(first ? "a" : "b")), first, first ? 10 : 20, 0));
			}

			@Override
			public Mono<Page> changes(String table, long since, Duration wait) {
				asked.tryEmitValue(since);
				return Mono.never();
			}
		};
		PeerTables peers = new PeerTables(LoopResources.create("test", 1, true), List::of);
		try (TableWatch watch = watch(store, peers)) {
			Disposable ticking = GatewayHarness.ticking(watch);
			assertThat(asked.asMono().block(Duration.ofSeconds(5))).isEqualTo(10);
			ticking.dispose();
		}
	}

	// Guards against sending one request for each of many changes that arrive together.
	@Test
	void shouldSendFewRequestsWhenChangesArriveTogether() {
		AtomicInteger asked = new AtomicInteger();
		RowStore store = new RowStore() {
			@Override
			public Mono<Outcome> commit(Commit commit) {
				return Mono.never();
			}

			@Override
			public Mono<Page> read(Range range) {
				return Mono.just(new Page(List.of(), false, 1, 0));
			}

			@Override
			public Mono<Page> changes(String table, long since, Duration wait) {
				asked.incrementAndGet();
				return Mono.delay(Duration.ofMillis(1)).map((_) -> new Page(List.of(row("a")), false, since + 1, 0));
			}
		};
		PeerTables peers = new PeerTables(LoopResources.create("test", 1, true), List::of);
		long begun = System.nanoTime();
		try (TableWatch watch = watch(store, peers)) {
			Disposable ticking = GatewayHarness.ticking(watch);
			GatewayHarness.await(() -> asked.get() >= 4);
			ticking.dispose();
		}
		assertThat(System.nanoTime() - begun).isGreaterThan(TimeUnit.MILLISECONDS.toNanos(3 * 200));
	}

	// Guards against withholding a change that this gateway finds itself while the
	// gateways that read the table for all do not see it.
	@Test
	void shouldSendOwnChangeWhenRoleIsResting() {
		MemoryRowStore store = new MemoryRowStore();
		TableReplica known = GatewayHarness.table();
		PeerTables peers = new PeerTables(LoopResources.create("test", 1, true), List::of);
		try (SharedTables tables = new SharedTables(new StoreGenerations(store), peers)) {
			tables.role(Role.RESTING);
			tables.follow("servers", known, FreshnessLimits.defaults(), new IgnoringListener());
			Disposable ticking = Flux.interval(Duration.ofMillis(10)).subscribe((_) -> tables.tick(System.nanoTime()));
			store.put("servers", "s0", "x");
			GatewayHarness.await(() -> known.version() == 1);
			assertThat(tables.updates(System.nanoTime() + TimeUnit.SECONDS.toNanos(2))).isEmpty();
			store.put("servers", "s1", "x");
			GatewayHarness.await(() -> known.version() == 2);
			assertThat(tables.isReading(System.nanoTime())).isFalse();
			assertThat(tables.isUrgent(System.nanoTime())).isTrue();
			assertThat(tables.updates(System.nanoTime())).extracting(TableNews::getVersion).containsExactly(2L);
			ticking.dispose();
		}
		store.close();
	}

	// Guards against a large row that each gateway reads whole whenever a little of it
	// changes: its link carries nothing else meanwhile.
	@Test
	void shouldSendDifferencesWhenLargeRowChangesLittle() {
		MemoryRowStore store = new MemoryRowStore();
		FaultInjectingStore access = new FaultInjectingStore(store);
		TableReplica known = GatewayHarness.table();
		TableReplica copy = GatewayHarness.table();
		PeerTables peers = new PeerTables(LoopResources.create("test", 1, true), List::of);
		store.put("op", "config", LARGE_VALUE);
		try (SharedTables reader = new SharedTables(new StoreGenerations(store), peers);
				SharedTables other = new SharedTables(new StoreGenerations(access), peers)) {
			reader.role(Role.FIRST);
			other.role(Role.RESTING);
			reader.follow("op", known, FreshnessLimits.defaults(), new IgnoringListener());
			other.follow("op", copy, FreshnessLimits.defaults(), new IgnoringListener());
			GatewayHarness.await(() -> known.version() == 1 && copy.version() == 1);
			reader.updates(System.nanoTime());
			access.rejectAll();
			Disposable ticking = Flux.interval(Duration.ofMillis(10)).subscribe((_) -> reader.tick(System.nanoTime()));
			store.put("op", "config", LARGE_VALUE + "1");
			GatewayHarness.await(() -> known.version() == 2);
			store.put("op", "config", LARGE_VALUE.replace("100,", "x,"));
			GatewayHarness.await(() -> known.version() == 3);
			ticking.dispose();
			other.receive(reader.updates(System.nanoTime()), new InetSocketAddress("127.0.0.1", 1), System.nanoTime());
		}
		assertThat(copy.newerThan(0)).isEqualTo(known.newerThan(0));
		assertThat(copy.version()).isEqualTo(3);
		store.close();
	}

	private static TableWatch watch(RowStore store, PeerTables peers) {
		return TableWatch.of(store, "servers", GatewayHarness.table(), peers, FreshnessLimits.defaults(),
				new IgnoringListener());
	}

	private static RowStore.Row row(String key) {
		return new RowStore.Row(key, Optional.of("x".getBytes(StandardCharsets.UTF_8)), 5);
	}

	/** Ignores all rows. */
	private static final class IgnoringListener implements TableWatch.Listener {

		@Override
		public void tableRead(List<RowStore.Row> rows, long version) {
		}

		@Override
		public void rowsChanged(List<RowStore.Row> rows, long version) {
		}

	}

}
