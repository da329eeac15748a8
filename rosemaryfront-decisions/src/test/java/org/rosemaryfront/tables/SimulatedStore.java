package org.rosemaryfront.tables;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import org.rosemaryfront.tables.Question.Asked;

/** A store with one table, in which each change is a row. Faults can be injected. */
final class SimulatedStore {

	private final List<Long> changedAt = new ArrayList<>();

	private final Map<Asked, Waiting> feeds = new HashMap<>();

	/** The queries that received no response. */
	private final Set<Asked> unanswered = new HashSet<>();

	private final Set<Integer> silentTo = new HashSet<>();

	private final Set<Integer> refused = new HashSet<>();

	/** The first change that is kept in the history. */
	private int keptFrom;

	/** Whether pending queries for changes receive none. */
	private boolean deafFeeds;

	private int calls;

	// -- called by the tests

	void change(long nowNanos) {
		this.changedAt.add(nowNanos);
		if (!this.deafFeeds) {
			List.copyOf(this.feeds.values()).forEach(this::answerFeed);
		}
	}

	int changes() {
		return this.changedAt.size();
	}

	long changedAt(int change) {
		return this.changedAt.get(change);
	}

	int calls() {
		return this.calls;
	}

	/** Never responds to the pending queries for changes; new ones receive a response. */
	void silenceFeeds() {
		this.unanswered.addAll(this.feeds.keySet());
		this.feeds.clear();
	}

	void silentTo(int gateway, boolean now) {
		set(this.silentTo, gateway, now);
		if (now) {
			List<Waiting> lost = this.feeds.values().stream().filter((feed) -> feed.gateway == gateway).toList();
			lost.forEach((feed) -> {
				this.unanswered.add(feed.asked);
				this.feeds.remove(feed.asked);
			});
		}
	}

	void refuses(int gateway, boolean now) {
		set(this.refused, gateway, now);
	}

	void deafFeeds() {
		this.deafFeeds = true;
	}

	/** Drops the history and closes the pending queries for changes. */
	void dropHistory() {
		this.deafFeeds = false;
		this.keptFrom = this.changedAt.size();
		List<Waiting> cut = List.copyOf(this.feeds.values());
		this.feeds.clear();
		cut.forEach((feed) -> feed.reply.accept(new Reply.Failed(false)));
	}

	private static void set(Set<Integer> gateways, int gateway, boolean now) {
		if (now) {
			gateways.add(gateway);
		}
		else {
			gateways.remove(gateway);
		}
	}

	// -- called by the gateways

	void ask(int gateway, Asked asked, long nowNanos, Consumer<Reply> reply) {
		this.calls++;
		if (this.silentTo.contains(gateway)) {
			this.unanswered.add(asked);
		}
		else if (this.refused.contains(gateway)) {
			reply.accept(new Reply.Failed(false));
		}
		else {
			answer(new Waiting(gateway, asked, reply));
		}
	}

	private void answer(Waiting waiting) {
		switch (waiting.asked.question()) {
			case Question.Whole _ -> waiting.reply.accept(rows(0));
			case Question.Check check -> changesSince(check.since(), waiting);
			case Question.Feed feed -> {
				if (version(this.changedAt.size() - 1) > feed.since() && !this.deafFeeds) {
					changesSince(feed.since(), waiting);
				}
				else {
					this.feeds.put(waiting.asked, waiting);
				}
			}
			case Question.OfGateway _ ->
				throw new IllegalArgumentException("the store was asked to answer a query to a gateway");
		}
	}

	private void answerFeed(Waiting feed) {
		this.feeds.remove(feed.asked);
		answer(feed);
	}

	private void changesSince(long since, Waiting waiting) {
		boolean lost = since < version(this.keptFrom - 1);
		waiting.reply.accept(lost ? new Reply.Failed(true) : rows(since));
	}

	private Reply.Rows rows(long since) {
		List<Integer> changes = IntStream.range(0, this.changedAt.size())
			.filter((change) -> version(change) > since)
			.boxed()
			.toList();
		return new Reply.Rows(changes, version(this.changedAt.size() - 1));
	}

	/**
	 * Ends the wait for a response.
	 * @param asked the query
	 * @return what the sender of the query receives, empty if it had a response
	 */
	Optional<Reply> unanswered(Asked asked) {
		boolean waits = this.feeds.remove(asked) != null;
		if (waits) {
			return Optional.of(rows(Long.MAX_VALUE));
		}
		return this.unanswered.remove(asked) ? Optional.of(new Reply.Failed(false)) : Optional.empty();
	}

	/**
	 * Returns the version of the store after a change.
	 * @param change the number of the change, -1 for the time before the first one
	 * @return the version
	 */
	static long version(int change) {
		return change + 2;
	}

	/** The result of a query. */
	sealed interface Reply {

		/**
		 * A response with rows.
		 *
		 * @param changes the changes that the rows show
		 * @param version the version of the store
		 */
		record Rows(List<Integer> changes, long version) implements Reply {
		}

		/**
		 * A failure.
		 *
		 * @param historyLost whether the history does not reach back to the queried
		 * version
		 */
		record Failed(boolean historyLost) implements Reply {
		}

	}

	private record Waiting(int gateway, Asked asked, Consumer<Reply> reply) {
	}

}
