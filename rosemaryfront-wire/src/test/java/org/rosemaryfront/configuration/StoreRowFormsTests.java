package org.rosemaryfront.configuration;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Test;

import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.Resource;
import org.rosemaryfront.platform.PlatformCodec;
import org.rosemaryfront.platform.TableClient.Row;
import org.rosemaryfront.platform.TableClient.Transaction;
import org.rosemaryfront.platform.TableClient.Write;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a configuration in the store that is not found any more, since its
 * table, a key or a field has another name.
 */
class StoreRowFormsTests {

	private static final Resource.Model FIRST = new Resource.Model("a", "1", 7);

	private static final Resource.Model SECOND = new Resource.Model("a", "2", 7);

	private static final Resource.Model DELETED = new Resource.Model("b", "1", 8);

	private static final Map<String, JsonNode> ROWS = Map.of("head", form("{\"revision\":2,\"transaction\":\"t2\"}"),
			"change/000000000001",
			form("{\"transaction\":\"t1\",\"changed\":[\"Model/a\",\"Model/b\"],\"deleted\":[]}"),
			"change/000000000002", form("{\"transaction\":\"t2\",\"changed\":[\"Model/a\"],\"deleted\":[\"Model/b\"]}"),
			"transaction/t1", form("{\"revision\":1}"), "transaction/t2", form("{\"revision\":2}"), "resource/Model/a",
			form("""
					{"declaration":{"kind":"Model","name":"a","spec":{"version":"2","weightMegabytes":7}},
					"revision":2}"""));

	private final FaultyTables tables = FaultyTables.of(1, 0);

	private final ConfigurationStore store = ConfigurationStore.of(this.tables);

	@Test
	void shouldKeepRowsWhenChangesAreApplied() {
		this.store.apply(Change.ofAll("t1", List.of(FIRST, DELETED))).block();
		this.store
			.apply(new Change("t2", List.of(new Change.Put(SECOND, OptionalLong.empty())),
					List.of(new Change.Deletion(DELETED.key(), OptionalLong.empty()))))
			.block();
		Map<String, JsonNode> rows = new TreeMap<>();
		for (Row row : this.tables.scan("configuration", "", "", 100).block()) {
			rows.put(row.key(), PlatformCodec.tree(PlatformCodec.bytes(row.value())));
		}
		assertThat(rows).isEqualTo(ROWS);
	}

	@Test
	void shouldReadRowsOfTodayWhenProcessStarts() {
		List<Write> writes = ROWS.entrySet()
			.stream()
			.map((row) -> new Write("configuration", row.getKey(), Optional.of(row.getValue())))
			.toList();
		this.tables.commit(new Transaction(List.of(), writes)).block();
		Configuration read = this.store.read().block();
		assertThat(read.revision()).isEqualTo(2);
		assertThat(read.find(Resource.Model.class, "a")).contains(SECOND);
		assertThat(read.resources().get(SECOND.key()).version()).isEqualTo(2);
		assertThat(this.store.changesSince(0).block())
			.contains(List.of(new ChangeRecord(1, "t1", List.of(FIRST.key(), DELETED.key()), List.of()),
					new ChangeRecord(2, "t2", List.of(SECOND.key()), List.of(DELETED.key()))));
		assertThat(this.store.apply(Change.ofAll("t1", List.of(FIRST, DELETED))).block())
			.isInstanceOfSatisfying(ApplyOutcome.Applied.class, (done) -> assertThat(done.revision()).isEqualTo(1));
	}

	private static JsonNode form(String text) {
		return PlatformCodec.tree(text.getBytes(StandardCharsets.UTF_8));
	}

}
