package org.rosemaryfront.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.lease.LeaseCommand;
import org.rosemaryfront.lease.LeaseEvent;
import org.rosemaryfront.lease.LeaseRow;
import org.rosemaryfront.lease.LeaseRowCodec;
import org.rosemaryfront.lease.LeaseStateMachine;
import org.rosemaryfront.lease.LeaseTiming;
import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.ports.RowStore.Commit;
import org.rosemaryfront.ports.RowStore.Condition;
import org.rosemaryfront.ports.RowStore.Outcome;
import org.rosemaryfront.ports.RowStore.Range;
import org.rosemaryfront.ports.RowStore.Row;
import org.rosemaryfront.ports.RowStore.Write;
import org.rosemaryfront.ports.StoreException;
import org.rosemaryfront.tables.StoreVersion;

/**
 * Holds the lease on the singleton duties, stored in one row of the table service for
 * each of its generations. Used on the control thread.
 */
final class DutyLease {

	/**
	 * The term of the lease. Usage reports are due ten seconds after their window, so a
	 * successor still has half of that time; shorter terms cost more calls to the store.
	 */
	private static final Duration TERM = Duration.ofSeconds(5);

	/**
	 * How long before the end of its term the holder stops acting, which covers the time
	 * that a request spends in transit.
	 */
	private static final Duration MARGIN = Duration.ofSeconds(1);

	/** The interval between renewals: two of them may fail before the term ends. */
	private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(1_500);

	/** The interval between reads by a process that waits for the lease. */
	private static final Duration READ_INTERVAL = Duration.ofMillis(2_500);

	/** The delay before a failed call is retried. */
	private static final Duration RETRY_DELAY = Duration.ofMillis(300);

	/**
	 * The timeout after which the outcome of a call is unknown; a response usually takes
	 * 4 ms.
	 */
	private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(1);

	private static final LeaseTiming TERMS = new LeaseTiming(TERM.toNanos(), MARGIN.toNanos(),
			RENEWAL_INTERVAL.toNanos(), READ_INTERVAL.toNanos(), RETRY_DELAY.toNanos(), RESPONSE_TIMEOUT.toNanos());

	static final String TABLE = "leases";

	private static final String KEY = "duties";

	private final StoreGenerations store;

	private final LeaseStateMachine machine;

	private final Consumer<Runnable> control;

	private final ProcessClock clock;

	private final boolean firstStart;

	private boolean begun;

	private boolean held;

	DutyLease(StoreGenerations store, GatewaySettings settings, long seed, Consumer<Runnable> control,
			ProcessClock clock) {
		this.firstStart = settings.firstStart();
		this.clock = clock;
		this.store = store;
		this.control = control;
		this.machine = LeaseStateMachine.of(settings.name(), TERMS, seed);
	}

	/**
	 * Sends the requests that are due, once the generation of the store is known.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void tick(long nowNanos) {
		if (this.store.newest() < 0) {
			return;
		}
		if (!this.begun && this.firstStart) {
			this.machine.beginInGeneration(this.store.newest());
		}
		else if (this.store.newest() != this.machine.generation()) {
			this.machine.continueInGeneration(this.store.newest(), nowNanos);
		}
		this.begun = true;
		for (LeaseCommand command : this.machine.tick(nowNanos)) {
			switch (command) {
				case LeaseCommand.Read read -> read(read);
				case LeaseCommand.Write write -> write(write);
			}
		}
		logChange(nowNanos);
	}

	boolean mayAct(long nowNanos) {
		return this.machine.maySendOrders(nowNanos) && this.store.newest() == this.machine.generation();
	}

	/**
	 * Returns the number of the current or last tenure of this process.
	 * @return the number; while it stays the same, no other process held the lease
	 */
	long tenure() {
		return this.machine.tenure();
	}

	long fence() {
		return this.machine.fence();
	}

	void updateGatewayCount(int count) {
		this.machine.setProcessCount(count);
	}

	/**
	 * Gives up the lease, because a newer holder has acted or because this VM was
	 * suspended for a time that its monotonic clock did not count. The lease may be
	 * acquired again with a higher fencing number.
	 */
	void giveUp() {
		this.machine.observeFence(this.machine.fence() + 1);
	}

	/**
	 * Records that another gateway reports holding the lease.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void heldElsewhere(long nowNanos) {
		this.machine.holderAnnounced(nowNanos);
	}

	void release(long nowNanos) {
		this.machine.release(nowNanos);
		tick(nowNanos);
	}

	private void logChange(long nowNanos) {
		boolean holds = mayAct(nowNanos);
		if (holds != this.held) {
			this.held = holds;
			EventLog.info(holds ? GatewayEvents.DUTIES_TAKEN : GatewayEvents.DUTIES_LOST, "fence", this.machine.fence(),
					"holder", this.machine.holder(), "rowVersion", StoreVersion.format(this.machine.rowVersion()));
		}
	}

	private void read(LeaseCommand.Read read) {
		String key = key();
		this.store.read(new Range(TABLE, key, key + '\0')).subscribe((page) -> {
			Optional<Row> row = page.rows().stream().findFirst();
			accept(new LeaseEvent.RowRead(read.number(), row.flatMap(Row::value).map(DutyLease::decode),
					row.map(Row::version).orElse(0L)));
		}, (failure) -> {
			RowLog.failed(key, "read", failure);
			accept(new LeaseEvent.ReadFailed(read.number()));
		});
	}

	private void write(LeaseCommand.Write write) {
		String key = key();
		Commit commit = new Commit(TABLE, List.of(new Condition(key, write.version())),
				List.of(new Write(key, encode(write.row()))), List.of());
		String token = write.row().token();
		this.store.commitIn(this.machine.generation(), commit).subscribe((outcome) -> {
			switch (outcome) {
				case Outcome.Committed done -> accept(new LeaseEvent.WriteCommitted(token, done.version()));
				case Outcome.Conflict _ -> accept(new LeaseEvent.WriteRejected(token));
			}
		}, (failure) -> {
			RowLog.failed(key, "write", failure);
			boolean notRun = failure instanceof StoreException ex && ex.verdict() instanceof Verdict.NotRun;
			accept(notRun ? new LeaseEvent.WriteRejected(token) : new LeaseEvent.WriteUnknown(token));
		});
	}

	private String key() {
		return StoreGenerations.keyIn(KEY, this.machine.generation());
	}

	private void accept(LeaseEvent event) {
		this.control.accept(() -> this.machine.accept(event, this.clock.nanos()));
	}

	private static byte[] encode(LeaseRow row) {
		return RowJson.write(LeaseRowCodec.write(row));
	}

	private static LeaseRow decode(byte[] value) {
		return LeaseRowCodec.read(RowJson.tree(value, "lease row"));
	}

}
