package org.rosemaryfront.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

import org.rosemaryfront.claims.ClaimCommand;
import org.rosemaryfront.claims.ClaimEvent;
import org.rosemaryfront.claims.ClaimOutcome;
import org.rosemaryfront.claims.ClaimRow;
import org.rosemaryfront.services.ClaimWriter;

/**
 * Measures what at-most-once calls cost the table service: transactions, rows and reads a
 * second against calls a second, with writes grouped and alone, over several entries.
 * Prints one JSON line a measurement.
 *
 * <pre>
 * bin/slope-claims [seconds for each measurement]
 * </pre>
 */
public final class ClaimSlope {

	private static final int[] RATES = { 100, 300, 600, 1_200 };

	private static final int[] ENTRIES = { 1, 9, 380 };

	private static final int[] WINDOWS_MILLIS = { 0, 3, 20 };

	private static final Duration STORE_DELAY = Duration.ofMillis(5);

	private static final long CALL_MILLIS = 50;

	private static final int REPEAT_PERCENT = 2;

	private final CountingTables tables = CountingTables.of(STORE_DELAY);

	private final List<Scheduler> controls = new ArrayList<>();

	private final List<ClaimWriter> writers = new ArrayList<>();

	private final Random random = new Random(1);

	private final AtomicLong settled = new AtomicLong();

	private final AtomicLong conflicts = new AtomicLong();

	private ClaimSlope(int entries, int windowMillis) {
		for (int i = 0; i < Math.min(entries, 4); i++) {
			this.controls.add(Schedulers.newSingle("claims-" + i, true));
		}
		for (int i = 0; i < entries; i++) {
			this.writers.add(ClaimWriter.of(this.tables, control(i), Duration.ofMillis(windowMillis)));
		}
	}

	/**
	 * Runs all measurements.
	 * @param args the seconds for each measurement
	 * @throws InterruptedException when it is interrupted
	 */
	public static void main(String[] args) throws InterruptedException {
		int seconds = (args.length > 0) ? Integer.parseInt(args[0]) : 2;
		for (int entries : ENTRIES) {
			for (int window : WINDOWS_MILLIS) {
				for (int rate : RATES) {
					new ClaimSlope(entries, window).measure(entries, window, rate, seconds);
				}
			}
		}
	}

	private void measure(int entries, int window, int rate, int seconds) throws InterruptedException {
		long begin = System.nanoTime();
		long end = begin + TimeUnit.SECONDS.toNanos(seconds);
		double next = begin;
		long calls = 0;
		while (next < end) {
			LockSupport.parkNanos((long) next - System.nanoTime());
			if (System.nanoTime() >= (long) next) {
				call("key-" + calls, this.random.nextInt(entries));
				calls++;
				next += -Math.log(1 - this.random.nextDouble()) / rate * TimeUnit.SECONDS.toNanos(1);
			}
		}
		double elapsed = (System.nanoTime() - begin) / 1e9;
		awaitSettled(calls);
		System.out.printf(Locale.ROOT,
				"{\"bench\": \"claims\", \"entries\": %d, \"groupMillis\": %d, \"callsPerSecond\": %.1f, "
						+ "\"transactionsPerSecond\": %.1f, \"rowsPerSecond\": %.1f, \"readsPerSecond\": %.1f, "
						+ "\"transactionsPerCall\": %.3f, \"repeats\": %d, \"settled\": %d}%n",
				entries, window, calls / elapsed, this.tables.transactions() / elapsed, this.tables.rows() / elapsed,
				this.tables.reads() / elapsed, (double) this.tables.transactions() / calls, this.conflicts.get(),
				this.settled.get());
		this.controls.forEach(Scheduler::dispose);
	}

	private void call(String key, int entry) {
		boolean repeated = this.random.nextInt(100) < REPEAT_PERCENT;
		int other = this.random.nextInt(this.writers.size());
		claim(key, entry, key, () -> {
			if (repeated) {
				claim(key, other, key + "-repeat", () -> {
				});
			}
		});
	}

	private void claim(String key, int entry, String token, Runnable claimed) {
		ClaimRow held = new ClaimRow.Held(token, "entry-" + entry, "fingerprint", 20_000);
		write(key, entry, new ClaimCommand.Write(0, held), (event) -> {
			switch (event) {
				case ClaimEvent.Written written -> {
					claimed.run();
					control(entry).schedule(() -> store(key, entry, token, written.version()), CALL_MILLIS,
							TimeUnit.MILLISECONDS);
				}
				default -> {
					this.conflicts.incrementAndGet();
					this.tables.read(ClaimWriter.TABLE, key).subscribe();
				}
			}
		});
	}

	private void store(String key, int entry, String token, long version) {
		ClaimOutcome outcome = ClaimOutcome.of(201, new TreeMap<>(), "e30=");
		write(key, entry, new ClaimCommand.Write(version, new ClaimRow.Stored(token, "fingerprint", outcome)),
				(_) -> this.settled.incrementAndGet());
	}

	private void write(String key, int entry, ClaimCommand.Write write, Consumer<ClaimEvent> answer) {
		control(entry).schedule(() -> this.writers.get(entry).write(key, write, answer));
	}

	private Scheduler control(int entry) {
		return this.controls.get(entry % this.controls.size());
	}

	private void awaitSettled(long calls) throws InterruptedException {
		long limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
		while (this.settled.get() < calls && System.nanoTime() < limit) {
			Thread.sleep(5);
		}
	}

}
