package org.rosemaryfront.gateway;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

import org.rosemaryfront.dispatch.BackendTable;
import org.rosemaryfront.ports.RowStore;
import org.rosemaryfront.rollout.RolloutOrder;
import org.rosemaryfront.rollout.RolloutTable;

import static org.assertj.core.api.Assertions.assertThat;

/** Holders of the duties that act one after the other on the same rows. */
class RolloutHoldersTests {

	private static final String SERVICE = "app";

	private static final String STATES = "states";

	private static final long LIMIT_NANOS = TimeUnit.SECONDS.toNanos(20);

	private final MemoryRowStore store = new MemoryRowStore();

	// Guards against an operator who reads an old phase for good, because a holder that
	// was paused before it wrote that phase replaced the row of its successor.
	@Test
	void shouldKeepOperatorRowOfSuccessorWhenHolderWasPaused() throws InterruptedException {
		Holder paused = new Holder(this.store);
		paused.connection.pauseBehindPhase();
		paused.advanceUntil(paused.connection::hasHeldBack);
		Holder successor = new Holder(this.store);
		successor.rollouts.withdrawn(SERVICE, System.nanoTime());
		successor.advanceUntil(() -> operatorRow().equals(Optional.of("v2 ROLLED_BACK")));
		paused.connection.goOn();
		paused.await(paused.connection::answered);
		assertThat(operatorRow()).contains("v2 ROLLED_BACK");
	}

	// Guards against an operator's row that stays old, because its holder goes on with
	// what it knew of the row before another process wrote it.
	@Test
	void shouldWriteOperatorRowWhenAnotherProcessHasWrittenIt() throws InterruptedException {
		Holder holder = new Holder(this.store);
		holder.advanceUntil(() -> operatorRow().equals(Optional.of("v2 TRIAL")));
		this.store.put(STATES, SERVICE, "v2 other");
		holder.rollouts.withdrawn(SERVICE, System.nanoTime());
		holder.advanceUntil(() -> operatorRow().equals(Optional.of("v2 ROLLED_BACK")));
	}

	private Optional<String> operatorRow() {
		return Optional.ofNullable(this.store.rows(STATES).get(SERVICE))
			.flatMap(RowStore.Row::value)
			.map((value) -> new String(value, StandardCharsets.UTF_8));
	}

	/** A condition that a test waits for. */
	private interface Condition {

		boolean holds();

	}

	/** A process that acts as the holder; the test's thread is its control thread. */
	private static final class Holder {

		private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();

		private final BackendTable servers = new BackendTable();

		private final Rollouts rollouts = new Rollouts(RolloutTable.empty(0.1), this.servers, "p",
				() -> ThreadLocalRandom.current().nextDouble());

		private final PausingStore connection;

		private final RolloutDuty duty;

		private Holder(RowStore store) {
			this.connection = new PausingStore(store);
			this.duty = new RolloutDuty(this.connection, new PlainCodecs(), this.rollouts, this.servers,
					this.tasks::add);
			this.rollouts.ordered(new RolloutOrder(SERVICE, "v2", 60_000, 1));
		}

		private void advanceUntil(Condition condition) throws InterruptedException {
			await(() -> {
				this.duty.advance(System.currentTimeMillis(), System.nanoTime());
				return condition.holds();
			});
		}

		private void await(Condition condition) throws InterruptedException {
			long until = System.nanoTime() + LIMIT_NANOS;
			while (!condition.holds()) {
				assertThat(System.nanoTime()).isLessThan(until);
				Thread.sleep(2);
				for (Runnable task = this.tasks.poll(); task != null; task = this.tasks.poll()) {
					task.run();
				}
			}
		}

	}

	/**
	 * A connection to the store whose requests for the operator's rows stay in the
	 * process during a pause.
	 */
	private static final class PausingStore implements RowStore {

		private final RowStore store;

		private final Sinks.One<Boolean> end = Sinks.one();

		private volatile boolean pausesBehindPhase;

		private volatile boolean paused;

		private volatile boolean heldBack;

		private volatile boolean answered;

		private PausingStore(RowStore store) {
			this.store = store;
		}

		/** Begins a pause once a phase is stored, before the process knows of it. */
		private void pauseBehindPhase() {
			this.pausesBehindPhase = true;
		}

		private void goOn() {
			this.end.tryEmitValue(true);
		}

		private boolean hasHeldBack() {
			return this.heldBack;
		}

		// Whether the commit that was held back, or that followed it, has an answer.
		private boolean answered() {
			return this.answered;
		}

		@Override
		public Mono<Outcome> commit(Commit commit) {
			return held(commit.table(), this.store.commit(commit)).doOnNext((_) -> {
				this.answered |= this.heldBack && commit.table().equals(STATES);
				this.paused |= this.pausesBehindPhase && commit.table().equals(RolloutDuty.TABLE);
			});
		}

		@Override
		public Mono<Page> read(Range range) {
			return held(range.table(), this.store.read(range));
		}

		@Override
		public Mono<Page> changes(String table, long since, Duration wait) {
			return held(table, this.store.changes(table, since, wait));
		}

		private <T> Mono<T> held(String table, Mono<T> call) {
			return Mono.defer(() -> {
				boolean held = this.paused && table.equals(STATES);
				this.heldBack |= held;
				return held ? this.end.asMono().flatMap((_) -> call) : call;
			});
		}

	}

}
