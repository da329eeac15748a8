package org.rosemaryfront.ports;

import org.rosemaryfront.dispatch.BackendServer;
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
	 * Where a row stands.
	 *
	 * @param table the table
	 * @param key the key
	 */
	record Place(String table, String key) {
	}

}
