package org.rosemaryfront.ports;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import reactor.core.publisher.Mono;

/**
 * The operations of the platform's table service that the gateway uses.
 *
 * <p>
 * The response to a commit can be lost after the commit took effect, and a commit can
 * take effect seconds later if its conditions still hold. The verdict of
 * {@link StoreException} states whether this is possible.
 *
 * <p>
 * The service may come back from a copy that is some seconds old. It has lost the commits
 * since then, and assigns their versions again. Each response names the generation of the
 * service, which rises by one each time.
 */
public interface RowStore {

	/**
	 * Commits the writes if all conditions hold; otherwise changes nothing.
	 * @param commit the conditions and writes
	 * @return whether the commit took effect or was in conflict; fails with a
	 * {@link StoreException}
	 */
	Mono<Outcome> commit(Commit commit);

	/**
	 * Reads rows of a table in key order from one consistent snapshot, over a connection
	 * that is not pooled.
	 * @param range the rows to read
	 * @return the rows; fails with a {@link StoreException}
	 */
	Mono<Page> read(Range range);

	/**
	 * Waits for changes of a table. A request with a wait time of zero uses a connection
	 * that is not pooled.
	 * @param table the table
	 * @param since the version after which changes are returned
	 * @param wait the maximum time to wait
	 * @return the changes in order, none if the wait time elapsed; fails with a
	 * {@link StoreException}
	 */
	Mono<Page> changes(String table, long since, Duration wait);

	/**
	 * Reads rows as {@link #read(Range)} does, and tells how the response arrives.
	 * @param range the rows to read
	 * @param transfer observes the response
	 * @return the rows; fails with a {@link StoreException}
	 */
	default Mono<Page> read(Range range, Transfer transfer) {
		return read(range);
	}

	/**
	 * Waits for changes as {@link #changes(String, long, Duration)} does, and tells how
	 * the response arrives.
	 * @param table the table
	 * @param since the version after which changes are returned
	 * @param wait the maximum time to wait
	 * @param transfer observes the response
	 * @return the changes in order; fails with a {@link StoreException}
	 */
	default Mono<Page> changes(String table, long since, Duration wait, Transfer transfer) {
		return changes(table, since, wait);
	}

	/** Observes how a response arrives. Called on the I/O thread; must not block. */
	@FunctionalInterface
	interface Transfer {

		/** Observes nothing. */
		Transfer UNOBSERVED = (_) -> {
		};

		/**
		 * Called for each part of a response.
		 * @param bytes the length of the part in bytes, as sent
		 */
		void received(int bytes);

	}

	/**
	 * A row.
	 *
	 * @param key the key
	 * @param value the value, empty if the row was deleted
	 * @param version the version of its last write
	 */
	record Row(String key, Optional<byte[]> value, long version) {
	}

	/**
	 * A range of keys to read.
	 *
	 * @param table the table
	 * @param from the first key, inclusive; empty for the start of the table
	 * @param to the last key, exclusive; empty for the end of the table
	 */
	record Range(String table, String from, String to) {
	}

	/**
	 * A page of rows or changes.
	 *
	 * @param rows the rows
	 * @param hasMore whether the range contains further rows
	 * @param version the newest version of the store when the page was read
	 * @param generation the generation of the store
	 */
	record Page(List<Row> rows, boolean hasMore, long version, long generation) {

		public Page {
			rows = List.copyOf(rows);
		}

	}

	/**
	 * A transaction on one table.
	 *
	 * @param table the table
	 * @param conditions the conditions, all of which must hold
	 * @param writes the rows to write
	 * @param deletes the keys of the rows to delete
	 */
	record Commit(String table, List<Condition> conditions, List<Write> writes, List<String> deletes) {

		public Commit {
			conditions = List.copyOf(conditions);
			writes = List.copyOf(writes);
			deletes = List.copyOf(deletes);
		}

		/**
		 * Creates a transaction that writes one row unconditionally.
		 * @param table the table
		 * @param key the key
		 * @param value the value
		 * @return the transaction
		 */
		public static Commit put(String table, String key, byte[] value) {
			return new Commit(table, List.of(), List.of(new Write(key, value)), List.of());
		}

	}

	/**
	 * A condition that a row has the given version.
	 *
	 * @param key the key
	 * @param version the version, 0 if the row must not exist
	 */
	record Condition(String key, long version) {
	}

	/**
	 * A write of one row.
	 *
	 * @param key the key
	 * @param value the value
	 */
	record Write(String key, byte[] value) {
	}

	/** The outcome of a transaction. */
	sealed interface Outcome {

		/**
		 * Returns the generation of the store that answered.
		 * @return the generation
		 */
		long generation();

		/**
		 * The transaction took effect.
		 *
		 * @param version the version of the rows written
		 * @param generation the generation of the store
		 */
		record Committed(long version, long generation) implements Outcome {
		}

		/**
		 * A condition did not hold; nothing was written.
		 *
		 * @param present the keys of those rows named in the conditions that exist
		 * @param generation the generation of the store
		 */
		record Conflict(Set<String> present, long generation) implements Outcome {

			public Conflict {
				present = Set.copyOf(present);
			}

		}

	}

}
