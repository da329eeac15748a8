package org.rosemaryfront.streams;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * The origins of streams that one gateway knows. An origin that was recorded stays for
 * the time in which a caller may take its stream up.
 */
public final class OriginTable {

	/**
	 * How long an origin is kept after an event of its stream was sent, in milliseconds:
	 * longer than callers wait for a stream with all their calls.
	 */
	static final long MAX_AGE_MILLIS = 60_000;

	/**
	 * The maximum number of origins: those of half a minute with 1,200 streams a second
	 * at one of nine gateways, in about 5 MB.
	 */
	static final int MAX_ORIGINS = 32_768;

	private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	/** The origins, about in the order in which they expire. */
	private final LinkedHashMap<StreamKey, Row> rows = new LinkedHashMap<>();

	private long evictions;

	/** When an event was last sent of the latest stream whose origin was dropped. */
	private OptionalLong droppedNanos = OptionalLong.empty();

	private OriginTable() {
	}

	/**
	 * Creates an empty table.
	 * @return the table
	 */
	public static OriginTable empty() {
		return new OriginTable();
	}

	/**
	 * Records what is known of a stream.
	 * @param stream the stream
	 * @param origin its origin
	 * @param ageMillis how long ago an event of the stream was last known to be sent
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void record(StreamKey stream, Origin origin, long ageMillis, long nowNanos) {
		long lastNanos = nowNanos - ageMillis * NANOS_PER_MILLI;
		Row known = this.rows.remove(stream);
		Origin combined = (known != null) ? known.origin.and(origin) : origin;
		long latestNanos = (known != null && known.lastNanos - lastNanos > 0) ? known.lastNanos : lastNanos;
		this.rows.put(stream, new Row(combined, latestNanos));
		expire(nowNanos);
		if (this.rows.size() > MAX_ORIGINS) {
			drop(this.rows.pollFirstEntry().getValue());
		}
	}

	private void drop(Row row) {
		this.evictions++;
		if (this.droppedNanos.isEmpty() || row.lastNanos - this.droppedNanos.getAsLong() > 0) {
			this.droppedNanos = OptionalLong.of(row.lastNanos);
		}
	}

	/**
	 * Returns what is known of a stream.
	 * @param stream the stream
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return its origin
	 */
	public Origin find(StreamKey stream, long nowNanos) {
		Row row = this.rows.get(stream);
		return (row != null && !row.isExpired(nowNanos)) ? row.origin : Origin.unknown();
	}

	/**
	 * Returns all origins.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return what to tell a gateway that has none of them
	 */
	public Iterable<OriginMessage.Told> all(long nowNanos) {
		expire(nowNanos);
		return this.rows.entrySet()
			.stream()
			.filter((entry) -> !entry.getValue().isExpired(nowNanos))
			.map((entry) -> new OriginMessage.Told(entry.getKey(), entry.getValue().origin,
					entry.getValue().ageMillis(nowNanos)))
			.toList();
	}

	/**
	 * Returns the number of origins.
	 * @return the number, expired ones included that were not removed yet
	 */
	public int size() {
		return this.rows.size();
	}

	/**
	 * Returns how many origins were dropped before their time.
	 * @return the number since the start
	 */
	public long evictions() {
		return this.evictions;
	}

	/**
	 * Returns up to when origins were dropped before their time.
	 * @return when an event was last sent of the latest stream whose origin was dropped,
	 * in nanoseconds; empty if none was
	 */
	OptionalLong droppedNanos() {
		return this.droppedNanos;
	}

	private void expire(long nowNanos) {
		Iterator<Row> oldest = this.rows.values().iterator();
		while (oldest.hasNext() && oldest.next().isExpired(nowNanos)) {
			oldest.remove();
		}
	}

	private record Row(Origin origin, long lastNanos) {

		private boolean isExpired(long nowNanos) {
			return nowNanos - this.lastNanos > MAX_AGE_MILLIS * NANOS_PER_MILLI;
		}

		private long ageMillis(long nowNanos) {
			return Math.max(0, (nowNanos - this.lastNanos) / NANOS_PER_MILLI);
		}

	}

}
