package org.rosemaryfront.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * The state machine of a lease under which one process at a time may send orders. It does
 * no I/O itself: {@link #tick} returns the requests to send, {@link #accept} takes their
 * outcomes. Times are on this process's monotonic clock, in nanoseconds.
 *
 * <p>
 * Two rules prevent two holders at the same time without comparing clocks. A holder
 * counts its term from before it sent the write, and stops a margin before the end of the
 * term. A successor waits for a full term after it last saw the row change, which cannot
 * be before the holder sent the write; it then writes on condition that the row is
 * unchanged.
 *
 * <p>
 * The table service may come back from a copy, and has then lost the row or an earlier
 * state of it. Each of its generations therefore has its own row, and fencing numbers are
 * ordered by generation first. A holder stops when it learns of a newer generation, and
 * may acquire the lease there at once; any other process waits for a full term of a
 * holder that has not learned of it.
 *
 * <pre>
 * LeaseStateMachine lease = LeaseStateMachine.of("vm-1", terms, seed);
 * lease.tick(now).forEach(driver::execute);
 * if (lease.maySendOrders(System.nanoTime())) { send(order, lease.fence()); }
 * </pre>
 */
public final class LeaseStateMachine {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/**
	 * The time that each process without the lease adds to the read interval of all of
	 * them, in nanoseconds: together they read at most 40 times per second on average.
	 */
	private static final long READ_INTERVAL_NANOS_PER_PROCESS = 25 * NANOS_PER_MILLI;

	/** The time after which an announcement of the holder expires. */
	private static final long ANNOUNCEMENT_TIMEOUT_NANOS = 1_000 * NANOS_PER_MILLI;

	private final String self;

	private final LeaseTiming terms;

	private final SplittableRandom random;

	private final String tokenPrefix;

	/**
	 * Writes whose outcome is unknown, by token, each with the time before its sending.
	 */
	private final Map<String, PendingWrite> pendingWrites = new HashMap<>();

	private final Set<String> ownTokens = new HashSet<>();

	private Optional<LeaseRow> row = Optional.empty();

	private long version;

	private boolean rowKnown;

	private long rowChangedNanos;

	private long highestFence;

	private boolean holding;

	private long heldFence;

	private long validUntilNanos;

	private final LeaseTenure tenure = new LeaseTenure();

	private boolean releasing;

	/**
	 * Whether the times have been initialised from the clock; a monotonic clock may start
	 * at any value, including negative ones.
	 */
	private boolean started;

	private long readNumber;

	private boolean readInFlight;

	private long readSentNanos;

	private long nextReadNanos;

	private String writeInFlight = "";

	private long writeSentNanos;

	private long nextWriteNanos;

	private long writeCount;

	private int processes;

	/** When the latest announcement of another holder expires. */
	private OptionalLong announcedUntilNanos = OptionalLong.empty();

	private LeaseStateMachine(String self, LeaseTiming terms, long seed) {
		this.self = self;
		this.terms = terms;
		this.random = new SplittableRandom(seed);
		this.tokenPrefix = self + "-" + Long.toHexString(seed) + "-";
	}

	// -- factories

	/**
	 * Creates the state machine of a process that does not hold the lease yet.
	 * @param self the VM of the process
	 * @param terms the durations of the lease
	 * @param seed the seed for the jitter; it is also part of the write tokens, to
	 * distinguish processes on the same VM, and must therefore differ between starts
	 * @return the state machine
	 */
	public static LeaseStateMachine of(String self, LeaseTiming terms, long seed) {
		Objects.requireNonNull(self, "self is null");
		Objects.requireNonNull(terms, "terms is null");
		return new LeaseStateMachine(self, terms, seed);
	}

	// -- queries

	/**
	 * Returns the fencing number under which this process holds or last held the lease.
	 * @return the fencing number, 0 if this process never held the lease
	 */
	public long fence() {
		return this.heldFence;
	}

	/**
	 * Returns the VM that holds the lease according to the last known row.
	 * @return the holder, empty if there is none
	 */
	public String holder() {
		return this.row.map(LeaseRow::holder).orElse("");
	}

	/**
	 * Returns the version of the last known row.
	 * @return the version, 0 if there is no row
	 */
	public long rowVersion() {
		return this.version;
	}

	/**
	 * Returns how often this process acquired the lease without having held it
	 * continuously since the time before. A restore of the table service does not
	 * interrupt a tenure in which no other process could hold the lease.
	 * @return the number of the current or last tenure, 0 before the first one
	 */
	public long tenure() {
		return this.tenure.number();
	}

	/**
	 * Returns whether an order may be sent now. After a process pause beyond the end of
	 * the term the result is false, since the monotonic clock has advanced.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return true if this process holds the lease and is not releasing it
	 */
	public boolean maySendOrders(long nowNanos) {
		return this.holding && !this.releasing && nowNanos - this.validUntilNanos < 0;
	}

	/**
	 * Returns how long orders may still be sent.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the time in nanoseconds, 0 if no order may be sent
	 */
	public long remainingNanos(long nowNanos) {
		return maySendOrders(nowNanos) ? this.validUntilNanos - nowNanos : 0;
	}

	/**
	 * Returns whether the lease was released, or was lost during the release.
	 * @return true if this process no longer makes a successor wait
	 */
	public boolean isReleased() {
		return this.releasing && !this.holding;
	}

	// -- changes

	/**
	 * Applies the outcome of a request to the table service.
	 * @param event the outcome
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void accept(LeaseEvent event, long nowNanos) {
		switch (event) {
			case LeaseEvent.RowRead read -> readCompleted(read, nowNanos);
			case LeaseEvent.ReadFailed failed -> {
				if (failed.number() == this.readNumber) {
					this.readInFlight = false;
					this.nextReadNanos = nowNanos + this.terms.retryIntervalNanos();
				}
			}
			case LeaseEvent.WriteCommitted committed -> {
				PendingWrite write = this.pendingWrites.get(committed.token());
				if (write != null && committed.version() > this.version) {
					observeRow(Optional.of(write.row()), committed.version(), nowNanos);
					// A read in flight may return the row from before this write.
					this.readInFlight = false;
				}
				writeCompleted(committed.token(), nowNanos);
			}
			case LeaseEvent.WriteRejected rejected -> {
				this.pendingWrites.remove(rejected.token());
				writeCompleted(rejected.token(), nowNanos);
				this.nextReadNanos = nowNanos;
			}
			case LeaseEvent.WriteUnknown unknown -> {
				writeCompleted(unknown.token(), nowNanos);
				this.nextReadNanos = nowNanos;
			}
		}
	}

	/**
	 * Begins with the row of a generation of the table service, in a system in which no
	 * process can have held the lease before.
	 * @param firstGeneration the generation
	 */
	public void beginInGeneration(long firstGeneration) {
		this.tenure.beginIn(firstGeneration);
		this.highestFence = this.tenure.fenceBase();
	}

	/**
	 * Continues with the row of another generation of the table service.
	 * @param newGeneration the generation
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void continueInGeneration(long newGeneration, long nowNanos) {
		boolean valid = (this.holding || this.tenure.isResuming()) && !this.releasing
				&& nowNanos - this.validUntilNanos < 0;
		long termNanos = Math.max(this.terms.termNanos(),
				this.row.map((known) -> known.termMillis() * NANOS_PER_MILLI).orElse(0L));
		this.tenure.continueIn(newGeneration, valid, nowNanos + termNanos);
		this.highestFence = Math.max(this.highestFence, this.tenure.fenceBase());
		this.holding = false;
		this.row = Optional.empty();
		this.version = 0;
		this.rowKnown = false;
		this.pendingWrites.clear();
		this.ownTokens.clear();
		this.readInFlight = false;
		this.writeInFlight = "";
		this.nextReadNanos = nowNanos;
		this.nextWriteNanos = nowNanos;
	}

	/**
	 * Returns the generation whose row this process uses.
	 * @return the generation, 0 unless it was set
	 */
	public long generation() {
		return this.tenure.generation();
	}

	/**
	 * Sets the number of processes that read the row, so that their total read rate is
	 * limited.
	 * @param count the number of processes known to be alive
	 */
	public void setProcessCount(int count) {
		this.processes = count;
	}

	/**
	 * Records an announcement of another process that it holds the lease. Until the
	 * announcement expires, this process does not try to acquire the lease; reading the
	 * row is postponed.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void holderAnnounced(long nowNanos) {
		if (!this.holding) {
			this.announcedUntilNanos = OptionalLong.of(nowNanos + ANNOUNCEMENT_TIMEOUT_NANOS);
			this.nextReadNanos = nextReadTime(nowNanos);
		}
	}

	/**
	 * Releases the lease before the end of its term, so that a successor can acquire it
	 * immediately. No order may be sent from now on.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void release(long nowNanos) {
		this.releasing = true;
		this.nextWriteNanos = nowNanos;
	}

	/**
	 * Records a fencing number that a backend server reported. If it is higher than that
	 * of this process, the lease is lost.
	 * @param fence the fencing number
	 */
	public void observeFence(long fence) {
		this.highestFence = Math.max(this.highestFence, fence);
		if (fence > this.heldFence) {
			this.holding = false;
			this.tenure.interrupt();
		}
	}

	/**
	 * Advances the state machine to the current time.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the requests to send to the table service
	 */
	public List<LeaseCommand> tick(long nowNanos) {
		List<LeaseCommand> commands = new ArrayList<>();
		initialiseTimes(nowNanos);
		if (this.holding && nowNanos - this.validUntilNanos >= 0) {
			this.holding = false;
		}
		expireRequests(nowNanos);
		if (!this.readInFlight && nowNanos - this.nextReadNanos >= 0 && !isReleased()) {
			commands.add(read(nowNanos));
		}
		if (this.writeInFlight.isEmpty() && this.rowKnown && nowNanos - this.nextWriteNanos >= 0) {
			nextWrite(nowNanos).ifPresent(commands::add);
		}
		return commands;
	}

	private void initialiseTimes(long nowNanos) {
		if (!this.started) {
			this.started = true;
			this.nextReadNanos = this.announcedUntilNanos.isPresent() ? this.nextReadNanos : nowNanos;
			this.nextWriteNanos = nowNanos;
		}
	}

	// -- reads

	private LeaseCommand read(long nowNanos) {
		this.readInFlight = true;
		this.readSentNanos = nowNanos;
		this.readNumber++;
		this.nextReadNanos = nextReadTime(nowNanos);
		return new LeaseCommand.Read(this.readNumber);
	}

	private long nextReadTime(long nowNanos) {
		long interval = Math.max(this.terms.readIntervalNanos(), this.processes * READ_INTERVAL_NANOS_PER_PROCESS);
		return nowNanos + interval / 2 + this.random.nextLong(interval + 1);
	}

	private void readCompleted(LeaseEvent.RowRead read, long nowNanos) {
		// The response to a read that timed out may arrive after that to a later read,
		// with an older row.
		if (read.number() != this.readNumber || !this.readInFlight) {
			return;
		}
		this.readInFlight = false;
		observeRow(read.row(), read.version(), nowNanos);
	}

	private void observeRow(Optional<LeaseRow> observedRow, long observedVersion, long nowNanos) {
		if (!this.rowKnown || observedVersion != this.version) {
			this.rowChangedNanos = nowNanos;
		}
		this.rowKnown = true;
		this.row = observedRow;
		this.version = observedVersion;
		this.highestFence = Math.max(this.highestFence, observedRow.map(LeaseRow::fence).orElse(0L));
		PendingWrite ownWrite = observedRow.map((observed) -> this.pendingWrites.get(observed.token())).orElse(null);
		if (ownWrite != null) {
			applyOwnWrite(ownWrite);
		}
		else if (this.holding
				&& !observedRow.map((observed) -> this.ownTokens.contains(observed.token())).orElse(false)) {
			this.holding = false;
		}
		if (observedRow.isPresent() && ownWrite == null) {
			this.tenure.interrupt();
		}
		// Writes that are conditional on another version can no longer take effect.
		this.pendingWrites.values().removeIf((write) -> write.version() != observedVersion);
	}

	private void applyOwnWrite(PendingWrite ownWrite) {
		if (ownWrite.row().isReleased()) {
			this.holding = false;
			return;
		}
		// The term counts from before the write was sent: its response may have been
		// late, or lost and replaced by a read, while a successor's wait may have begun
		// when the write took effect.
		this.validUntilNanos = ownWrite.sentNanos() + this.terms.termNanos() - this.terms.marginNanos();
		this.tenure.acquired(this.holding);
		this.holding = true;
		this.heldFence = ownWrite.row().fence();
		this.ownTokens.clear();
		this.ownTokens.add(ownWrite.row().token());
		this.nextWriteNanos = ownWrite.sentNanos() + this.terms.renewalIntervalNanos();
	}

	// -- writes

	private Optional<LeaseCommand> nextWrite(long nowNanos) {
		if (this.releasing) {
			return this.holding ? Optional.of(write("", this.heldFence, false, nowNanos)) : Optional.empty();
		}
		if (this.holding) {
			return Optional.of(write(this.self, this.heldFence, false, nowNanos));
		}
		if (mayAcquire(nowNanos)) {
			return Optional.of(write(this.self, this.highestFence + 1, true, nowNanos));
		}
		return Optional.empty();
	}

	private boolean mayAcquire(long nowNanos) {
		if (this.announcedUntilNanos.isPresent() && nowNanos - this.announcedUntilNanos.getAsLong() < 0) {
			return false;
		}
		if (this.row.isEmpty()) {
			return this.tenure.mayAcquireVacant(nowNanos);
		}
		if (this.row.get().isReleased()) {
			return true;
		}
		LeaseRow current = this.row.get();
		// The row is this process's own expired lease: no other process has held it
		// since.
		if (this.ownTokens.contains(current.token())) {
			return true;
		}
		// The holder sent its write before this process saw the row, so a full term from
		// that time ends after the holder's. The term in the row applies, not the setting
		// of this process.
		return nowNanos - this.rowChangedNanos >= current.termMillis() * NANOS_PER_MILLI;
	}

	private LeaseCommand write(String holder, long fence, boolean takeOver, long nowNanos) {
		this.writeCount++;
		String token = this.tokenPrefix + this.writeCount;
		LeaseRow newRow = new LeaseRow(holder, fence, this.terms.termNanos() / NANOS_PER_MILLI, token);
		this.pendingWrites.put(token, new PendingWrite(newRow, this.version, nowNanos));
		this.writeInFlight = token;
		this.writeSentNanos = nowNanos;
		return new LeaseCommand.Write(newRow, this.version, takeOver);
	}

	private void writeCompleted(String token, long nowNanos) {
		if (token.equals(this.writeInFlight)) {
			this.writeInFlight = "";
			long retryNanos = nowNanos + this.terms.retryIntervalNanos() / 2
					+ this.random.nextLong(this.terms.retryIntervalNanos());
			if (!this.holding || this.nextWriteNanos - nowNanos <= 0) {
				this.nextWriteNanos = retryNanos;
			}
		}
	}

	private void expireRequests(long nowNanos) {
		if (this.readInFlight && nowNanos - this.readSentNanos >= this.terms.requestTimeoutNanos()) {
			accept(new LeaseEvent.ReadFailed(this.readNumber), nowNanos);
		}
		if (!this.writeInFlight.isEmpty() && nowNanos - this.writeSentNanos >= this.terms.requestTimeoutNanos()) {
			accept(new LeaseEvent.WriteUnknown(this.writeInFlight), nowNanos);
		}
	}

	private record PendingWrite(LeaseRow row, long version, long sentNanos) {
	}

}
