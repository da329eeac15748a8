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
 * The lease under which one controller at a time gives orders, as a state machine without
 * input and output. Times are on this process's monotonic clock, in nanoseconds.
 *
 * <p>
 * Two rules keep two holders from acting at a time without comparing clocks. A holder
 * counts its term from before it asked for the write and stops a margin before its end. A
 * successor waits a full term after it saw the row change for the last time, which cannot
 * be before the holder asked; then it writes on the condition that the row is still the
 * one it saw.
 *
 * <pre>
 * LeaseMachine lease = LeaseMachine.of("vm-1", terms, seed);
 * lease.tick(now).forEach(driver::execute);
 * if (lease.mayOrder(System.nanoTime())) { send(order, lease.fence()); }
 * </pre>
 */
public final class LeaseMachine {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/**
	 * What each process that waits for the lease adds to the time between two reads of
	 * one of them, in nanoseconds: together they read at most 40 times a second.
	 */
	private static final long READ_NANOS_PER_PROCESS = 25 * NANOS_PER_MILLI;

	/** For how long the word of a holder counts. */
	private static final long CLAIM_NANOS = 1_000 * NANOS_PER_MILLI;

	private final String self;

	private final LeaseTerms terms;

	private final SplittableRandom random;

	private final String tokenPrefix;

	/** Writes whose outcome is unknown, by token, with the time before each was asked. */
	private final Map<String, Pending> pending = new HashMap<>();

	private final Set<String> ownTokens = new HashSet<>();

	private Optional<LeaseRow> row = Optional.empty();

	private long version;

	private boolean rowKnown;

	private long seenNanos;

	private long highestFence;

	private boolean holding;

	private long heldFence;

	private long validUntilNanos;

	private boolean releasing;

	/** Whether the clock was read; a monotonic clock may start anywhere, also below 0. */
	private boolean started;

	private long readNumber;

	private boolean readInFlight;

	private long readAskedNanos;

	private long nextReadNanos;

	private String writeInFlight = "";

	private long writeAskedNanos;

	private long nextWriteNanos;

	private long writes;

	private int processes;

	/** Until when another process is taken to hold the lease, by its own word. */
	private OptionalLong claimedUntilNanos = OptionalLong.empty();

	private LeaseMachine(String self, LeaseTerms terms, long seed) {
		this.self = self;
		this.terms = terms;
		this.random = new SplittableRandom(seed);
		this.tokenPrefix = self + "-" + Long.toHexString(seed) + "-";
	}

	// -- factories

	/**
	 * A process that does not hold the lease yet.
	 * @param self the VM of the process
	 * @param terms the times
	 * @param seed the seed of its jitter; it also tells the tokens of two processes on
	 * the same VM apart, so that it must differ from start to start
	 * @return the lease as the process sees it
	 */
	public static LeaseMachine of(String self, LeaseTerms terms, long seed) {
		Objects.requireNonNull(self, "self is null");
		Objects.requireNonNull(terms, "terms is null");
		return new LeaseMachine(self, terms, seed);
	}

	// -- queries

	/**
	 * The fencing number of the lease held now or last.
	 * @return 0 when this process never held it
	 */
	public long fence() {
		return this.heldFence;
	}

	/**
	 * The VM that holds the lease as far as this process knows.
	 * @return the holder, empty for none
	 */
	public String holder() {
		return this.row.map(LeaseRow::holder).orElse("");
	}

	/**
	 * Whether an order may go out at this very moment. A process that was paused past the
	 * end of its term reads false here, since its monotonic clock went on.
	 * @param nowNanos the time
	 * @return true while this process holds the lease
	 */
	public boolean mayOrder(long nowNanos) {
		return this.holding && !this.releasing && nowNanos - this.validUntilNanos < 0;
	}

	/**
	 * How long orders may still go out.
	 * @param nowNanos the time
	 * @return 0 when they may not, in nanoseconds
	 */
	public long remainingNanos(long nowNanos) {
		return mayOrder(nowNanos) ? this.validUntilNanos - nowNanos : 0;
	}

	/**
	 * Whether the lease was given back and the row shows it.
	 * @return true when a successor need not wait
	 */
	public boolean isReleased() {
		return this.releasing && !this.holding;
	}

