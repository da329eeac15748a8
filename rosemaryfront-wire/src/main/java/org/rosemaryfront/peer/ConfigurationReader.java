package org.rosemaryfront.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.Resource;
import org.rosemaryfront.model.ResourceCodec;
import org.rosemaryfront.model.ResourceKey;
import org.rosemaryfront.platform.TableClient;

/**
 * Reads the configuration from the table service: the changes after a known revision when
 * they are few, else all resources. Rows are read one by one, so that a change can come
 * in between; the head is read before and after, and a read during which it moved is
 * repeated.
 */
final class ConfigurationReader {

	static final String TABLE = "configuration";

	static final String HEAD = "head";

	private static final String CHANGES = "change/";

	private static final String RESOURCES = "resource/";

	private static final int PAGE = 500;

	/** Changes above which all resources are read. */
	private static final int MAX_CHANGES = 64;

	private static final int ATTEMPTS = 5;

	/** Rows read at the same time. */
	private static final int CONCURRENCY = 8;

	private final TableClient tables;

	private ConfigurationReader(TableClient tables) {
		this.tables = tables;
	}

	// -- factories

	static ConfigurationReader of(TableClient tables) {
		return new ConfigurationReader(tables);
	}

	// -- reads

	/**
	 * The revision of the last change.
	 * @return 0 when there was none yet
	 */
	Mono<Long> head() {
		return this.tables.read(TABLE, HEAD)
			.map((row) -> row.map((head) -> head.value().path("revision").asLong()).orElse(0L));
	}

	/**
	 * The whole configuration of the head.
	 * @param base the configuration in force, from which only changes are read
	 * @return the configuration
	 */
	Mono<Configuration> read(Configuration base) {
		return attempt(base, ATTEMPTS);
	}

	private Mono<Configuration> attempt(Configuration base, int attempts) {
		return head().flatMap((before) -> at(base, before).flatMap((read) -> head().flatMap((after) -> {
			if (after.equals(before)) {
				return Mono.just(read);
			}
			return (attempts > 1) ? attempt(base, attempts - 1)
					: Mono.error(new IllegalStateException("the configuration changed during each read"));
		})));
	}

	private Mono<Configuration> at(Configuration base, long head) {
		if (head <= base.revision()) {
			return Mono.just(base);
		}
		if (base.revision() == 0 || head - base.revision() > MAX_CHANGES) {
			return all(head);
		}
		String after = CHANGES + "%012d".formatted(base.revision());
		return this.tables.scan(TABLE, CHANGES, after, PAGE)
			.flatMap((rows) -> (rows.size() == head - base.revision()) ? changed(base, head, rows) : all(head));
	}

	private Mono<Configuration> changed(Configuration base, long head, List<TableClient.Row> changes) {
		TreeSet<String> keys = new TreeSet<>();
		for (TableClient.Row change : changes) {
			change.value().path("changed").forEach((key) -> keys.add(key.asText()));
			change.value().path("deleted").forEach((key) -> keys.add(key.asText()));
		}
		TreeMap<ResourceKey, Resource.Versioned> resources = new TreeMap<>(base.resources());
		return Flux.fromIterable(keys)
			.flatMap((key) -> this.tables.read(TABLE, RESOURCES + key).map((row) -> new Found(key, row)), CONCURRENCY)
			.collectList()
			.map((found) -> {
				found.forEach((one) -> one.putInto(resources));
				return Configuration.of(head, resources.values());
			});
	}

	private Mono<Configuration> all(long head) {
		return pages("", new ArrayList<>()).map((resources) -> Configuration.of(head, resources));
	}

	private Mono<Collection<Resource.Versioned>> pages(String after, Collection<Resource.Versioned> read) {
		return this.tables.scan(TABLE, RESOURCES, after, PAGE).flatMap((rows) -> {
			rows.forEach((row) -> read.add(resource(row.value())));
			return (rows.size() < PAGE) ? Mono.just(read) : pages(rows.getLast().key(), read);
		});
	}

	private static Resource.Versioned resource(JsonNode row) {
		return new Resource.Versioned(ResourceCodec.read(row.path("declaration")), row.path("revision").asLong());
	}

	private record Found(String key, Optional<TableClient.Row> row) {

		void putInto(TreeMap<ResourceKey, Resource.Versioned> resources) {
			if (this.row.isPresent()) {
				Resource.Versioned versioned = resource(this.row.get().value());
				resources.put(versioned.resource().key(), versioned);
			}
			else {
				ConfigurationHistory.parse(this.key).ifPresent(resources::remove);
			}
		}

	}

}
