package org.rosemaryfront.configuration;

import java.util.Objects;

import org.rosemaryfront.model.Configuration;

/**
 * An input event of {@link ConfigurationState}.
 */
public sealed interface ConfigurationEvent {

	/**
	 * The head revision was read from the table service.
	 *
	 * @param revision the revision of the last change, or 0 if there was none yet
	 */
	record HeadRead(long revision) implements ConfigurationEvent {
	}

	/** The head revision could not be read from the table service. */
	record HeadFailed() implements ConfigurationEvent {
	}

	/**
	 * A peer reported the revision in force there.
	 *
	 * @param address the address of the peer
	 * @param revision the revision, or 0 if the peer has no configuration
	 */
	record PeerRevisionReceived(String address, long revision) implements ConfigurationEvent {

		public PeerRevisionReceived {
			Objects.requireNonNull(address, "address is null");
		}

	}

	/**
	 * A configuration was read from a peer or from the table service.
	 *
	 * @param configuration the complete configuration
	 */
	record ConfigurationRead(Configuration configuration) implements ConfigurationEvent {

		public ConfigurationRead {
			Objects.requireNonNull(configuration, "configuration is null");
		}

	}

	/** The configuration could not be read from the peer or the table service. */
	record ReadFailed() implements ConfigurationEvent {
	}

}
