package org.rosemaryfront.gateway;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

import org.junit.jupiter.api.RepeatedTest;
import reactor.netty.resources.LoopResources;

import org.rosemaryfront.gateway.GatewayProcess.Platform;

import static org.assertj.core.api.Assertions.assertThat;

class StartTests {

	// Guards against an internal error in response to readiness checks that arrive while
	// the gateway is being constructed.
	@RepeatedTest(5)
	void shouldNotFailReadinessChecksWhileStarting() {
		GatewaySettings settings = GatewayHarness.settings();
		PlainCodecs codecs = new PlainCodecs();
		AtomicBoolean started = new AtomicBoolean();
		Set<Integer> seen = ConcurrentHashMap.newKeySet();
		CompletableFuture<Void> balancer = CompletableFuture.runAsync(() -> {
			while (!started.get() || seen.isEmpty()) {
				seen.add(GatewayHarness.readiness(settings));
			}
		});
		Platform platform = new Platform(codecs, new MemoryRowStore(), codecs, new RecordedDuties(),
				new ScriptedRuns());
		try (GatewayProcess _ = GatewayProcess.start(settings, platform, LoopResources.create("test", 1, true))) {
			started.set(true);
			balancer.join();
		}
		assertThat(seen).doesNotContain(500);
	}

}
