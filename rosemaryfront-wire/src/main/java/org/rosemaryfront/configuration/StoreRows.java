package org.rosemaryfront.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import reactor.core.publisher.Mono;

import org.rosemaryfront.configuration.ApplyOutcome.Effect;
import org.rosemaryfront.configuration.ApplyOutcome.EffectType;
import org.rosemaryfront.events.Invariants;
import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.Kind;
import org.rosemaryfront.model.Resource;
import org.rosemaryfront.model.ResourceCodec;
import org.rosemaryfront.model.ResourceKey;
import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.platform.PlatformException;
import org.rosemaryfront.platform.TableClient;
import org.rosemaryfront.platform.TableClient.Condition;
import org.rosemaryfront.platform.TableClient.Row;
import org.rosemaryfront.platform.TableClient.Transaction;
import org.rosemaryfront.platform.TableClient.Write;

/**
 * The rows of the table {@code configuration}: the head, the resources, the change log
 * and an index of the change log by transaction.
 */
final class StoreRows {

	static final String TABLE = "configuration";

	static final String HEAD = "head";

	private static final String RESOURCE = "resource/";

	private static final String CHANGE = "change/";

	private static final String TRANSACTION = "transaction/";

	private static final int PAGE = 500;

	/** How often a snapshot is read anew when changes come in between. */
	private static final int SNAPSHOT_ATTEMPTS = 10;

	private final TableClient tables;

	StoreRows(TableClient tables) {
		this.tables = tables;
	}

	// -- reads

	Mono<Head> head() {
		return this.tables.read(TABLE, HEAD).map((row) -> row.map(StoreRows::parseHead).orElse(Head.NONE));
	}

	/**
	 * Reads all resources between two reads of the head; when the head has not moved, no
	 * change came in between and the pages belong together.
	 * @return the configuration at one revision
	 */
	Mono<StoreSnapshot> snapshot() {
		return snapshot(SNAPSHOT_ATTEMPTS);
	}

	private Mono<StoreSnapshot> snapshot(int attempts) {
		return head().flatMap((before) -> scan(RESOURCE).flatMap((rows) -> head().flatMap((after) -> {
			if (before.equals(after)) {
				return Mono.just(snapshotOf(after, rows));
			}
			return (attempts > 1) ? snapshot(attempts - 1) : Mono.error(PlatformException.of(Verdict.notRun(),
					"the configuration changed during each of " + SNAPSHOT_ATTEMPTS + " reads", null));
		})));
	}

	/**
	 * Finds the revision of a transaction in the change log.
	 * @param transaction the name of a change
	 * @return the revision, empty when the log does not hold it
	 */
	Mono<OptionalLong> revisionOf(String transaction) {
		return this.tables.read(TABLE, TRANSACTION + transaction)
			.map((row) -> row.map((found) -> OptionalLong.of(found.value().path("revision").asLong()))
				.orElse(OptionalLong.empty()));
	}

	Mono<ChangeRecord> change(long revision) {
		return this.tables.read(TABLE, changeKey(revision))
			.map((row) -> row.map(StoreRows::parseChange)
				.orElseGet(() -> new ChangeRecord(revision, "", List.of(), List.of())));
	}

	Mono<Optional<List<ChangeRecord>>> changesSince(long revision) {
		return head().flatMap((head) -> {
			if (head.revision() <= revision) {
				return Mono.just(Optional.of(List.<ChangeRecord>of()));
			}
			return scanAfter(CHANGE, changeKey(revision), new ArrayList<>())
				.map((rows) -> rows.stream().map(StoreRows::parseChange).toList())
				.map((changes) -> (!changes.isEmpty() && changes.getFirst().revision() == revision + 1)
						? Optional.of(changes) : Optional.<List<ChangeRecord>>empty());
		});
	}

	private Mono<List<Row>> scan(String prefix) {
		return scanAfter(prefix, "", new ArrayList<>());
	}

	private Mono<List<Row>> scanAfter(String prefix, String after, List<Row> found) {
		return this.tables.scan(TABLE, prefix, after, PAGE).flatMap((page) -> {
			found.addAll(page);
			return (page.size() < PAGE) ? Mono.just(found) : scanAfter(prefix, page.getLast().key(), found);
		});
	}

	// -- writes

	/**
	 * The transaction that declares a change.
	 * @param change the change
	 * @param snapshot the configuration that it was judged against
	 * @param applied what it does
	 * @return a transaction conditional on the head and on each row that it replaces
	 */
	Mono<Transaction> transaction(Change change, StoreSnapshot snapshot, ApplyOutcome.Applied applied) {
		Mono<Optional<Row>> expired = (applied.revision() > ConfigurationStore.CHANGES_KEPT)
				? this.tables.read(TABLE, changeKey(applied.revision() - ConfigurationStore.CHANGES_KEPT))
				: Mono.just(Optional.empty());
		return expired.map((old) -> {
			List<Condition> conditions = new ArrayList<>();
			List<Write> writes = new ArrayList<>();
			conditions.add(new Condition(TABLE, HEAD, snapshot.head().rowVersion()));
			conditions.add(new Condition(TABLE, TRANSACTION + change.transaction(), 0));
			writeHeadAndLog(change, applied, writes);
			for (Effect effect : applied.changes()) {
				conditions.add(new Condition(TABLE, resourceKey(effect.key()), snapshot.rowVersion(effect.key())));
			}
			writeResources(change, applied, writes);
			old.ifPresent((row) -> deleteExpired(row, writes));
			return new Transaction(List.copyOf(conditions), List.copyOf(writes));
		});
	}

