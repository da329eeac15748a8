package org.rosemaryfront.ports;

import java.util.Optional;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.rollout.Phase;
import org.rosemaryfront.rollout.RolloutOrder;
import org.rosemaryfront.routes.TrafficConfiguration;

/**
 * The rows of the table service that others than this process write.
 */
public interface RecordCodec {

	/**
	 * The table and the key of the configuration.
	 * @return where it stands
	 */
	Place configuration();

	/**
	 * The table of the backend servers.
	 * @return its name
	 */
	String servers();

	/**
	 * Reads a configuration.
	 * @param value the row's value
	 * @return the configuration
	 * @throws IllegalArgumentException when it cannot be read or names what is missing
	 */
	TrafficConfiguration configuration(byte[] value);

	/**
	 * Reads the registration of a backend server.
	 * @param id the server, the row's key
	 * @param value the row's value
	 * @return the server
	 * @throws IllegalArgumentException when it cannot be read
	 */
	BackendServer server(String id, byte[] value);

	/**
	 * The service that a row beside the configuration orders a roll-out for.
	 * @param key the row's key, in the table of the configuration
	 * @return the service, empty when the row is none of these
	 */
	Optional<String> rolloutOf(String key);

	/**
	 * Reads an order for a roll-out.
	 * @param service the service that the row is for
	 * @param value the row's value
	 * @param version the row's version
	 * @return the order
	 * @throws IllegalArgumentException when it cannot be read
	 */
	RolloutOrder rollout(String service, byte[] value, long version);

	/**
	 * Where the state of a roll-out is written for the operator.
	 * @param service the service
	 * @return where it stands
	 */
	Place rolloutState(String service);

	/**
	 * Writes the state of a roll-out.
	 * @param to the version that the service is moved to
	 * @param phase how far it is
	 * @return the row's value
	 */
	byte[] rolloutState(String to, Phase phase);

	/**
	 * Where a row stands.
	 *
	 * @param table the table
	 * @param key the key
	 */
	record Place(String table, String key) {
	}

}
