package org.rosemaryfront.configuration;

import org.rosemaryfront.model.Configuration;

/**
 * Something that the caller of {@link ConfigurationState} must do or tell.
 */
public sealed interface ConfigurationCommand {

	/** Read the head from the table service. */
	record ReadHead() implements ConfigurationCommand {
	}

	/**
	 * Read the configuration from a peer.
	 *
	 * @param address the peer
	 * @param knownRevision the revision in force here, after which changes are wanted
	 */
	record ReadFromPeer(String address, long knownRevision) implements ConfigurationCommand {
	}

	/**
	 * Read the configuration from the table service.
	 *
	 * @param knownRevision the revision in force here, after which changes are wanted
	 */
	record ReadFromStore(long knownRevision) implements ConfigurationCommand {
	}

	/**
	 * A configuration of a higher revision is in force from now on.
	 *
	 * @param configuration the configuration
	 */
	record Applied(Configuration configuration) implements ConfigurationCommand {
	}

	/**
	 * A configuration that was read was dropped, because it is not higher than the one in
	 * force.
	 *
	 * @param revision its revision
	 */
	record Dropped(long revision) implements ConfigurationCommand {
	}

	/**
	 * The head in the table service is lower than the revision in force here: the table
	 * service lost an accepted change. The configuration in force stays.
	 *
	 * @param head the revision of the head
	 */
	record HeadBehind(long head) implements ConfigurationCommand {
	}

	/**
	 * Whether new work may be accepted changed.
	 *
	 * @param fresh whether it may be accepted now
	 */
	record FreshnessChanged(boolean fresh) implements ConfigurationCommand {
	}

}
