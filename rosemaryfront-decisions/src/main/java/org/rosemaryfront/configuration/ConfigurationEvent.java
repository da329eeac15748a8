package org.rosemaryfront.configuration;

import java.util.Objects;

import org.rosemaryfront.model.Configuration;

/**
 * Something that happened and that the state of the configuration must know.
 */
public sealed interface ConfigurationEvent {

	/**
	 * The head was read from the table service.
	 *
	 * @param revision the revision of the last change, 0 when there was none yet
	 */
	record HeadRead(long revision) implements ConfigurationEvent {
	}

	/** The head could not be read. */
	record HeadFailed() implements ConfigurationEvent {
	}

	/**
	 * A member said which revision is in force there.
	 *
	 * @param address its address
	 * @param revision the revision, 0 when it knows none
	 */
	record PeerHeard(String address, long revision) implements ConfigurationEvent {

		public PeerHeard {
			Objects.requireNonNull(address, "address is null");
		}

	}

	/**
	 * A configuration was read from a peer or from the table service.
	 *
	 * @param configuration the whole configuration
	 */
	record ConfigurationRead(Configuration configuration) implements ConfigurationEvent {

		public ConfigurationRead {
			Objects.requireNonNull(configuration, "configuration is null");
		}

	}

	/** The configuration could not be read where it was asked for. */
	record ReadFailed() implements ConfigurationEvent {
	}

}
