package org.rosemaryfront.controller;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import reactor.core.publisher.Mono;

import org.rosemaryfront.capacity.Intent;
import org.rosemaryfront.capacity.Market;
import org.rosemaryfront.capacity.OfferKey;
import org.rosemaryfront.platform.TableClient;

/**
 * Purchase intents in the table service. Every write holds only while the fencing number
 * is this holder's, so that a holder that was paused past its lease can't write one.
 */
final class IntentTable {

	static final String TABLE = "intents";

	private static final int PAGE = 200;

	private final TableClient tables;

	private IntentTable(TableClient tables) {
		this.tables = tables;
	}

	static IntentTable of(TableClient tables) {
		return new IntentTable(Objects.requireNonNull(tables, "tables is null"));
	}

	// Writes an intent; a repeat of a write whose answer was lost is a success.
	Mono<Written> write(Intent intent, long fenceVersion) {
		JsonNode value = JsonNodeFactory.instance.objectNode()
			.put("pool", intent.pool())
			.put("zone", intent.sort().zone())
			.put("machineClass", intent.sort().machineClass())
			.put("market", intent.sort().market().name());
		return commit(fenceVersion, List.of(new TableClient.Condition(TABLE, intent.token(), 0)),
				new TableClient.Write(TABLE, intent.token(), Optional.of(value)));
	}

	// Deletes an intent; idempotent.
	Mono<Written> delete(String token, long fenceVersion) {
		return commit(fenceVersion, List.of(), new TableClient.Write(TABLE, token, Optional.empty()));
	}

	// All open intents.
	Mono<List<Intent>> all() {
		return page("").expand((rows) -> (rows.size() < PAGE) ? Mono.empty() : page(rows.getLast().key()))
			.flatMapIterable((rows) -> rows)
			.map((row) -> decode(row.key(), row.value()))
			.collectList();
	}

	private Mono<List<TableClient.Row>> page(String after) {
		return this.tables.scan(TABLE, "", after, PAGE);
	}

	private Mono<Written> commit(long fenceVersion, List<TableClient.Condition> own, TableClient.Write write) {
		List<TableClient.Condition> conditions = new ArrayList<>(own);
		conditions.add(new TableClient.Condition(LeaseTable.TABLE, LeaseTable.FENCE_ROW, fenceVersion));
		return this.tables.commit(new TableClient.Transaction(conditions, List.of(write)))
			.map((outcome) -> switch (outcome) {
				case TableClient.Outcome.Committed _ -> Written.DONE;
				case TableClient.Outcome.Conflict conflict ->
					conflict.failed().stream().anyMatch((failed) -> failed.table().equals(LeaseTable.TABLE))
							? Written.OVERTAKEN : Written.DONE;
			});
	}

	private static Intent decode(String token, JsonNode value) {
		return new Intent(token, value.path("pool").asText(), new OfferKey(value.path("zone").asText(),
				value.path("machineClass").asText(), Market.valueOf(value.path("market").asText())));
	}

	/** What became of a write. */
	enum Written {

		/** It stands, now or already before. */
		DONE,

		/** Another holder took over. */
		OVERTAKEN

	}

}
