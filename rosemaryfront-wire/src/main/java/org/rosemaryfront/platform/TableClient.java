package org.rosemaryfront.platform;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import reactor.core.publisher.Mono;

/**
 * The platform's transactional table service; docs/INTERFACES.md gives the protocol.
 *
 * <p>
 * The answer to a write can be lost after the write took effect. A caller that gets a
 * {@link PlatformException} with the verdict may-have-run reads back a value that only
 * its own transaction wrote.
 */
public interface TableClient {

	/**
	 * Commits a transaction: all writes when all conditions hold, else none.
	 * @param transaction the transaction
	 * @return committed or in conflict; an error of {@link PlatformException}
	 */
	Mono<Outcome> commit(Transaction transaction);

	/**
	 * Reads one row.
	 * @param table the table
	 * @param key the key
	 * @return the row, empty when there is none; an error of {@link PlatformException}
	 */
	Mono<Optional<Row>> read(String table, String key);

	/**
	 * Reads rows in key order.
	 * @param table the table
	 * @param prefix the prefix of the keys wanted
	 * @param after the key after which to begin, empty for the first
	 * @param limit the greatest number of rows
	 * @return the rows; an error of {@link PlatformException}
	 */
	Mono<List<Row>> scan(String table, String prefix, String after, int limit);

	// -- values

	/**
	 * A row.
	 *
	 * @param table the table
	 * @param key the key
	 * @param value the value
	 * @param version the version, which grows with each write of the row
	 */
	record Row(String table, String key, JsonNode value, long version) {
	}

	/**
	 * A transaction.
	 *
	 * @param conditions what must hold
	 * @param writes what to write
	 */
	record Transaction(List<Condition> conditions, List<Write> writes) {
	}

	/**
	 * A row must have a version.
	 *
	 * @param table the table
	 * @param key the key
	 * @param version the version, 0 when the row must not exist
	 */
	record Condition(String table, String key, long version) {
	}

	/**
	 * A row gets a value.
	 *
	 * @param table the table
	 * @param key the key
	 * @param value the value, empty to delete the row
	 */
	record Write(String table, String key, Optional<JsonNode> value) {
	}

	/**
	 * What became of a transaction.
	 */
	sealed interface Outcome {

		/**
		 * All writes took effect.
		 *
		 * @param versions the versions of the rows written, in the order of the writes
		 */
		record Committed(List<Long> versions) implements Outcome {
		}

		/**
		 * No write took effect.
		 *
		 * @param failed the conditions that did not hold, with the versions found
		 */
		record Conflict(List<Condition> failed) implements Outcome {
		}

	}

}
