package org.rosemaryfront.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

import org.rosemaryfront.configuration.ApplyOutcome.Applied;
import org.rosemaryfront.configuration.ApplyOutcome.Conflict;
import org.rosemaryfront.configuration.ApplyOutcome.EffectType;
import org.rosemaryfront.configuration.ApplyOutcome.Invalid;
import org.rosemaryfront.events.Invariants;
import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.Kind;
import org.rosemaryfront.model.Resource;
import org.rosemaryfront.model.ResourceKey;
import org.rosemaryfront.model.RosemaryException;
import org.rosemaryfront.model.Verdict;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * The configuration store against a table service with faults.
 */
class ConfigurationStoreTests {

	private final FaultyTables tables = FaultyTables.of(1, 0);

	private final ConfigurationStore store = ConfigurationStore.of(this.tables);

	// -- apply

	@Test
	void shouldRaiseTheRevisionOnlyWhenSomethingChanges() {
		assertThat(apply("t1", model("a", "1"))).isEqualTo(applied(1, "a", EffectType.CREATED));
		assertThat(apply("t2", model("a", "1"))).isEqualTo(applied(1, "a", EffectType.UNCHANGED));
		assertThat(apply("t3", model("a", "2"))).isEqualTo(applied(2, "a", EffectType.UPDATED));
		assertThat(read().resources().get(key("a")).version()).isEqualTo(2);
	}

	@Test
	void shouldApplyNothingTwiceWhenATransactionIsRepeated() {
		apply("t1", model("a", "1"));
		apply("t2", model("a", "2"));
		assertThat(((Applied) apply("t1", model("a", "1"))).revision()).isEqualTo(1);
		assertThat(read().find(Resource.Model.class, "a").orElseThrow().version()).isEqualTo("2");
	}

	@ParameterizedTest
	@ValueSource(longs = { 0, 2, 7 })
	void shouldNameTheResourceWhenItsVersionIsAnother(long version) {
		apply("t1", model("a", "1"));
		Change change = new Change("t2", List.of(new Change.Put(model("a", "2"), OptionalLong.of(version))), List.of());
		assertThat(this.store.apply(change).block())
			.isEqualTo(new Conflict(1, List.of(new ApplyOutcome.Mismatch(key("a"), version, 1))));
		assertThat(read().revision()).isEqualTo(1);
	}

	@Test
	void shouldRefuseAsAWholeWhenOneResourceIsInvalid() {
		assertThat(apply("t1", model("a", "1"), new Resource.Adapter("b", "missing", "1", 1)))
			.isInstanceOf(Invalid.class);
		assertThat(read().resources()).isEmpty();
	}

	/*
	 * Two operators set the same model at the same time. Both read revision 1; the second
	 * commits between the first one's read and its commit. The first must be told that
	 * the model changed under it, and the second one's declaration must stand.
	 */
	@Test
	void shouldReportAConflictToTheLoserOfARace() {
		apply("t0", model("a", "0"));
		this.tables.beforeNextCommit(() -> apply("winner", model("a", "1")));
		assertThat(apply("loser", model("a", "2")))
			.isEqualTo(new Conflict(2, List.of(new ApplyOutcome.Mismatch(key("a"), 1, 2))));
		assertThat(read().find(Resource.Model.class, "a").orElseThrow().version()).isEqualTo("1");
	}

	@Test
	void shouldApplyBothWhenARaceIsAboutOtherResources() {
		this.tables.beforeNextCommit(() -> apply("first", model("a", "1")));
		assertThat(apply("second", model("b", "1"))).isEqualTo(applied(2, "b", EffectType.CREATED));
	}

	/*
	 * An operator's commit gets no answer and takes effect late: after the store looked
	 * for the transaction in vain, and before it read the configuration again. The store
	 * then takes its own change for somebody else's. The operator must read "done", not a
	 * conflict with itself.
	 */
	@Test
	void shouldNotConflictWithItselfWhenItsCommitLandsLate() {
		apply("t0", model("a", "0"));
		this.tables.delayNextCommit();
		assertThat(apply("t1", model("a", "1"))).isEqualTo(applied(2, "a", EffectType.UPDATED));
		assertThat(read().revision()).isEqualTo(2);
	}

	@Test
	void shouldSayThatNothingChangedWhenTheStoreIsDown() {
		ConfigurationStore down = ConfigurationStore.of(FaultyTables.of(1, 1));
		assertThatThrownBy(() -> down.apply(Change.ofAll("t", List.of(model("a", "1")))).block())
			.isInstanceOfSatisfying(RosemaryException.class,
					(ex) -> assertThat(ex.problem().verdict()).isEqualTo(Verdict.notRun()));
	}

	// -- change log

