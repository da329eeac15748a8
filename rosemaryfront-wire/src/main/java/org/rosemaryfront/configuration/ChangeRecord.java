package org.rosemaryfront.configuration;

import java.util.List;

import org.rosemaryfront.model.ResourceKey;

/**
 * One entry of the change log.
 *
 * @param revision the revision that the change made
 * @param transaction the name of the change
 * @param changed the resources created or replaced
 * @param deleted the resources deleted
 */
public record ChangeRecord(long revision, String transaction, List<ResourceKey> changed, List<ResourceKey> deleted) {
}
