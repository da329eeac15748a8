package org.rosemaryfront.services;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Supplier;

import reactor.core.publisher.Mono;

import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.Resource;
import org.rosemaryfront.model.VmId;

/** Chooses the backend server of each attempt, logs it and follows its end. */
final class ServerChoice {

	private final ServiceRouting routing;

	private final Supplier<Configuration> configuration;

	private final Supplier<List<ServiceServer>> servers;

	private ServerChoice(String zone, Supplier<Configuration> configuration, Supplier<List<ServiceServer>> servers) {
		this.routing = ServiceRouting.of(zone);
		this.configuration = configuration;
		this.servers = servers;
	}

	static ServerChoice of(String zone, Supplier<Configuration> configuration, Supplier<List<ServiceServer>> servers) {
		return new ServerChoice(zone, configuration, servers);
	}

	Optional<ServiceServer> choose(ServiceCall call, Set<VmId> tried, int attempt) {
		if (attempt == 1) {
			this.routing.earn();
		}
		List<ServiceServer> candidates = this.servers.get()
			.stream()
			.filter((server) -> server.pool().equals(call.pool()))
			.toList();
		Optional<ServiceServer> chosen = this.routing.choose(candidates, tried, depth(call.pool()), System.nanoTime());
		chosen.ifPresentOrElse(
				(server) -> EventLog.info(ServiceEvents.SERVICE_CALL_ROUTED, "request", call.id(), "pool", call.pool(),
						"server", server.vm(), "zone", server.zone(), "attempt", attempt),
				() -> EventLog.warn(ServiceEvents.SERVICE_CALL_UNROUTED, "request", call.id(), "pool", call.pool(),
						"servers", candidates.size(), "tried", tried.size()));
		return chosen;
	}

	boolean spendRetry() {
		return this.routing.spendRetry();
	}

	<T> Mono<T> track(ServiceServer server, Mono<T> attempt) {
		AtomicBoolean over = new AtomicBoolean();
		Consumer<Boolean> once = (failed) -> {
			if (over.compareAndSet(false, true)) {
				ended(server, failed);
			}
		};
		return attempt.doOnSuccess((_) -> once.accept(false))
			.doOnError((_) -> once.accept(true))
			.doOnCancel(() -> once.accept(true));
	}

	private void ended(ServiceServer server, boolean failed) {
		if (this.routing.ended(server.vm(), failed, System.nanoTime())) {
			EventLog.warn(ServiceEvents.SERVICE_SERVER_EJECTED, "pool", server.pool(), "server", server.vm());
		}
	}

	private int depth(String pool) {
		return this.configuration.get()
			.find(Resource.Pool.class, pool)
			.map(Resource.Pool::slotsPerServer)
			.orElse(Integer.MAX_VALUE);
	}

}
