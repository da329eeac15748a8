package org.rosemaryfront.services;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

import org.rosemaryfront.claims.ClaimCommand;
import org.rosemaryfront.claims.ClaimEvent;
import org.rosemaryfront.claims.ClaimRow;

import static org.assertj.core.api.Assertions.assertThat;

class ClaimWriterTests {

	private final FaultyTables tables = new FaultyTables();

	private final Scheduler control = Schedulers.newSingle("claims-test");

	private final ClaimWriter writer = ClaimWriter.of(this.tables, this.control, Duration.ofMillis(3));

	@AfterEach
	void stopControl() {
		this.control.dispose();
	}

	// Five bookings share a transaction and one key is taken: the other four households
	// must not be refused for it.
	@Test
	void shouldWriteTheRestWhenOneOfGroupConflicts() throws InterruptedException {
		write(List.of("c"));
		Map<String, ClaimEvent> events = write(List.of("a", "b", "c", "d", "e"));
		assertThat(events).containsEntry("c", new ClaimEvent.WriteConflicted())
			.containsEntry("a", new ClaimEvent.Written(1))
			.containsEntry("e", new ClaimEvent.Written(1));
		assertThat(this.tables.commits()).isEqualTo(3);
	}

	@Test
	void shouldTellEachOfGroupWhenAnswerIsLost() throws InterruptedException {
		this.tables.loseAnswerOf((_) -> true);
		assertThat(write(List.of("a", "b")).values()).containsOnly(new ClaimEvent.WriteUncertain());
		this.tables.loseAnswerOf((_) -> false);
		this.tables.refuse((_) -> true);
		assertThat(write(List.of("x", "y")).values()).containsOnly(new ClaimEvent.WriteRefused());
	}

	private Map<String, ClaimEvent> write(List<String> keys) throws InterruptedException {
		Map<String, ClaimEvent> events = new ConcurrentHashMap<>();
		CountDownLatch answered = new CountDownLatch(keys.size());
		this.control.schedule(() -> keys.forEach((key) -> this.writer.write(key,
				new ClaimCommand.Write(0, new ClaimRow.Held("token-" + key, "vm", "call", 1_000)), (event) -> {
					events.put(key, event);
					answered.countDown();
				})));
		assertThat(answered.await(20, TimeUnit.SECONDS)).isTrue();
		return events;
	}

}
