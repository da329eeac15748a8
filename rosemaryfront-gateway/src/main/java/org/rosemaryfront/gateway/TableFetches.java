package org.rosemaryfront.gateway;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;

import reactor.core.Disposable;
import reactor.core.Disposables;

import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.ports.RowStore;
import org.rosemaryfront.tables.StoreVersion;
import org.rosemaryfront.tables.TableQuery;
import org.rosemaryfront.tables.TableQuery.Sent;

/**
 * The queries for one table that wait for a response of the store or of another gateway.
 * Thread-safe.
 */
final class TableFetches {

	private final String table;

	private final Map<Sent, Fetch> outstanding = new ConcurrentHashMap<>();

	TableFetches(String table) {
		this.table = table;
	}

	/**
	 * Records a query that is sent.
	 * @param sent the query
	 * @return observes its response
	 */
	Fetch begin(Sent sent) {
		Fetch fetch = new Fetch(sent);
		this.outstanding.put(sent, fetch);
		return fetch;
	}

	/**
	 * Records the end of a query.
	 * @param sent the query
	 * @return what was received of its response, empty if it was abandoned
	 */
	Optional<Fetch> end(Sent sent) {
		return Optional.ofNullable(this.outstanding.remove(sent));
	}

	/**
	 * Stops waiting for the response to a query.
	 * @param sent the query
	 */
	void abandon(Sent sent) {
		end(sent).ifPresent((fetch) -> fetch.call.dispose());
	}

	/**
	 * Returns whether another gateway has been asked for the table and not answered yet.
	 * @return whether such a query is outstanding
	 */
	boolean isGatewayAsked() {
		return this.outstanding.keySet().stream().anyMatch((sent) -> sent.query() instanceof TableQuery.FromGateway);
	}

	/**
	 * Returns how far the outstanding responses have arrived.
	 * @return when the last part of one of them arrived, on the monotonic clock; empty if
	 * nothing of them has
	 */
	Optional<Long> arrivedNanos() {
		return this.outstanding.values()
			.stream()
			.flatMap((fetch) -> fetch.arrivedNanos.stream())
			.max(Comparator.naturalOrder());
	}

	/**
	 * Describes the outstanding queries for a log.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the kind of each query, its age in milliseconds and the bytes received
	 */
	String describe(long nowNanos) {
		return this.outstanding.isEmpty() ? "none"
				: this.outstanding.values()
					.stream()
					.map((fetch) -> fetch.describe(nowNanos))
					.collect(Collectors.joining(","));
	}

	/**
	 * Logs a response that brought rows.
	 * @param fetch what was received of the response
	 * @param version the version of the store that it names
	 * @param rows the number of rows
	 * @param heardNanos the time since a newer version was first reported, empty if none
	 * was
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void log(Fetch fetch, long version, int rows, Optional<Long> heardNanos, long nowNanos) {
		EventLog.info(GatewayEvents.TABLE_FETCHED, "table", this.table, "query", kind(fetch.sent), "version",
				StoreVersion.format(version), "rows", rows, "bytes", fetch.bytes.get(), "firstByteMillis",
				millis(fetch.firstByteNanos), "millis", millis(Optional.of(nowNanos - fetch.sent.sentNanos())),
				"heardMillis", millis(heardNanos), "others", describe(nowNanos));
	}

	private static Object millis(Optional<Long> nanos) {
		return nanos.<Object>map(TimeUnit.NANOSECONDS::toMillis).orElse("none");
	}

	private static String kind(Sent sent) {
		return switch (sent.query()) {
			case TableQuery.FullTable _ -> "table";
			case TableQuery.Feed _ -> "feed";
			case TableQuery.Check _ -> "check";
			case TableQuery.FromGateway _ -> "gateway";
		};
	}

	/** One query and what was received of its response. */
	static final class Fetch implements RowStore.Transfer {

		/** The call; disposing it closes its connection. */
		final Disposable.Swap call = Disposables.swap();

		private final Sent sent;

		private final AtomicLong bytes = new AtomicLong();

		/** The time from the query to the first part of its response. */
		private volatile Optional<Long> firstByteNanos = Optional.empty();

		/** When the last part of its response arrived. */
		private volatile Optional<Long> arrivedNanos = Optional.empty();

		private Fetch(Sent sent) {
			this.sent = sent;
		}

		@Override
		public void received(int count) {
			long nowNanos = System.nanoTime();
			this.arrivedNanos = Optional.of(nowNanos);
			if (this.bytes.getAndAdd(count) == 0) {
				this.firstByteNanos = Optional.of(nowNanos - this.sent.sentNanos());
			}
		}

		private String describe(long nowNanos) {
			return kind(this.sent) + '/' + TimeUnit.NANOSECONDS.toMillis(nowNanos - this.sent.sentNanos()) + '/'
					+ this.bytes.get();
		}

	}

}
