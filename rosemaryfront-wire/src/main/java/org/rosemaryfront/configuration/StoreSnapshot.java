package org.rosemaryfront.configuration;

import java.util.Map;

import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.Resource;
import org.rosemaryfront.model.ResourceKey;

/**
 * The whole configuration as read at one revision, with what a conditional write needs.
 *
 * @param head the head
 * @param configuration the configuration
 * @param rowVersions the versions of the rows that hold the resources
 */
record StoreSnapshot(StoreRows.Head head, Configuration configuration, Map<ResourceKey, Long> rowVersions) {

	long revision() {
		return this.head.revision();
	}

	/**
	 * The revision that last changed a resource.
	 * @param key the resource
	 * @return the revision, 0 when there is no such resource
	 */
	long version(ResourceKey key) {
		Resource.Versioned versioned = this.configuration.resources().get(key);
		return (versioned != null) ? versioned.version() : 0;
	}

	long rowVersion(ResourceKey key) {
		return this.rowVersions.getOrDefault(key, 0L);
	}

}
