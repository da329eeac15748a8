package org.rosemaryfront.model;

import java.util.Objects;

/**
 * Identifies a resource by kind and name.
 *
 * @param kind the kind
 * @param name the name, unique within the kind
 */
public record ResourceKey(Kind kind, String name) implements Comparable<ResourceKey> {

	public ResourceKey {
		Objects.requireNonNull(kind, "kind is null");
		Objects.requireNonNull(name, "name is null");
	}

	@Override
	public int compareTo(ResourceKey other) {
		int byKind = this.kind.compareTo(other.kind);
		return (byKind != 0) ? byKind : this.name.compareTo(other.name);
	}

	@Override
	public String toString() {
		return this.kind.label() + "/" + this.name;
	}

}