	@Test
	void shouldListTheChangesAfterARevision() {
		apply("t1", model("a", "1"));
		apply("t2", model("b", "1"));
		this.store.apply(new Change("t3", List.of(), List.of(new Change.Deletion(key("a"), OptionalLong.of(1)))))
			.block();
		assertThat(this.store.changesSince(1).block())
			.contains(List.of(new ChangeRecord(2, "t2", List.of(key("b")), List.of()),
					new ChangeRecord(3, "t3", List.of(), List.of(key("a")))));
		assertThat(this.store.changesSince(3).block()).contains(List.of());
	}

	@Test
	void shouldKeepTheChangeLogBounded() {
		for (int i = 1; i <= ConfigurationStore.CHANGES_KEPT + 5; i++) {
			apply("t" + i, model("a", "" + i));
		}
		assertThat(this.store.changesSince(4).block()).isEmpty();
		assertThat(this.store.changesSince(5).block().orElseThrow()).hasSize(ConfigurationStore.CHANGES_KEPT);
		assertThat(this.tables.scan("configuration", "transaction/", "", Integer.MAX_VALUE).block())
			.hasSize(ConfigurationStore.CHANGES_KEPT);
	}

	// -- random runs

	/*
	 * Operators change models at the same time, while the table service refuses, loses
	 * answers and lets writes take effect late. An operator would see a declaration that
	 * comes back after it was replaced, a change that was reported as done and is
	 * nowhere, one that was reported as refused and is there, or one that is there twice.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void shouldKeepEveryAcknowledgedChangeOnce(long seed) {
		FaultyTables faulty = FaultyTables.of(seed, 0.12);
		ConfigurationStore shared = ConfigurationStore.of(faulty);
		long broken = Invariants.broken();
		Answers answers = new Answers(new HashMap<>(), new HashSet<>());
		Flux.range(0, 4)
			.flatMap((operator) -> operate(shared, new Random(seed * 31 + operator), operator, answers)
				.subscribeOn(Schedulers.boundedElastic()))
			.blockLast();
		faulty.heal();
		List<ChangeRecord> log = shared.changesSince(0).block().orElseThrow();
		Map<String, Long> logged = new HashMap<>();
		for (int i = 0; i < log.size(); i++) {
			assertThat(log.get(i).revision()).as("revisions have no gap").isEqualTo(i + 1);
			assertThat(logged.put(log.get(i).transaction(), log.get(i).revision())).as("logged once").isNull();
		}
		assertThat(answers.done()).isNotEmpty();
		assertThat(logged).as("what was done is there").containsAllEntriesOf(answers.done());
		assertThat(answers.refused()).as("what was refused is nowhere").noneMatch(logged::containsKey);
		Configuration last = shared.read().block();
		for (ChangeRecord change : log) {
			change.changed()
				.forEach((key) -> assertThat(last.resources().get(key).version()).as("nothing reverts")
					.isGreaterThanOrEqualTo(change.revision()));
		}
		assertThat(Invariants.broken()).isEqualTo(broken);
	}

	private static Mono<Void> operate(ConfigurationStore store, Random random, int operator, Answers answers) {
		List<Change> changes = new ArrayList<>();
		for (int i = 0; i < 12; i++) {
			String transaction = "o" + operator + "-" + i;
			changes.add(Change.ofAll(transaction, List.of(model("m" + random.nextInt(3), transaction))));
		}
		return Flux.fromIterable(changes)
			.concatMap((change) -> store.apply(change)
				.doOnNext((outcome) -> answers.add(change.transaction(), outcome))
				.onErrorResume(RosemaryException.class, (ex) -> {
					if (ex.problem().verdict() instanceof Verdict.NotRun) {
						answers.refuse(change.transaction());
					}
					return Mono.empty();
				}))
			.then();
	}

	// -- helpers

	private ApplyOutcome apply(String transaction, Resource... resources) {
		return this.store.apply(Change.ofAll(transaction, List.of(resources))).block();
	}

	private static Applied applied(long revision, String name, EffectType type) {
		return new Applied(revision, List.of(new ApplyOutcome.Effect(key(name), type)));
	}

	private static ResourceKey key(String name) {
		return new ResourceKey(Kind.MODEL, name);
	}

	private static Resource.Model model(String name, String version) {
		return new Resource.Model(name, version, 1);
	}

	private Configuration read() {
		return this.store.read().block();
	}

	/**
	 * What operators were told.
	 *
	 * @param done the revision of each change that was reported as done
	 * @param refused the changes that were reported as refused
	 */
	private record Answers(Map<String, Long> done, Set<String> refused) {

		synchronized void add(String transaction, ApplyOutcome outcome) {
			switch (outcome) {
				case Applied applied -> this.done.put(transaction, applied.revision());
				case Conflict _, Invalid _ -> this.refused.add(transaction);
			}
		}

		synchronized void refuse(String transaction) {
			this.refused.add(transaction);
		}

	}

}
