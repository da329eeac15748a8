package org.rosemaryfront.configuration;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.SortedSet;
import java.util.TreeSet;

import org.rosemaryfront.model.Resource;
import org.rosemaryfront.model.ResourceKey;

/**
 * A change of the configuration, applied as a whole or not at all.
 *
 * @param transaction names the change, so that repeating it applies nothing twice
 * @param puts the resources to create or replace
 * @param deletions the resources to delete
 */
public record Change(String transaction, List<Put> puts, List<Deletion> deletions) {

	public Change {
		Objects.requireNonNull(transaction, "transaction is null");
		puts = List.copyOf(puts);
		deletions = List.copyOf(deletions);
	}

	// -- factories

	/**
	 * A change that creates or replaces resources whatever their versions.
	 * @param transaction names the change
	 * @param resources the resources
	 * @return the change
	 */
	public static Change ofAll(String transaction, List<? extends Resource> resources) {
		return new Change(transaction,
				resources.stream().map((resource) -> new Put(resource, OptionalLong.empty())).toList(), List.of());
	}

	// -- queries

	/**
	 * The resources to delete.
	 * @return their identities
	 */
	public List<ResourceKey> deletedKeys() {
		return this.deletions.stream().map(Deletion::key).toList();
	}

	/**
	 * The resources to create or replace.
	 * @return the resources
	 */
	public List<Resource> resources() {
		return this.puts.stream().map(Put::resource).toList();
	}

	/**
	 * All resources that the change names.
	 * @return their identities
	 */
	public SortedSet<ResourceKey> keys() {
		SortedSet<ResourceKey> keys = new TreeSet<>(deletedKeys());
		this.puts.forEach((put) -> keys.add(put.resource().key()));
		return keys;
	}

	// -- values

	/**
	 * A resource to create or replace.
	 *
	 * @param resource the resource
	 * @param version the version that it must have, 0 when it must not exist, empty for
	 * any
	 */
	public record Put(Resource resource, OptionalLong version) {

		public Put {
			Objects.requireNonNull(resource, "resource is null");
			Objects.requireNonNull(version, "version is null");
		}

	}

	/**
	 * A resource to delete.
	 *
	 * @param key its identity
	 * @param version the version that it must have, empty for any
	 */
	public record Deletion(ResourceKey key, OptionalLong version) {

		public Deletion {
			Objects.requireNonNull(key, "key is null");
			Objects.requireNonNull(version, "version is null");
		}

	}

}