	// -- changes

	/**
	 * Takes an answer of the table service.
	 * @param event the answer
	 * @param nowNanos the time
	 */
	public void accept(LeaseEvent event, long nowNanos) {
		switch (event) {
			case LeaseEvent.RowRead read -> rowRead(read, nowNanos);
			case LeaseEvent.ReadFailed failed -> {
				if (failed.number() == this.readNumber) {
					this.readInFlight = false;
					this.nextReadNanos = nowNanos + this.terms.retryNanos();
				}
			}
			case LeaseEvent.WriteCommitted committed -> {
				Pending write = this.pending.get(committed.token());
				if (write != null && committed.version() > this.version) {
					see(Optional.of(write.row()), committed.version(), nowNanos);
					// A read under way may show the row before this write.
					this.readInFlight = false;
				}
				writeEnded(committed.token(), nowNanos);
			}
			case LeaseEvent.WriteRejected rejected -> {
				this.pending.remove(rejected.token());
				writeEnded(rejected.token(), nowNanos);
				this.nextReadNanos = nowNanos;
			}
			case LeaseEvent.WriteUnknown unknown -> {
				writeEnded(unknown.token(), nowNanos);
				this.nextReadNanos = nowNanos;
			}
		}
	}

	/**
	 * Sets how many processes read the row, so that they do not read more often together
	 * the more they are.
	 * @param count the controllers known to be alive
	 */
	public void processes(int count) {
		this.processes = count;
	}

	/**
	 * Another process says that it holds the lease. While it does, the row need not be
	 * read, and nobody takes over.
	 * @param nowNanos the time
	 */
	public void heldElsewhere(long nowNanos) {
		if (!this.holding) {
			this.claimedUntilNanos = OptionalLong.of(nowNanos + CLAIM_NANOS);
			this.nextReadNanos = afterPause(nowNanos);
		}
	}

	/**
	 * Gives the lease back early, so that a successor takes over at once. No order may go
	 * out from now on.
	 * @param nowNanos the time
	 */
	public void release(long nowNanos) {
		this.releasing = true;
		this.nextWriteNanos = nowNanos;
	}

	/**
	 * Stops holding because a backend server showed a higher fencing number.
	 * @param fence the number seen
	 */
	public void fenceSeen(long fence) {
		this.highestFence = Math.max(this.highestFence, fence);
		if (fence > this.heldFence) {
			this.holding = false;
		}
	}

	/**
	 * Lets time pass.
	 * @param nowNanos the time
	 * @return what to ask of the table service
	 */
	public List<LeaseCommand> tick(long nowNanos) {
		List<LeaseCommand> commands = new ArrayList<>();
		start(nowNanos);
		if (this.holding && nowNanos - this.validUntilNanos >= 0) {
			this.holding = false;
		}
		dropUnanswered(nowNanos);
		if (!this.readInFlight && nowNanos - this.nextReadNanos >= 0 && !isReleased()) {
			commands.add(read(nowNanos));
		}
		if (this.writeInFlight.isEmpty() && this.rowKnown && nowNanos - this.nextWriteNanos >= 0) {
			nextWrite(nowNanos).ifPresent(commands::add);
		}
		return commands;
	}

	private void start(long nowNanos) {
		if (!this.started) {
			this.started = true;
			this.nextReadNanos = this.claimedUntilNanos.isPresent() ? this.nextReadNanos : nowNanos;
			this.nextWriteNanos = nowNanos;
		}
	}

	// -- reads

	private LeaseCommand read(long nowNanos) {
		this.readInFlight = true;
		this.readAskedNanos = nowNanos;
		this.readNumber++;
		this.nextReadNanos = afterPause(nowNanos);
		return new LeaseCommand.Read(this.readNumber);
	}

	private long afterPause(long nowNanos) {
		long pause = Math.max(this.terms.readNanos(), this.processes * READ_NANOS_PER_PROCESS);
		return nowNanos + pause / 2 + this.random.nextLong(pause + 1);
	}

	private void rowRead(LeaseEvent.RowRead read, long nowNanos) {
		// A read that was given up may answer after a later one with an older row.
		if (read.number() != this.readNumber || !this.readInFlight) {
			return;
		}
		this.readInFlight = false;
		see(read.row(), read.version(), nowNanos);
	}

