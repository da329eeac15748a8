package org.rosemaryfront.standin.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.LongNode;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rosemaryfront.platform.TableClient.Condition;
import org.rosemaryfront.platform.TableClient.Outcome;
import org.rosemaryfront.platform.TableClient.Row;
import org.rosemaryfront.platform.TableClient.Transaction;
import org.rosemaryfront.platform.TableClient.Write;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class TableStoreTests {

	// Two controllers both believe that they hold the lease. Both read the lease row,
	// both write it conditional on the version read; a store that checks the conditions
	// of a transaction apart from its writes, or writes half of it, lets both win.
	@Property(seed = "-4525340256736528496")
	void shouldBehaveAsPlainModelWhenTransactionsComeInAnyOrder(@ForAll("steps") List<Step> steps) {
		TableStore store = TableStore.empty();
		PlainModel model = new PlainModel();
		for (Step step : steps) {
			Transaction transaction = model.transaction(step);
			boolean holds = model.holds(transaction);
			switch (store.commit(transaction)) {
				case Outcome.Committed committed -> {
					assertThat(holds).isTrue();
					model.apply(transaction, committed.versions());
				}
				case Outcome.Conflict conflict -> {
					assertThat(holds).isFalse();
					assertThat(conflict.failed()).isEqualTo(model.failed(transaction));
				}
			}
			assertThat(store.scan("t", "", "", TableStore.SCAN_LIMIT)).isEqualTo(model.rows());
		}
	}

	@Provide
	Arbitrary<List<Step>> steps() {
		Arbitrary<String> key = Arbitraries.of("a", "b", "c", "d");
		Arbitrary<Guess> guess = Combinators.combine(key, Arbitraries.of(GuessKind.values())).as(Guess::new);
		Arbitrary<List<String>> written = key.list().uniqueElements().ofMaxSize(3);
		return Combinators
			.combine(guess.list().ofMaxSize(2), written, Arbitraries.longs().between(0, 9),
					Arbitraries.of(true, false, false))
			.as(Step::new)
			.list()
			.ofMaxSize(40);
	}

	// A claim that was voided is taken for the claim of its caller. The row is deleted
	// and written again while the caller's conditional write is under way; if versions
	// began anew with each row, the old condition would hold on the new row.
	@Test
	void shouldConflictWhenRowWasDeletedAndWrittenAgain() {
		TableStore store = TableStore.empty();
		long first = put(store, "k", 1);
		store.commit(new Transaction(List.of(), List.of(new Write("t", "k", Optional.empty()))));
		long second = put(store, "k", 1);
		assertThat(store.commit(new Transaction(List.of(new Condition("t", "k", first)), List.of())))
			.isEqualTo(new Outcome.Conflict(List.of(new Condition("t", "k", second))));
	}

	@ParameterizedTest
	@CsvSource({ "'','',10,a/1 a/2 b/1 b/2", "a/,'',10,a/1 a/2", "a/,a/1,10,a/2", "a/,a/2,10,''", "'',a/2,1,b/1",
			"b/,a/1,10,b/1 b/2", "a/,b/1,10,''", "c,'',10,''", "'','',2,a/1 a/2" })
	void shouldGiveRowsInKeyOrderWhenScanned(String prefix, String after, int limit, String keys) {
		TableStore store = TableStore.empty();
		List.of("b/2", "a/2", "b/1", "a/1").forEach((key) -> put(store, key, 1));
		assertThat(store.scan("t", prefix, after, limit).stream().map(Row::key).toList())
			.isEqualTo(keys.isEmpty() ? List.of() : List.of(keys.split(" ")));
	}

	@ParameterizedTest
	@ValueSource(ints = { -1, 0, TableStore.SCAN_LIMIT + 1 })
	void shouldRefuseScanWhenLimitIsOutOfRange(int limit) {
		assertThatIllegalArgumentException().isThrownBy(() -> TableStore.empty().scan("t", "", "", limit))
			.withMessageContaining("limit");
	}

	@Test
	void shouldRefuseTransactionWhenItWritesOneRowTwice() {
		Write write = new Write("t", "k", Optional.of(LongNode.valueOf(1)));
		TableStore store = TableStore.empty();
		assertThatIllegalArgumentException()
			.isThrownBy(() -> store.commit(new Transaction(List.of(), List.of(write, write))));
		assertThat(store.read("t", "k")).isEmpty();
	}

	private static long put(TableStore store, String key, long value) {
		Transaction transaction = new Transaction(List.of(),
				List.of(new Write("t", key, Optional.of(LongNode.valueOf(value)))));
		return ((Outcome.Committed) store.commit(transaction)).versions().getFirst();
	}

	// -- the plain model

	enum GuessKind {

		ABSENT, CURRENT, EARLIER, NEVER

	}

	record Guess(String key, GuessKind kind) {
	}

	record Step(List<Guess> guesses, List<String> written, long value, boolean deletes) {
	}

	private static final class PlainModel {

		private final Map<String, Row> rows = new TreeMap<>();

		private final Map<String, Long> earlier = new HashMap<>();

		private final Set<Long> versions = new HashSet<>();

		Transaction transaction(Step step) {
			Optional<JsonNode> value = step.deletes ? Optional.empty() : Optional.of(LongNode.valueOf(step.value));
			return new Transaction(
					step.guesses.stream().map((guess) -> new Condition("t", guess.key, version(guess))).toList(),
					step.written.stream().map((key) -> new Write("t", key, value)).toList());
		}

		void apply(Transaction transaction, List<Long> given) {
			assertThat(given).hasSameSizeAs(transaction.writes());
			for (int i = 0; i < given.size(); i++) {
				long version = given.get(i);
				assertThat(this.versions.add(version)).isTrue();
				Write write = transaction.writes().get(i);
				Row before = this.rows.remove(write.key());
				if (before != null) {
					assertThat(version).isGreaterThan(before.version());
					this.earlier.put(write.key(), before.version());
				}
				write.value()
					.ifPresent((value) -> this.rows.put(write.key(), new Row("t", write.key(), value, version)));
			}
		}

		List<Condition> failed(Transaction transaction) {
			List<Condition> failed = new ArrayList<>();
			for (Condition condition : transaction.conditions()) {
				Condition found = new Condition("t", condition.key(), current(condition.key()));
				if (found.version() != condition.version() && !failed.contains(found)) {
					failed.add(found);
				}
			}
			return failed;
		}

		boolean holds(Transaction transaction) {
			return failed(transaction).isEmpty();
		}

		List<Row> rows() {
			return List.copyOf(this.rows.values());
		}

		private long current(String key) {
			return this.rows.containsKey(key) ? this.rows.get(key).version() : 0;
		}

		private long version(Guess guess) {
			return switch (guess.kind) {
				case ABSENT -> 0;
				case CURRENT -> current(guess.key);
				case EARLIER -> this.earlier.getOrDefault(guess.key, 0L);
				case NEVER -> Long.MAX_VALUE;
			};
		}

	}

}
