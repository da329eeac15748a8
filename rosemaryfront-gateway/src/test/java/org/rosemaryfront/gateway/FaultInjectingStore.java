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
final class FaultInjectingStore implements RowStore {

	private final RowStore store;

	private final Sinks.One<Void> rejection = Sinks.one();

	/** Fails the outstanding requests. */
	private volatile Sinks.One<Void> outstandingFailure = Sinks.one();

	/** Set to true to leave the outstanding requests without a response. */
	private volatile AtomicBoolean outstandingDropped = new AtomicBoolean();

	private volatile boolean rejecting;

	private volatile boolean rejectingWrites;

	FaultInjectingStore(RowStore store) {
		this.store = store;
	}

	/** Rejects all requests from now on, and fails the outstanding ones. */
	void rejectAll() {
		this.rejecting = true;
		this.rejection.tryEmitError(failure());
	}

	/** Fails the outstanding requests; later requests are served. */
	void failOutstanding() {
		Sinks.One<Void> now = this.outstandingFailure;
		this.outstandingFailure = Sinks.one();
		now.tryEmitError(failure());
	}

	/** Leaves the outstanding requests without a response; later requests are served. */
	void dropOutstanding() {
		AtomicBoolean now = this.outstandingDropped;
		this.outstandingDropped = new AtomicBoolean();
		now.set(true);
	}

	/**
	 * Rejects the gateway's writes, or accepts them again.
	 * @param now whether writes are rejected
	 */
	void rejectWrites(boolean now) {
		this.rejectingWrites = now;
	}

	@Override
	public Mono<Outcome> commit(Commit commit) {
		return Mono.defer(() -> this.rejectingWrites ? Mono.error(failure()) : withFaults(this.store.commit(commit)));
	}

	@Override
	public Mono<Page> read(Range range) {
		return withFaults(this.store.read(range));
	}

	@Override
	public Mono<Page> changes(String table, long since, Duration wait) {
		return withFaults(this.store.changes(table, since, wait));
	}

	private <T> Mono<T> withFaults(Mono<T> call) {
		return Mono.defer(() -> this.rejecting ? Mono.error(failure())
				: Mono.firstWithSignal(unlessDropped(call, this.outstandingDropped),
						this.rejection.asMono().then(Mono.never()),
						this.outstandingFailure.asMono().then(Mono.never())));
	}

	private static <T> Mono<T> unlessDropped(Mono<T> call, AtomicBoolean dropped) {
		return call.flatMap((answer) -> dropped.get() ? Mono.never() : Mono.just(answer));
	}

	private static StoreException failure() {
		return StoreException.of(Reason.BUSY, Verdict.notRun(), "rejected");
	}

}
