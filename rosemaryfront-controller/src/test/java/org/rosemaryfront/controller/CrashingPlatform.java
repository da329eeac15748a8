package org.rosemaryfront.controller;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import reactor.core.publisher.Mono;

import org.rosemaryfront.model.VmId;
import org.rosemaryfront.platform.CloudClient;
import org.rosemaryfront.platform.TableClient;
import org.rosemaryfront.standin.platform.InMemoryPlatform;

/**
 * The platform as one process sees it, which crashes at its first purchase: from then on
 * none of its calls arrives and none is answered.
 */
final class CrashingPlatform implements TableClient, CloudClient {

	private final InMemoryPlatform platform;

	private final boolean purchaseArrives;

	private final Set<String> purchases = ConcurrentHashMap.newKeySet();

	private volatile boolean crashed;

	CrashingPlatform(InMemoryPlatform platform, boolean purchaseArrives) {
		this.platform = platform;
		this.purchaseArrives = purchaseArrives;
	}

	boolean isCrashed() {
		return this.crashed;
	}

	// The tokens of purchases asked for.
	Set<String> purchases() {
		return this.purchases;
	}

	private <T> Mono<T> call(Mono<T> call) {
		return Mono.defer(() -> this.crashed ? Mono.never() : call);
	}

	// -- cloud

	@Override
	public Mono<Vm> buy(Purchase purchase) {
		return Mono.defer(() -> {
			this.purchases.add(purchase.clientToken());
			if (this.crashed) {
				return Mono.never();
			}
			this.crashed = true;
			return this.purchaseArrives ? this.platform.buy(purchase).then(Mono.never()) : Mono.never();
		});
	}

	@Override
	public Mono<List<Notice>> notices(long after) {
		return call(this.platform.notices(after));
	}

	@Override
	public Mono<List<Offer>> offers() {
		return call(this.platform.offers());
	}

	@Override
	public Mono<Void> release(VmId vm) {
		return call(this.platform.release(vm));
	}

	@Override
	public Mono<List<Listed>> vmList() {
		return call(this.platform.vmList());
	}

	@Override
	public Mono<List<Vm>> vms() {
		return call(this.platform.vms());
	}

	// -- tables

	@Override
	public Mono<Outcome> commit(Transaction transaction) {
		return call(this.platform.commit(transaction));
	}

	@Override
	public Mono<Optional<Row>> read(String table, String key) {
		return call(this.platform.read(table, key));
	}

	@Override
	public Mono<List<Row>> scan(String table, String prefix, String after, int limit) {
		return call(this.platform.scan(table, prefix, after, limit));
	}

}
