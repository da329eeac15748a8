package org.rosemaryfront.configuration;

import org.rosemaryfront.model.Configuration;

/**
 * An action for the caller of {@link ConfigurationState} to execute, or a change for it
 * to report.
 */
public sealed interface ConfigurationCommand {

	/** Read the head revision from the table service. */
	record ReadHead() implements ConfigurationCommand {
	}

	/**
	 * Read the configuration from a peer.
	 *
	 * @param address the address of the peer
	 * @param knownRevision the revision in force here; only later changes are needed
	 */
	record ReadFromPeer(String address, long knownRevision) implements ConfigurationCommand {
	}

	/**
	 * Read the configuration from the table service.
	 *
	 * @param knownRevision the revision in force here; only later changes are needed
	 */
	record ReadFromStore(long knownRevision) implements ConfigurationCommand {
	}

	/**
	 * A configuration with a higher revision has come into force.
	 *
	 * @param configuration the configuration
	 */
	record Applied(Configuration configuration) implements ConfigurationCommand {
	}

	/**
	 * A configuration was read and discarded, because its revision is not higher than the
	 * one in force.
	 *
	 * @param revision the revision of the discarded configuration
	 */
	record Dropped(long revision) implements ConfigurationCommand {
	}

	/**
	 * The head revision in the table service is lower than the revision in force here,
	 * which means that the table service lost an accepted change. The configuration in
	 * force is kept.
	 *
	 * @param head the head revision in the table service
	 */
	record HeadBehind(long head) implements ConfigurationCommand {
	}

	/**
	 * The configuration became fresh or stale, so that new work may now be accepted or no
	 * longer be accepted.
	 *
	 * @param fresh whether new work may be accepted
	 */
	record FreshnessChanged(boolean fresh) implements ConfigurationCommand {
	}

}
