package org.rosemaryfront.model;

import java.util.Collection;
import java.util.Collections;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Holds all declared resources at one revision.
 *
 * <p>
 * A process replaces its configuration only with one of a higher revision, so that an
 * accepted configuration is never reverted.
 *
 * <pre>
 * Configuration next = Configuration.empty().with(1, List.of(pool), List.of());
 * </pre>
 */
public final class Configuration {

	private static final Configuration EMPTY = new Configuration(0, Collections.emptySortedMap());

	private final long revision;

	private final SortedMap<ResourceKey, Resource.Versioned> resources;

	private Configuration(long revision, SortedMap<ResourceKey, Resource.Versioned> resources) {
		this.revision = revision;
		this.resources = resources;
	}

	/**
	 * Returns the configuration before the first change.
	 * @return an empty configuration at revision 0
	 */
	public static Configuration empty() {
		return EMPTY;
	}

	/**
	 * Creates a configuration from a complete set of resources.
	 * @param revision the revision
	 * @param resources all resources at that revision
	 * @return the configuration
	 */
	public static Configuration of(long revision, Collection<Resource.Versioned> resources) {
		Objects.requireNonNull(resources, "resources is null");
		SortedMap<ResourceKey, Resource.Versioned> table = new TreeMap<>();
		resources.forEach((versioned) -> table.put(versioned.resource().key(), versioned));
		return new Configuration(revision, Collections.unmodifiableSortedMap(table));
	}

	/**
	 * Returns this configuration with a change applied.
	 * @param newRevision the revision of the change
	 * @param changed the resources created or replaced
	 * @param deleted the resources removed
	 * @return the changed configuration
	 */
	public Configuration with(long newRevision, Collection<? extends Resource> changed,
			Collection<ResourceKey> deleted) {
		Objects.requireNonNull(changed, "changed is null");
		Objects.requireNonNull(deleted, "deleted is null");
		SortedMap<ResourceKey, Resource.Versioned> table = new TreeMap<>(this.resources);
		deleted.forEach(table::remove);
		changed.forEach((resource) -> table.put(resource.key(), new Resource.Versioned(resource, newRevision)));
		return new Configuration(newRevision, Collections.unmodifiableSortedMap(table));
	}

	/**
	 * Returns all resources of a type in order of their names.
	 * @param <T> the type
	 * @param type the class of the type
	 * @return the resources
	 */
	public <T extends Resource> Stream<T> all(Class<T> type) {
		return this.resources.values().stream().flatMap((versioned) -> versioned.as(type).stream());
	}

	/**
	 * Finds a resource by type and name.
	 * @param <T> the type
	 * @param type the class of the type
	 * @param name the name
	 * @return the resource, or empty if there is none
	 */
	public <T extends Resource> Optional<T> find(Class<T> type, String name) {
		return all(type).filter((resource) -> resource.name().equals(name)).findFirst();
	}

	/**
	 * Finds the pool that serves a model or an adapter.
	 * @param modelOrAdapter the name of the model or adapter in a request
	 * @return the pool, or empty if no pool serves it
	 */
	public Optional<Resource.Pool> poolServing(String modelOrAdapter) {
		String model = find(Resource.Adapter.class, modelOrAdapter).map(Resource.Adapter::model).orElse(modelOrAdapter);
		return all(Resource.Pool.class).filter((pool) -> pool.models().contains(model)).findFirst();
	}

	/**
	 * Returns all resources with their versions, sorted by key.
	 * @return an unmodifiable map
	 */
	public SortedMap<ResourceKey, Resource.Versioned> resources() {
		return this.resources;
	}

	/**
	 * Returns the revision of the last change.
	 * @return 0 before the first change
	 */
	public long revision() {
		return this.revision;
	}

	@Override
	public String toString() {
		return "Configuration(" + this.revision + ", " + this.resources.keySet() + ")";
	}

}
