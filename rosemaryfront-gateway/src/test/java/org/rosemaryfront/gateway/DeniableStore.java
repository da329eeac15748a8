package org.rosemaryfront.gateway;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;

import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.ports.RowStore;
import org.rosemaryfront.ports.StoreException;
import org.rosemaryfront.ports.StoreException.Reason;

/**
 * A connection to a table service that can reject one gateway while the service accepts
 * others, or lose its requests.
 */
final class DeniableStore implements RowStore {

	private final RowStore store;

	private final Sinks.One<Void> denied = Sinks.one();

	/** Fails the outstanding requests. */
	private volatile Sinks.One<Void> broken = Sinks.one();

	/** Set to true to leave the outstanding requests without a response. */
	private volatile AtomicBoolean silent = new AtomicBoolean();

	private volatile boolean denying;

	private volatile boolean denyingWrites;

	DeniableStore(RowStore store) {
		this.store = store;
	}

	/** Rejects all requests from now on, and fails the outstanding ones. */
	void deny() {
		this.denying = true;
		this.denied.tryEmitError(failure());
	}

	/** Fails the outstanding requests; later requests are served. */
	void breakOff() {
		Sinks.One<Void> now = this.broken;
		this.broken = Sinks.one();
		now.tryEmitError(failure());
	}

	/** Leaves the outstanding requests without a response; later requests are served. */
	void silence() {
		AtomicBoolean now = this.silent;
		this.silent = new AtomicBoolean();
		now.set(true);
	}

	/**
	 * Rejects the gateway's writes, or accepts them again.
	 * @param now whether writes are rejected
	 */
	void denyWrites(boolean now) {
		this.denyingWrites = now;
	}

	@Override
	public Mono<Outcome> commit(Commit commit) {
		return Mono.defer(() -> this.denyingWrites ? Mono.error(failure()) : guarded(this.store.commit(commit)));
	}

	@Override
	public Mono<Page> read(Range range) {
		return guarded(this.store.read(range));
	}

	@Override
	public Mono<Page> changes(String table, long since, Duration wait) {
		return guarded(this.store.changes(table, since, wait));
	}

	private <T> Mono<T> guarded(Mono<T> call) {
		return Mono.defer(() -> this.denying ? Mono.error(failure()) : Mono.firstWithSignal(heard(call, this.silent),
				this.denied.asMono().then(Mono.never()), this.broken.asMono().then(Mono.never())));
	}

	private static <T> Mono<T> heard(Mono<T> call, AtomicBoolean never) {
		return call.flatMap((answer) -> never.get() ? Mono.never() : Mono.just(answer));
	}

	private static StoreException failure() {
		return StoreException.of(Reason.BUSY, Verdict.notRun(), "rejected");
	}

}
