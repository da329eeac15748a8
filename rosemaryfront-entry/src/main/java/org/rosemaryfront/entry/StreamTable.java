package org.rosemaryfront.entry;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.model.Problem;
import org.rosemaryfront.model.ProblemCode;
import org.rosemaryfront.model.RequestId;
import org.rosemaryfront.model.Verdict;

/**
 * The accepted requests that this process holds: open ones, and ended ones for a bounded
 * time and within a bounded memory, for callers that come back.
 */
final class StreamTable {

	private static final int BYTES_PER_TOKEN = 64;

	private static final Problem STOPPED = Problem.of(ProblemCode.INTERRUPTED, Verdict.mayHaveRun(),
			"the entry stopped and no other entry took the request over");

	private final ConcurrentHashMap<RequestId, AnswerStream> streams = new ConcurrentHashMap<>();

	private final Limits limits;

	private StreamTable(Limits limits) {
		this.limits = limits;
	}

	// -- factories

	/**
	 * A table without streams.
	 * @param limits how long ended streams stay
	 * @return the table
	 */
	static StreamTable of(Limits limits) {
		return new StreamTable(Objects.requireNonNull(limits, "limits is null"));
	}

	// -- changes

	/**
	 * Takes a stream, unless one of the same or a higher epoch stands there.
	 * @param stream the stream
	 * @return the stream that it replaces, empty when there was none; the stream itself
	 * when it was not taken
	 */
	Optional<AnswerStream> put(AnswerStream stream) {
		AnswerStream[] earlier = new AnswerStream[1];
		this.streams.compute(stream.request().id(), (_, present) -> {
			boolean taken = present == null || present.request().epoch() < stream.request().epoch();
			earlier[0] = taken ? present : stream;
			return taken ? stream : present;
		});
		return Optional.ofNullable(earlier[0]);
	}

	/**
	 * Removes ended streams that nobody needs any more.
	 * @param now the time on the monotonic clock, in nanoseconds
	 */
	void expire(long now) {
		this.streams.values()
			.removeIf((stream) -> !stream.isOpen() && stream.idleNanos(now) > this.limits.retentionNanos());
		long excess = bytes() - this.limits.bytes();
		if (excess > 0) {
			expireOldest(now, excess);
		}
	}

	/**
	 * Fails every open stream, since the process ends and no peer took it.
	 */
	void failOpen() {
		this.streams.values().forEach((stream) -> {
			if (stream.fail(STOPPED)) {
				EventLog.warn(ServingEvents.REQUEST_REFUSED, "request", stream.request().id(), "code",
						STOPPED.code().code(), "tokens", stream.size());
			}
		});
	}

	private void expireOldest(long now, long excess) {
		List<AnswerStream> ended = this.streams.values()
			.stream()
			.filter((stream) -> !stream.isOpen() && !stream.hasReaders())
			.sorted(Comparator.comparingLong((AnswerStream stream) -> stream.idleNanos(now)).reversed())
			.toList();
		long left = excess;
		for (AnswerStream stream : ended) {
			if (left <= 0) {
				return;
			}
			this.streams.remove(stream.request().id(), stream);
			left -= bytes(stream);
		}
	}

	// -- queries

	/**
	 * Finds a stream.
	 * @param request the request
	 * @return the stream, empty when this process has none
	 */
	Optional<AnswerStream> find(RequestId request) {
		return Optional.ofNullable(this.streams.get(request));
	}

	/**
	 * Finds the stream of a request when it belongs to the organisation.
	 * @param request the request
	 * @param organisation the organisation that asks
	 * @return the stream, empty also for another organisation's request
	 */
	Optional<AnswerStream> find(RequestId request, String organisation) {
		return find(request).filter((stream) -> stream.request().organisation().equals(organisation));
	}

	/**
	 * All streams.
	 * @return a live view
	 */
	Collection<AnswerStream> all() {
		return this.streams.values();
	}

	/**
	 * The number of streams to which tokens still come.
	 * @return the number
	 */
	int open() {
		return (int) this.streams.values().stream().filter(AnswerStream::isOpen).count();
	}

	private long bytes() {
		return this.streams.values().stream().filter((stream) -> !stream.isOpen()).mapToLong(StreamTable::bytes).sum();
	}

	private static long bytes(AnswerStream stream) {
		return (long) stream.size() * BYTES_PER_TOKEN + 2L * stream.request().call().body().length;
	}

	/**
	 * How long ended streams stay.
	 *
	 * @param retentionNanos the time after the last reader, in nanoseconds
	 * @param bytes the memory of all ended streams together, estimated, in bytes
	 */
	record Limits(long retentionNanos, long bytes) {

	}

}