	private static void deleteExpired(Row row, List<Write> writes) {
		writes.add(new Write(TABLE, row.key(), Optional.empty()));
		writes.add(new Write(TABLE, TRANSACTION + row.value().path("transaction").asText(), Optional.empty()));
	}

	private static void writeHeadAndLog(Change change, ApplyOutcome.Applied applied, List<Write> writes) {
		ObjectNode head = JsonNodeFactory.instance.objectNode();
		head.put("revision", applied.revision()).put("transaction", change.transaction());
		ObjectNode log = JsonNodeFactory.instance.objectNode();
		log.put("transaction", change.transaction());
		ArrayNode changed = log.putArray("changed");
		ArrayNode deleted = log.putArray("deleted");
		for (Effect effect : applied.changes()) {
			switch (effect.type()) {
				case CREATED, UPDATED -> changed.add(effect.key().toString());
				case DELETED -> deleted.add(effect.key().toString());
				case UNCHANGED -> {
				}
			}
		}
		ObjectNode index = JsonNodeFactory.instance.objectNode().put("revision", applied.revision());
		writes.add(new Write(TABLE, HEAD, Optional.of(head)));
		writes.add(new Write(TABLE, changeKey(applied.revision()), Optional.of(log)));
		writes.add(new Write(TABLE, TRANSACTION + change.transaction(), Optional.of(index)));
	}

	private static void writeResources(Change change, ApplyOutcome.Applied applied, List<Write> writes) {
		Map<ResourceKey, EffectType> types = new HashMap<>();
		applied.changes().forEach((effect) -> types.put(effect.key(), effect.type()));
		for (Resource resource : change.resources()) {
			if (types.get(resource.key()) != EffectType.UNCHANGED) {
				ObjectNode row = JsonNodeFactory.instance.objectNode();
				row.set("declaration", ResourceCodec.write(resource));
				row.put("revision", applied.revision());
				writes.add(new Write(TABLE, resourceKey(resource.key()), Optional.of(row)));
			}
		}
		for (ResourceKey key : change.deletedKeys()) {
			if (types.get(key) == EffectType.DELETED) {
				writes.add(new Write(TABLE, resourceKey(key), Optional.empty()));
			}
		}
	}

	// -- forms

	private static String changeKey(long revision) {
		return CHANGE + String.format("%012d", revision);
	}

	private static String resourceKey(ResourceKey key) {
		return RESOURCE + key;
	}

	private static ChangeRecord parseChange(Row row) {
		return new ChangeRecord(Long.parseLong(row.key().substring(CHANGE.length())),
				row.value().path("transaction").asText(), parseKeys(row.value().path("changed")),
				parseKeys(row.value().path("deleted")));
	}

	private static Head parseHead(Row row) {
		return new Head(row.value().path("revision").asLong(), row.value().path("transaction").asText(), row.version());
	}

	private static List<ResourceKey> parseKeys(JsonNode keys) {
		List<ResourceKey> parsed = new ArrayList<>();
		for (JsonNode key : keys) {
			String[] parts = key.asText().split("/", 2);
			Kind.ofLabel(parts[0]).ifPresent((kind) -> parsed.add(new ResourceKey(kind, parts[1])));
		}
		return List.copyOf(parsed);
	}

	private static StoreSnapshot snapshotOf(Head head, List<Row> rows) {
		List<Resource.Versioned> resources = new ArrayList<>();
		Map<ResourceKey, Long> versions = new HashMap<>();
		for (Row row : rows) {
			Resource resource = ResourceCodec.read(row.value().path("declaration"));
			resources.add(new Resource.Versioned(resource, row.value().path("revision").asLong()));
			versions.put(resource.key(), row.version());
			Invariants.check(row.value().path("revision").asLong() <= head.revision(), StoreEvents.REVISION_BEYOND_HEAD,
					"resource", resource.key(), "revision", row.value().path("revision"), "head", head.revision());
		}
		return new StoreSnapshot(head, Configuration.of(head.revision(), resources), Map.copyOf(versions));
	}

	/**
	 * The head of the configuration.
	 *
	 * @param revision the number of the last change
	 * @param transaction the name of the last change
	 * @param rowVersion the version of the row, 0 when there is none
	 */
	record Head(long revision, String transaction, long rowVersion) {

		static final Head NONE = new Head(0, "", 0);

	}

}
