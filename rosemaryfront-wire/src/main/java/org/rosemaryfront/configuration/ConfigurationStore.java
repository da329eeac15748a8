package org.rosemaryfront.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import reactor.core.publisher.Mono;

import org.rosemaryfront.configuration.ApplyOutcome.Effect;
import org.rosemaryfront.configuration.ApplyOutcome.EffectType;
import org.rosemaryfront.configuration.ApplyOutcome.Mismatch;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.Declarations;
import org.rosemaryfront.model.Problem;
import org.rosemaryfront.model.ProblemCode;
import org.rosemaryfront.model.Resource;
import org.rosemaryfront.model.ResourceKey;
import org.rosemaryfront.model.RosemaryException;
import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.platform.PlatformException;
import org.rosemaryfront.platform.TableClient;
import org.rosemaryfront.platform.TableClient.Outcome;

/**
 * The declared configuration, kept in the platform's table service.
 *
 * <p>
 * Every change is one transaction that is conditional on the head, so that revisions have
 * no gaps and no two changes share one. Changes of different resources that race each
 * other are both applied; of two changes of the same resource one is refused.
 *
 * <pre>
 * ConfigurationStore store = ConfigurationStore.of(tables);
 * store.apply(Change.ofAll("t1", List.of(pool))).subscribe();
 * </pre>
 */
public final class ConfigurationStore {

	/** How many changes the change log keeps; older ones cannot be watched from. */
	public static final int CHANGES_KEPT = 1_000;

	/** How often a change is tried before its fate is reported as unknown or busy. */
	private static final int ATTEMPTS = 8;

	/** How long a second attempt waits, in milliseconds; later ones wait longer. */
	private static final long RETRY_MILLIS = 20;

	/** When coming back can help after the store could not be reached. */
	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private final StoreRows rows;

	private final TableClient tables;

	private ConfigurationStore(TableClient tables) {
		this.tables = tables;
		this.rows = new StoreRows(tables);
	}

	// -- factories

	/**
	 * The store in a table service.
	 * @param tables the table service
	 * @return the store
	 */
	public static ConfigurationStore of(TableClient tables) {
		return new ConfigurationStore(Objects.requireNonNull(tables, "tables is null"));
	}

	// -- changes

	/**
	 * Applies a change, or finds out that it was applied before under the same
	 * transaction.
	 * @param change the change
	 * @return what became of it; an error of {@link RosemaryException} when the store
	 * cannot be reached, with the verdict may-have-run when the change may yet be
	 * declared
	 */
	public Mono<ApplyOutcome> apply(Change change) {
		Objects.requireNonNull(change, "change is null");
		return attempt(change, Optional.empty(), Verdict.notRun(), 1);
	}

	/**
	 * Tells what a change would do, and changes nothing.
	 * @param change the change
	 * @return what would become of it; an error of {@link RosemaryException} when the
	 * store cannot be reached
	 */
	public Mono<ApplyOutcome> preview(Change change) {
		Objects.requireNonNull(change, "change is null");
		return this.rows.snapshot()
			.map((snapshot) -> judge(change, snapshot))
			.onErrorMap(PlatformException.class, (ex) -> unavailable(ex, Verdict.notRun()));
	}

	private Mono<ApplyOutcome> attempt(Change change, Optional<StoreSnapshot> before, Verdict verdict, int number) {
		Mono<ApplyOutcome> outcome = this.rows.revisionOf(change.transaction())
			.flatMap((known) -> known.isPresent() ? appliedAt(known.getAsLong())
					: attemptNew(change, before, verdict, number));
		return outcome.onErrorResume(PlatformException.class, (ex) -> again(change, before, verdict, number, ex));
	}

