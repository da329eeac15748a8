package org.rosemaryfront.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import reactor.core.publisher.Mono;

import org.rosemaryfront.duties.PoolSize;
import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.ports.Duties;
import org.rosemaryfront.ports.RowStore;
import org.rosemaryfront.ports.RowStore.Commit;
import org.rosemaryfront.ports.RowStore.Condition;
import org.rosemaryfront.ports.RowStore.Range;
import org.rosemaryfront.ports.StoreException;
import org.rosemaryfront.ports.StoreException.Reason;
import org.rosemaryfront.traffic.TrafficMetrics;

import static org.assertj.core.api.Assertions.assertThat;

class PlatformCallsTests {

	private static final PoolSize SIZE = new PoolSize("llm", "a", 2, true);

	private final TrafficMetrics metrics = new TrafficMetrics();

	private final PlatformCalls calls = new PlatformCalls(this.metrics, 0);

	@Test
	void shouldCountEachKindOfCallToTheStore() {
		MemoryRowStore memory = new MemoryRowStore();
		RowStore store = this.calls.counting(memory);
		Stream.of("leases", "usage", "gateways", "crashes", "rollouts", "others")
			.forEach((table) -> store.commit(Commit.put(table, "key", new byte[0])).block());
		store.commit(new Commit("leases", List.of(new Condition("key", 0)), List.of(), List.of())).block();
		store.read(new Range("servers", "", "")).block();
		store.read(new Range("leases", "key", "key\0")).block();
		store.changes("leases", 0, Duration.ofSeconds(1)).block();
		store.changes("leases", 0, Duration.ZERO).block();
		memory.close();
		assertThat(this.calls.takeCounts()).isEqualTo("feed.ok=1 check.ok=1 range.ok=1 point-read.ok=1 "
				+ "lease-write.ok=1 lease-write.condition-failed=1 usage-write.ok=1 directory-write.ok=1 "
				+ "crash-write.ok=1 rollout-write.ok=1 other-write.ok=1");
		assertThat(counter("lease-write")).isEqualTo(2);
		assertThat(counter("ok")).isEqualTo(10);
		assertThat(this.calls.takeCounts()).isEmpty();
	}

	@ParameterizedTest
	@EnumSource(Reason.class)
	void shouldCountFailedCallOnceByItsOutcome(Reason reason) {
		Duties duties = this.calls
			.counting(new ScriptedDuties(Mono.error(StoreException.of(reason, Verdict.notRun(), "failed"))));
		duties.resize(1, SIZE).onErrorComplete().block();
		duties.reportUsage(1, 2, Map.of()).onErrorComplete().block();
		String outcome = switch (reason) {
			case BUSY, UNAVAILABLE -> "turned-away";
			case UNREACHABLE -> "no-answer";
			case FENCED -> "condition-failed";
			case HISTORY_LOST, NONE_AVAILABLE, REJECTED, RESTORED -> "refused";
		};
		assertThat(this.calls.takeCounts()).isEqualTo("usage-report." + outcome + "=1 order." + outcome + "=1");
	}

	@Test
	void shouldCountAcceptedOrderAndAbandonedCall() {
		this.calls.counting(new ScriptedDuties(Mono.empty())).resize(1, SIZE).block();
		this.calls.counting(new ScriptedDuties(Mono.never())).resize(1, SIZE).subscribe().dispose();
		assertThat(this.calls.takeCounts()).isEqualTo("order.ok=1 order.no-answer=1");
	}

	private long counter(String name) {
		return this.metrics.registry().counter("platform.calls." + name).getCount();
	}

	private record ScriptedDuties(Mono<Void> response) implements Duties {

		@Override
		public Mono<Void> reportUsage(long fence, long window, Map<String, Long> counts) {
			return this.response;
		}

		@Override
		public Mono<Void> resize(long fence, PoolSize size) {
			return this.response;
		}

	}

}