	private void see(Optional<LeaseRow> seen, long seenVersion, long nowNanos) {
		if (!this.rowKnown || seenVersion != this.version) {
			this.seenNanos = nowNanos;
		}
		this.rowKnown = true;
		this.row = seen;
		this.version = seenVersion;
		this.highestFence = Math.max(this.highestFence, seen.map(LeaseRow::fence).orElse(0L));
		Pending own = seen.map((shown) -> this.pending.get(shown.token())).orElse(null);
		if (own != null) {
			hold(own);
		}
		else if (this.holding && !seen.map((shown) -> this.ownTokens.contains(shown.token())).orElse(false)) {
			this.holding = false;
		}
		// A write whose condition names an older version can never take effect any more.
		this.pending.values().removeIf((write) -> write.version() != seenVersion);
	}

	private void hold(Pending own) {
		if (own.row().isReleased()) {
			this.holding = false;
			return;
		}
		// The term counts from before the write was asked: its answer may have come late,
		// or only by a read, while a successor's wait may have begun with the write.
		this.validUntilNanos = own.askedNanos() + this.terms.termNanos() - this.terms.marginNanos();
		this.holding = true;
		this.heldFence = own.row().fence();
		this.ownTokens.clear();
		this.ownTokens.add(own.row().token());
		this.nextWriteNanos = own.askedNanos() + this.terms.renewNanos();
	}

	// -- writes

	private Optional<LeaseCommand> nextWrite(long nowNanos) {
		if (this.releasing) {
			return this.holding ? Optional.of(write("", this.heldFence, false, nowNanos)) : Optional.empty();
		}
		if (this.holding) {
			return Optional.of(write(this.self, this.heldFence, false, nowNanos));
		}
		if (mayTakeOver(nowNanos)) {
			return Optional.of(write(this.self, this.highestFence + 1, true, nowNanos));
		}
		return Optional.empty();
	}

	private boolean mayTakeOver(long nowNanos) {
		if (this.claimedUntilNanos.isPresent() && nowNanos - this.claimedUntilNanos.getAsLong() < 0) {
			return false;
		}
		if (this.row.isEmpty() || this.row.get().isReleased()) {
			return true;
		}
		LeaseRow held = this.row.get();
		// The row is this process's own expired lease: nobody else acted under it.
		if (this.ownTokens.contains(held.token())) {
			return true;
		}
		// The holder cannot have asked after this process saw the row, so that a full
		// term from there outlasts it; the holder's own term counts, not this process's
		// setting.
		return nowNanos - this.seenNanos >= held.termMillis() * NANOS_PER_MILLI;
	}

	private LeaseCommand write(String holder, long fence, boolean takeOver, long nowNanos) {
		this.writes++;
		String token = this.tokenPrefix + this.writes;
		LeaseRow next = new LeaseRow(holder, fence, this.terms.termNanos() / NANOS_PER_MILLI, token);
		this.pending.put(token, new Pending(next, this.version, nowNanos));
		this.writeInFlight = token;
		this.writeAskedNanos = nowNanos;
		return new LeaseCommand.Write(next, this.version, takeOver);
	}

	private void writeEnded(String token, long nowNanos) {
		if (token.equals(this.writeInFlight)) {
			this.writeInFlight = "";
			long retry = nowNanos + this.terms.retryNanos() / 2 + this.random.nextLong(this.terms.retryNanos());
			if (!this.holding || this.nextWriteNanos - nowNanos <= 0) {
				this.nextWriteNanos = retry;
			}
		}
	}

	private void dropUnanswered(long nowNanos) {
		if (this.readInFlight && nowNanos - this.readAskedNanos >= this.terms.requestNanos()) {
			accept(new LeaseEvent.ReadFailed(this.readNumber), nowNanos);
		}
		if (!this.writeInFlight.isEmpty() && nowNanos - this.writeAskedNanos >= this.terms.requestNanos()) {
			accept(new LeaseEvent.WriteUnknown(this.writeInFlight), nowNanos);
		}
	}

	private record Pending(LeaseRow row, long version, long askedNanos) {
	}

}
