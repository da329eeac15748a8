package org.rosemaryfront.gateway;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import org.rosemaryfront.gateway.proto.TableRow;
import org.rosemaryfront.ports.RowStore.Row;
import org.rosemaryfront.tables.StoreVersion;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class TableReplicaTests {

	private final TableReplica table = GatewayHarness.table();

	// Guards against applying another gateway's older table after newer changes from the
	// store.
	@Test
	void shouldKeepNewerTableWhenOlderOneArrives() {
		assertThat(this.table.replace(List.of(row("ready", 10)), 10)).isTrue();
		this.table.apply(List.of(row("leaving", 20)), 20);
		assertThat(this.table.replace(List.of(row("ready", 10)), 15)).isFalse();
		assertThat(this.table.version()).isEqualTo(20);
		assertThat(this.table.newerThan(0).orElseThrow().getRows(0).getValue().toStringUtf8()).isEqualTo("leaving");
	}

	// Guards against keeping rows that the store has lost, and against sending others
	// only the changes since a version that the store has assigned again.
	@Test
	void shouldReplaceTableWhenStoreWasRestored() {
		this.table.replace(List.of(row("ready", 10)), 10);
		this.table.apply(List.of(row("leaving", 20)), 20);
		long restored = StoreVersion.of(1, 12);
		assertThat(this.table.replace(List.of(row("ready", StoreVersion.of(1, 10))), restored)).isTrue();
		assertThat(this.table.newerThan(20).orElseThrow().getRows(0).getValue().toStringUtf8()).isEqualTo("ready");
		assertThat(this.table.changesSince(20)).isEmpty();
		assertThat(this.table.apply(List.of(row("leaving", 21)), 21)).isEmpty();
	}

	@Test
	void shouldReturnTableWhenItIsNewer() {
		this.table.replace(List.of(row("ready", 10)), 10);
		assertThat(this.table.newerThan(9)).isPresent();
		assertThat(this.table.newerThan(10)).isEmpty();
	}

	// Guards against applying an older response of the store after a newer row from
	// another gateway.
	@Test
	void shouldIgnoreChangesWhenTheyAreOlder() {
		this.table.replace(List.of(row("ready", 10)), 10);
		assertThat(this.table.apply(List.of(row("leaving", 20)), 20)).hasSize(1);
		assertThat(this.table.apply(List.of(row("slow", 15)), 15)).isEmpty();
		assertThat(this.table.newerThan(0).orElseThrow().getRows(0).getValue().toStringUtf8()).isEqualTo("leaving");
		assertThat(this.table.version()).isEqualTo(20);
	}

	@Test
	void shouldReturnRecentChangesWhenAllAreRetained() {
		this.table.replace(List.of(row("ready", 10)), 10);
		assertThat(this.table.changesSince(9)).isEmpty();
		for (int version = 11; version <= 100; version++) {
			this.table.apply(List.of(row("v" + version, version)), version);
		}
		assertThat(this.table.changesSince(98).orElseThrow()).extracting(Row::version).containsExactly(99L, 100L);
		assertThat(this.table.changesSince(100).orElseThrow()).isEmpty();
		assertThat(this.table.changesSince(10)).isEmpty();
	}

	// Guards against all other gateways reading the table from the store after one
	// gateway has read it in full.
	@Test
	void shouldReturnFoundChangesWhenTableIsReadInFull() {
		this.table.replace(List.of(row("s1", "ready", 10), row("s2", "ready", 9)), 10);
		this.table.replace(List.of(row("s1", "leaving", 12), row("s3", "ready", 11)), 15);
		List<Row> changes = this.table.changesSince(10).orElseThrow();
		assertThat(changes).extracting(Row::key).containsExactly("s3", "s1", "s2");
		assertThat(changes).extracting(Row::version).containsExactly(11L, 12L, 15L);
		assertThat(changes.getLast().value()).isEmpty();
	}

	// Guards against losing a change that this copy had missed: receivers ignore rows
	// older than their own version, so the change must not be sent as one of the recent
	// ones.
	@Test
	void shouldReturnNoChangesWhenEarlierOnesWereMissed() {
		this.table.replace(List.of(row("s1", "ready", 10)), 10);
		this.table.apply(List.of(), 14);
		this.table.replace(List.of(row("s1", "leaving", 12)), 15);
		assertThat(this.table.changesSince(14)).isEmpty();
	}

	@Test
	void shouldResolveDifferencesWhenTheyFollowTheCopy() {
		TableReplica copy = changedLargeRow();
		List<TableRow> changes = this.table.differencesSince(10).orElseThrow();
		assertThat(changes).extracting(TableRow::getBase).containsExactly(10L, 11L);
		assertThat(changes).allMatch((change) -> change.getValue().size() < 100);
		copy.apply(copy.resolve(changes).orElseThrow(), 12);
		assertThat(copy.newerThan(0)).isEqualTo(this.table.newerThan(0));
	}

	// Guards against a value that nobody wrote, put together from a difference and
	// another
	// value than the sender's.
	@Test
	void shouldNotResolveDifferencesWhenOneIsMissingOrDamaged() {
		TableReplica copy = changedLargeRow();
		List<TableRow> changes = this.table.differencesSince(10).orElseThrow();
		assertThat(copy.resolve(changes.subList(1, 2))).isEmpty();
		TableRow damaged = changes.getFirst().toBuilder().setChecksum(1).build();
		assertThatIllegalArgumentException().isThrownBy(() -> copy.resolve(List.of(damaged)));
		assertThat(copy.version()).isEqualTo(10);
	}

	// Returns a copy of the table from before two changes.
	private TableReplica changedLargeRow() {
		TableReplica copy = GatewayHarness.table();
		String value = IntStream.range(0, 1_000).mapToObj(Integer::toString).collect(Collectors.joining(","));
		List.of(this.table, copy).forEach((each) -> each.replace(List.of(row(value, 10)), 10));
		this.table.apply(List.of(row(value + "1", 11)), 11);
		this.table.apply(List.of(row(value.replace("77,", "x,"), 12)), 12);
		return copy;
	}

	private static Row row(String key, String value, long version) {
		return new Row(key, Optional.of(value.getBytes(StandardCharsets.UTF_8)), version);
	}

	private static Row row(String value, long version) {
		return new Row("s1", Optional.of(value.getBytes(StandardCharsets.UTF_8)), version);
	}

}
