package org.rosemaryfront.gateway;

import java.time.Duration;

import reactor.core.publisher.Mono;

import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.ports.RowStore;

/**
 * Observes the generation of the store in its responses. Thread-safe.
 */
final class StoreGenerations implements RowStore {

	private static final long UNKNOWN = -1;

	private final RowStore store;

	/** The newest generation observed. */
	private long newest = UNKNOWN;

	StoreGenerations(RowStore store) {
		this.store = store;
	}

	/**
	 * Returns the newest generation of the store that this process knows.
	 * @return the generation, -1 before the first response
	 */
	synchronized long newest() {
		return this.newest;
	}

	@Override
	public Mono<Outcome> commit(Commit commit) {
		return this.store.commit(commit).doOnNext((outcome) -> observe(outcome.generation()));
	}

	@Override
	public Mono<Page> read(Range range) {
		return this.store.read(range).doOnNext((page) -> observe(page.generation()));
	}

	@Override
	public Mono<Page> changes(String table, long since, Duration wait) {
		return this.store.changes(table, since, wait).doOnNext((page) -> observe(page.generation()));
	}

	private synchronized void observe(long generation) {
		if (generation > this.newest) {
			if (this.newest != UNKNOWN) {
				EventLog.warn(GatewayEvents.STORE_RESTORED, "generation", generation, "before", this.newest);
			}
			this.newest = generation;
		}
	}

}