	private Mono<ApplyOutcome> attemptNew(Change change, Optional<StoreSnapshot> before, Verdict verdict, int number) {
		return this.rows.snapshot().flatMap((snapshot) -> {
			List<Mismatch> raced = before.map((earlier) -> movedSince(change, earlier, snapshot)).orElse(List.of());
			ApplyOutcome judged = raced.isEmpty() ? judge(change, snapshot)
					: new ApplyOutcome.Conflict(snapshot.revision(), raced);
			if (!(judged instanceof ApplyOutcome.Applied applied) || applied.revision() == snapshot.revision()) {
				return refused(change, judged);
			}
			return commit(change, snapshot, applied, verdict, number);
		});
	}

	private Mono<ApplyOutcome> commit(Change change, StoreSnapshot snapshot, ApplyOutcome.Applied applied,
			Verdict verdict, int number) {
		return this.rows.transaction(change, snapshot, applied)
			.flatMap((transaction) -> this.tables.commit(transaction).flatMap((outcome) -> switch (outcome) {
				case Outcome.Committed _ -> {
					EventLog.info(StoreEvents.CHANGE_APPLIED, "revision", applied.revision(), "transaction",
							change.transaction(), "resources", change.keys());
					yield Mono.just(applied);
				}
				case Outcome.Conflict _ -> again(change, Optional.of(snapshot), verdict, number, null);
			}).onErrorResume(PlatformException.class, (ex) -> {
				EventLog.warn(StoreEvents.COMMIT_ANSWER_LOST, "transaction", change.transaction(), "verdict",
						ex.verdict().code(), "cause", ex.getMessage());
				return again(change, Optional.of(snapshot), verdict.combinedWith(ex.verdict()), number, ex);
			}));
	}

	// Guards against a change that is reported as a conflict with itself: its commit, or
	// that of a repeat through another entry, took effect after the transaction was
	// looked up and before the snapshot was read. A refusal means that the head moved,
	// and a commit is conditional on the head that it read; so when the transaction is
	// still absent after the snapshot, no earlier commit of it can take effect any more.
	private Mono<ApplyOutcome> refused(Change change, ApplyOutcome judged) {
		return this.rows.revisionOf(change.transaction()).flatMap((known) -> {
			if (known.isPresent()) {
				return appliedAt(known.getAsLong());
			}
			if (judged instanceof ApplyOutcome.Conflict conflict) {
				EventLog.info(StoreEvents.CHANGE_CONFLICTED, "transaction", change.transaction(), "revision",
						conflict.revision(), "changed", conflict.changed());
			}
			return Mono.just(judged);
		});
	}

	private Mono<ApplyOutcome> appliedAt(long revision) {
		return this.rows.change(revision).map(ConfigurationStore::applied);
	}

	private Mono<ApplyOutcome> again(Change change, Optional<StoreSnapshot> before, Verdict verdict, int number,
			PlatformException cause) {
		if (number >= ATTEMPTS) {
			EventLog.warn(StoreEvents.COMMIT_UNRESOLVED, "transaction", change.transaction(), "verdict",
					verdict.code());
			return Mono.error(unavailable(cause, verdict));
		}
		return Mono.delay(Duration.ofMillis(RETRY_MILLIS << (number - 1)))
			.then(Mono.defer(() -> attempt(change, before, verdict, number + 1)));
	}

	// -- decisions

	private static ApplyOutcome judge(Change change, StoreSnapshot snapshot) {
		List<Mismatch> mismatches = mismatches(change, snapshot);
		if (!mismatches.isEmpty()) {
			return new ApplyOutcome.Conflict(snapshot.revision(), mismatches);
		}
		List<String> errors = Declarations.validate(snapshot.configuration(), change.resources(), change.deletedKeys());
		if (!errors.isEmpty()) {
			return new ApplyOutcome.Invalid(errors);
		}
		List<Effect> effects = effects(change, snapshot.configuration());
		boolean unchanged = effects.stream().allMatch((effect) -> effect.type() == EffectType.UNCHANGED);
		return new ApplyOutcome.Applied(snapshot.revision() + (unchanged ? 0 : 1), effects);
	}

