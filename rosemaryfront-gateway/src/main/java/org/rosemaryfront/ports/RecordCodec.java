package org.rosemaryfront.ports;

import java.util.Optional;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.rollout.Phase;
import org.rosemaryfront.rollout.RolloutOrder;
import org.rosemaryfront.routes.TrafficConfiguration;

/**
 * Encodes and decodes the rows of the table service that the gateway shares with the
 * operator and the backend servers.
 */
public interface RecordCodec {

	/**
	 * Returns the table and key of the configuration row.
	 * @return the location of the row
	 */
	RowLocation configuration();

	/**
	 * Returns the name of the table that holds the registrations of the backend servers.
	 * @return the table
	 */
	String serversTable();

	/**
	 * Decodes a configuration.
	 * @param value the row's value
	 * @return the configuration
	 * @throws IllegalArgumentException if the value cannot be decoded or refers to
	 * something that is not defined
	 */
	TrafficConfiguration configuration(byte[] value);

	/**
	 * Decodes the registration of a backend server.
	 * @param id the identifier of the server, which is the row's key
	 * @param value the row's value
	 * @return the server
	 * @throws IllegalArgumentException if the value cannot be decoded
	 */
	BackendServer server(String id, byte[] value);

	/**
	 * Returns the service that a row in the table of the configuration requests a
	 * roll-out for.
	 * @param key the row's key, in the table of the configuration
	 * @return the service, empty if the row does not request a roll-out
	 */
	Optional<String> rolloutService(String key);

	/**
	 * Decodes a roll-out order.
	 * @param service the service that the row is for
	 * @param value the row's value
	 * @param version the row's version
	 * @return the order
	 * @throws IllegalArgumentException if the value cannot be decoded
	 */
	RolloutOrder rolloutOrder(String service, byte[] value, long version);

	/**
	 * Returns the location of the row that reports the state of a roll-out to the
	 * operator.
	 * @param service the service
	 * @return the location of the row
	 */
	RowLocation rolloutState(String service);

	/**
	 * Encodes the state of a roll-out.
	 * @param to the target version of the service
	 * @param phase the current phase of the roll-out
	 * @return the row's value
	 */
	byte[] rolloutState(String to, Phase phase);

	/**
	 * The location of a row.
	 *
	 * @param table the table
	 * @param key the key
	 */
	record RowLocation(String table, String key) {
	}

}
