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

import org.rosemaryfront.tables.TableQuery.Sent;

/** A store with one table, in which each change is a row. Faults can be injected. */
final class SimulatedStore {

	private final List<Long> changedAt = new ArrayList<>();

	private final Map<Sent, PendingQuery> feeds = new HashMap<>();

	/** The queries that received no response. */
	private final Set<Sent> unanswered = new HashSet<>();

	private final Set<Integer> unresponsiveTo = new HashSet<>();

	private final Set<Integer> refused = new HashSet<>();

	/** The first change that is kept in the history. */
	private int historyStart;

	/** Rises each time the store comes back from a copy. */
	private long generation;

	private boolean unavailable;

	/** Whether pending queries for changes receive none. */
	private boolean feedsMissChanges;

	private int queries;

	// -- called by the tests

	void change(long nowNanos) {
		this.changedAt.add(nowNanos);
		if (!this.feedsMissChanges) {
			List.copyOf(this.feeds.values()).forEach(this::respondToFeed);
		}
	}

	int changes() {
		return this.changedAt.size();
	}

	long changedAt(int change) {
		return this.changedAt.get(change);
	}

	int queries() {
		return this.queries;
	}

	/** Never responds to the pending queries for changes; new ones receive a response. */
	void dropPendingFeeds() {
		this.unanswered.addAll(this.feeds.keySet());
		this.feeds.clear();
	}

	void unresponsiveTo(int gateway, boolean enabled) {
		set(this.unresponsiveTo, gateway, enabled);
		if (enabled) {
			List<PendingQuery> lost = this.feeds.values().stream().filter((feed) -> feed.gateway == gateway).toList();
			lost.forEach((feed) -> {
				this.unanswered.add(feed.sent);
				this.feeds.remove(feed.sent);
			});
		}
	}

	void refuses(int gateway, boolean enabled) {
		set(this.refused, gateway, enabled);
	}

	void feedsMissChanges() {
		this.feedsMissChanges = true;
	}

	/** Drops the history and closes the pending queries for changes. */
	void dropHistory() {
		this.feedsMissChanges = false;
		this.historyStart = this.changedAt.size();
		List<PendingQuery> cut = List.copyOf(this.feeds.values());
		this.feeds.clear();
		cut.forEach((feed) -> feed.receiver.accept(new Response.Failed(false)));
	}

	/**
	 * Becomes unavailable for all gateways, and closes the pending queries for changes.
	 */
	void becomeUnavailable() {
		this.unavailable = true;
		dropHistory();
	}

	/** Comes back from a copy, in which all versions are assigned again. */
	void restore() {
		this.unavailable = false;
		this.historyStart = 0;
		this.generation++;
	}

	private static void set(Set<Integer> gateways, int gateway, boolean enabled) {
		if (enabled) {
			gateways.add(gateway);
		}
		else {
			gateways.remove(gateway);
		}
	}

	// -- called by the gateways

	void query(int gateway, Sent sent, long nowNanos, Consumer<Response> receiver) {
		this.queries++;
		if (this.unresponsiveTo.contains(gateway)) {
			this.unanswered.add(sent);
		}
		else if (this.unavailable || this.refused.contains(gateway)) {
			receiver.accept(new Response.Failed(false));
		}
		else {
			respond(new PendingQuery(gateway, sent, receiver));
		}
	}

	private void respond(PendingQuery pending) {
		switch (pending.sent.query()) {
			case TableQuery.FullTable _ -> pending.receiver.accept(rows(0));
			case TableQuery.Check check -> changesSince(check.since(), pending);
			case TableQuery.Feed feed -> {
				if (versionOf(this.changedAt.size() - 1) > feed.since() && !this.feedsMissChanges) {
					changesSince(feed.since(), pending);
				}
				else {
					this.feeds.put(pending.sent, pending);
				}
			}
			case TableQuery.FromGateway _ ->
				throw new IllegalArgumentException("the store was asked to answer a query to a gateway");
		}
	}

	private void respondToFeed(PendingQuery feed) {
		this.feeds.remove(feed.sent);
		respond(feed);
	}

	private void changesSince(long since, PendingQuery pending) {
		boolean lost = since < versionOf(this.historyStart - 1);
		pending.receiver.accept(lost ? new Response.Failed(true) : rows(since));
	}

	private Response.Rows rows(long since) {
		List<Integer> changes = IntStream.range(0, this.changedAt.size())
			.filter((change) -> versionOf(change) > since)
			.boxed()
			.toList();
		return new Response.Rows(changes, versionOf(this.changedAt.size() - 1));
	}

	/**
	 * Ends the wait for a response.
	 * @param sent the query
	 * @return what the sender of the query receives, empty if it had a response
	 */
	Optional<Response> unanswered(Sent sent) {
		boolean waiting = this.feeds.remove(sent) != null;
		if (waiting) {
			return Optional.of(rows(Long.MAX_VALUE));
		}
		return this.unanswered.remove(sent) ? Optional.of(new Response.Failed(false)) : Optional.empty();
	}

	/**
	 * Returns the version of the store after a change.
	 * @param change the number of the change, -1 for the time before the first one
	 * @return the version in the current generation
	 */
	long versionOf(int change) {
		return StoreVersion.of(this.generation, change + 2);
	}

	/** The result of a query. */
	sealed interface Response {

		/**
		 * A response with rows.
		 *
		 * @param changes the changes that the rows show
		 * @param version the version of the store
		 */
		record Rows(List<Integer> changes, long version) implements Response {
		}

		/**
		 * A failure.
		 *
		 * @param historyLost whether the history does not reach back to the queried
		 * version
		 */
		record Failed(boolean historyLost) implements Response {
		}

	}

	private record PendingQuery(int gateway, Sent sent, Consumer<Response> receiver) {
	}

}