	private static List<Effect> effects(Change change, Configuration base) {
		List<Effect> effects = new ArrayList<>();
		change.puts().forEach((put) -> effects.add(effect(put.resource(), base)));
		change.deletedKeys()
			.forEach((key) -> effects
				.add(new Effect(key, base.resources().containsKey(key) ? EffectType.DELETED : EffectType.UNCHANGED)));
		return List.copyOf(effects);
	}

	private static Effect effect(Resource resource, Configuration base) {
		Resource.Versioned present = base.resources().get(resource.key());
		if (present == null) {
			return new Effect(resource.key(), EffectType.CREATED);
		}
		return new Effect(resource.key(),
				present.resource().equals(resource) ? EffectType.UNCHANGED : EffectType.UPDATED);
	}

	private static List<Mismatch> mismatches(Change change, StoreSnapshot snapshot) {
		List<Mismatch> mismatches = new ArrayList<>();
		change.puts().forEach((put) -> addMismatch(mismatches, put.resource().key(), put.version(), snapshot));
		change.deletions().forEach((deletion) -> addMismatch(mismatches, deletion.key(), deletion.version(), snapshot));
		return List.copyOf(mismatches);
	}

	private static void addMismatch(List<Mismatch> mismatches, ResourceKey key, OptionalLong expected,
			StoreSnapshot snapshot) {
		long found = snapshot.version(key);
		if (expected.isPresent() && expected.getAsLong() != found) {
			mismatches.add(new Mismatch(key, expected.getAsLong(), found));
		}
	}

	private static List<Mismatch> movedSince(Change change, StoreSnapshot earlier, StoreSnapshot now) {
		return change.keys()
			.stream()
			.filter((key) -> earlier.version(key) != now.version(key))
			.map((key) -> new Mismatch(key, earlier.version(key), now.version(key)))
			.toList();
	}

	private static ApplyOutcome applied(ChangeRecord row) {
		List<Effect> effects = new ArrayList<>();
		row.changed().forEach((key) -> effects.add(new Effect(key, EffectType.UPDATED)));
		row.deleted().forEach((key) -> effects.add(new Effect(key, EffectType.DELETED)));
		return new ApplyOutcome.Applied(row.revision(), List.copyOf(effects));
	}

	private static RosemaryException unavailable(PlatformException cause, Verdict verdict) {
		boolean certain = verdict instanceof Verdict.NotRun;
		String detail = certain ? "the configuration store cannot be reached or is busy; nothing was changed"
				: "the change was sent and its outcome is unknown; repeat it with the same transaction";
		Problem problem = new Problem(certain ? ProblemCode.STORAGE_UNAVAILABLE : ProblemCode.OUTCOME_UNKNOWN, verdict,
				detail, Optional.of(RETRY_AFTER));
		return RosemaryException.of(problem, cause);
	}

	// -- queries

	/**
	 * The changes after a revision, in order.
	 * @param revision the revision
	 * @return the changes; empty when the change log does not reach back so far, and the
	 * configuration must be read anew; an error of {@link RosemaryException}
	 */
	public Mono<Optional<List<ChangeRecord>>> changesSince(long revision) {
		return this.rows.changesSince(revision).onErrorMap(PlatformException.class, ConfigurationStore::unreadable);
	}

	/**
	 * Reads the number of the last change.
	 * @return the revision; an error of {@link RosemaryException}
	 */
	public Mono<Long> headRevision() {
		return this.rows.head()
			.map(StoreRows.Head::revision)
			.onErrorMap(PlatformException.class, ConfigurationStore::unreadable);
	}

	/**
	 * Reads the whole configuration as of one revision.
	 * @return the configuration; an error of {@link RosemaryException}
	 */
	public Mono<Configuration> read() {
		return this.rows.snapshot()
			.map(StoreSnapshot::configuration)
			.onErrorMap(PlatformException.class, ConfigurationStore::unreadable);
	}

	private static RosemaryException unreadable(PlatformException failure) {
		EventLog.warn(StoreEvents.STORE_READ_FAILED, "cause", failure.getMessage());
		return unavailable(failure, Verdict.notRun());
	}

}
