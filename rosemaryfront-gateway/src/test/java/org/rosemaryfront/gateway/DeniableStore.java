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
 * A way to a table service that turns one gateway away and serves the others, or loses
 * what it was asked.
 */
final class DeniableStore implements RowStore {

	private final RowStore store;

	private final Sinks.One<Void> denied = Sinks.one();

	/** Ends what is under way with an error. */
	private volatile Sinks.One<Void> broken = Sinks.one();

	/** Set for what is under way once it is never answered. */
	private volatile AtomicBoolean silent = new AtomicBoolean();

	private volatile boolean denying;

	private volatile boolean denyingWrites;

	DeniableStore(RowStore store) {
		this.store = store;
	}

	/** Turns the gateway away for good, also what it waits for now. */
	void deny() {
		this.denying = true;
		this.denied.tryEmitError(failure());
	}

	/** Breaks what is under way off; what is asked from now on is answered. */
	void breakOff() {
		Sinks.One<Void> now = this.broken;
		this.broken = Sinks.one();
		now.tryEmitError(failure());
	}

	/** Never answers what is under way; what is asked from now on is answered. */
	void silence() {
		AtomicBoolean now = this.silent;
		this.silent = new AtomicBoolean();
		now.set(true);
	}

	/**
	 * Turns the gateway's writes away, or takes them again.
	 * @param now whether they are turned away
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
		return StoreException.of(Reason.BUSY, Verdict.notRun(), "turned away");
	}

}
