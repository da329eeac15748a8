package org.rosemaryfront.services;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import reactor.core.scheduler.Scheduler;

import org.rosemaryfront.claims.ClaimCommand;
import org.rosemaryfront.claims.ClaimEvent;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.platform.PlatformException;
import org.rosemaryfront.platform.TableClient;

/**
 * Writes claims, several in one transaction, since the table service takes several
 * hundred writes a second for the whole fleet.
 *
 * <p>
 * A conflict of one claim fails the whole transaction: the claims in conflict learn it
 * and the rest are sent again at once. An uncertain transaction makes each of its claims
 * uncertain; each is then resolved by reading its own row.
 *
 * <pre>
 * writer.write(key, new ClaimCommand.Write(0, held), machine::accept);
 * </pre>
 */
public final class ClaimWriter {

	/** The table of the claims. */
	public static final String TABLE = "claims";

	private static final int MOST_IN_GROUP = 64;

	private final TableClient tables;

	private final Scheduler control;

	private final Duration window;

	private final List<Waiting> waiting = new ArrayList<>();

	private boolean flushPlanned;

	private ClaimWriter(TableClient tables, Scheduler control, Duration window) {
		this.tables = tables;
		this.control = control;
		this.window = window;
	}

	// -- factories

	/**
	 * Creates a writer.
	 * @param tables the platform's table service
	 * @param control the single thread on which all events come
	 * @param window how long a write waits for others, zero to send each alone
	 * @return the writer
	 */
	public static ClaimWriter of(TableClient tables, Scheduler control, Duration window) {
		Objects.requireNonNull(tables, "tables is null");
		Objects.requireNonNull(control, "control is null");
		Objects.requireNonNull(window, "window is null");
		return new ClaimWriter(tables, control, window);
	}

	// -- writes

	/**
	 * Writes a claim; called on the control thread only.
	 * @param key the key of its row
	 * @param write what to write on which condition
	 * @param answer takes what became of it, on the control thread
	 */
	public void write(String key, ClaimCommand.Write write, Consumer<ClaimEvent> answer) {
		this.waiting.add(new Waiting(key, write, answer));
		if (this.window.isZero() || this.waiting.size() >= MOST_IN_GROUP) {
			flush();
		}
		else {
			planFlush();
		}
	}

	private void planFlush() {
		if (!this.flushPlanned) {
			this.flushPlanned = true;
			this.control.schedule(() -> {
				this.flushPlanned = false;
				flush();
			}, this.window.toNanos(), TimeUnit.NANOSECONDS);
		}
	}

	private void flush() {
		while (!this.waiting.isEmpty()) {
			commit(takeGroup());
		}
	}

	// Two writes of one row cannot share a transaction: their conditions exclude each
	// other.
	private List<Waiting> takeGroup() {
		List<Waiting> group = new ArrayList<>();
		Set<String> keys = new HashSet<>();
		for (Waiting write : List.copyOf(this.waiting)) {
			boolean alone = this.window.isZero() && !group.isEmpty();
			if (group.size() < MOST_IN_GROUP && !alone && keys.add(write.key())) {
				group.add(write);
				this.waiting.remove(write);
			}
		}
		return group;
	}

	private void commit(List<Waiting> group) {
		List<TableClient.Condition> conditions = new ArrayList<>();
		List<TableClient.Write> writes = new ArrayList<>();
		group.forEach((write) -> {
			conditions.add(new TableClient.Condition(TABLE, write.key(), write.write().version()));
			writes.add(new TableClient.Write(TABLE, write.key(), Optional.of(ClaimCodec.write(write.write().row()))));
		});
		this.tables.commit(new TableClient.Transaction(conditions, writes))
			.publishOn(this.control)
			.subscribe((outcome) -> answered(group, outcome), (failure) -> failed(group, failure));
	}

	private void answered(List<Waiting> group, TableClient.Outcome outcome) {
		switch (outcome) {
			case TableClient.Outcome.Committed committed -> {
				for (int i = 0; i < group.size(); i++) {
					group.get(i).answer().accept(new ClaimEvent.Written(committed.versions().get(i)));
				}
			}
			case TableClient.Outcome.Conflict conflict -> separate(group, conflict);
		}
	}

	private void separate(List<Waiting> group, TableClient.Outcome.Conflict conflict) {
		Set<String> failed = conflict.failed().stream().map(TableClient.Condition::key).collect(Collectors.toSet());
		Map<Boolean, List<Waiting>> parts = new HashMap<>(
				group.stream().collect(Collectors.partitioningBy((write) -> failed.contains(write.key()))));
		parts.get(true).forEach((write) -> write.answer().accept(new ClaimEvent.WriteConflicted()));
		List<Waiting> rest = parts.get(false);
		if (rest.size() == group.size()) {
			// A conflict that names none of the rows: nothing took effect.
			rest.forEach((write) -> write.answer().accept(new ClaimEvent.WriteRefused()));
		}
		else if (!rest.isEmpty()) {
			commit(rest);
		}
	}

	private void failed(List<Waiting> group, Throwable failure) {
		boolean refused = failure instanceof PlatformException known && known.verdict().equals(Verdict.notRun());
		EventLog.warn(ServiceEvents.CLAIM_WRITE_FAILED, "claims", group.size(), "certain", refused, "cause", failure);
		group.forEach((write) -> write.answer()
			.accept(refused ? new ClaimEvent.WriteRefused() : new ClaimEvent.WriteUncertain()));
	}

	private record Waiting(String key, ClaimCommand.Write write, Consumer<ClaimEvent> answer) {
	}

}
