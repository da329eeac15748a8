package org.rosemaryfront.configuration;

import java.util.List;

import org.rosemaryfront.model.ResourceKey;

/**
 * What became of a {@link Change}.
 */
public sealed interface ApplyOutcome {

	/**
	 * The change is declared.
	 *
	 * @param revision the revision that holds it
	 * @param changes what it did to each resource that it names
	 */
	record Applied(long revision, List<Effect> changes) implements ApplyOutcome {
	}

	/**
	 * Another change came first; nothing was changed.
	 *
	 * @param revision the revision found
	 * @param changed the resources that do not have the expected version
	 */
	record Conflict(long revision, List<Mismatch> changed) implements ApplyOutcome {
	}

	/**
	 * The change breaks rules; nothing was changed.
	 *
	 * @param errors one sentence for each broken rule, that names the place
	 */
	record Invalid(List<String> errors) implements ApplyOutcome {
	}

	/**
	 * What a change did to one resource.
	 *
	 * @param key the resource
	 * @param type what was done
	 */
	record Effect(ResourceKey key, EffectType type) {
	}

	/**
	 * A resource that another change reached first.
	 *
	 * @param key the resource
	 * @param expected the version that the change was made for, 0 for an absent resource
	 * @param found the version found, 0 for an absent resource
	 */
	record Mismatch(ResourceKey key, long expected, long found) {
	}

	/** What a change does to a resource. */
	enum EffectType {

		/** It did not exist before. */
		CREATED,

		/** It has other fields than before. */
		UPDATED,

		/** It does not exist any more. */
		DELETED,

		/** It is as it was before. */
		UNCHANGED

	}

}
