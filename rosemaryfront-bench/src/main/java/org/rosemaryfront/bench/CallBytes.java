package org.rosemaryfront.bench;

import java.util.List;

import reactor.core.publisher.Mono;
import reactor.netty.ByteBufMono;
import reactor.netty.http.client.HttpClient;

import org.rosemaryfront.engine.EngineClientSettings;
import org.rosemaryfront.engine.HttpEngineClient;
import org.rosemaryfront.platform.CloudClient;
import org.rosemaryfront.platform.HttpPlatform;
import org.rosemaryfront.platform.PlatformSettings;
import org.rosemaryfront.standin.engine.EngineParameters;
import org.rosemaryfront.standin.engine.EngineServer;
import org.rosemaryfront.standin.engine.EngineSettings;
import org.rosemaryfront.standin.platform.PlatformServer;
import org.rosemaryfront.standin.platform.StandinPlatformSettings;

/**
 * What a controller's reads carry, request and response, in bytes of TCP payload: the
 * real clients against the stand-ins in this process. Connection set-up and the headers
 * of TCP and IP are not counted.
 *
 * @param engineState a read of an engine's state
 * @param emptyRead a read of the platform that lists nothing
 * @param listedVm what each VM adds to a read of the VMs
 */
record CallBytes(double engineState, double emptyRead, double listedVm) {

	private static final int CALLS = 50;

	private static final long TIMEOUT_MILLIS = 5_000;

	private static final int VMS = 20;

	/** Longer than the measurement: no machine is called. */
	private static final long BOOT_MILLIS = 3_600_000;

	static CallBytes measure() {
		StandinPlatformSettings settings = StandinPlatformSettings.standard().times(0, BOOT_MILLIS, TIMEOUT_MILLIS);
		try (PlatformServer platform = PlatformServer.start(settings);
				CountingRelay relay = CountingRelay.before(platform.url().substring("http://".length()));
				HttpPlatform client = HttpPlatform
					.of(new PlatformSettings("http://" + relay.address(), TIMEOUT_MILLIS))) {
			double empty = readVms(relay, client);
			for (int i = 0; i < VMS; i++) {
				offer(platform.url(), 17_000 + i);
				client
					.buy(new CloudClient.Purchase("f12-" + i, "assistant", "eu-north-1a", "gpu-large",
							CloudClient.Market.RECLAIMABLE))
					.block();
			}
			return new CallBytes(engineStateBytes(), empty, (readVms(relay, client) - empty) / VMS);
		}
	}

	private static double readVms(CountingRelay relay, HttpPlatform client) {
		long before = relay.bytes();
		for (int i = 0; i < CALLS; i++) {
			client.vms().block();
		}
		return (double) (relay.bytes() - before) / CALLS;
	}

	private static void offer(String url, int port) {
		String slot = "{\"address\": \"127.0.0.1:" + port
				+ "\", \"role\": \"runner\", \"zone\": \"eu-north-1a\", \"machineClass\": \"gpu-large\"}";
		HttpClient.create()
			.post()
			.uri(url + "/standin/v1/slots")
			.send(ByteBufMono.fromString(Mono.just(slot)))
			.response()
			.block();
	}

	private static double engineStateBytes() {
		EngineSettings settings = EngineSettings.local(EngineParameters.fast(), List.of("assistant-large@12"));
		try (EngineServer engine = EngineServer.start(settings);
				CountingRelay relay = CountingRelay.before(engine.address());
				HttpEngineClient client = HttpEngineClient.of(EngineClientSettings.standard())) {
			for (int i = 0; i < CALLS; i++) {
				client.state(relay.address()).block();
			}
			return (double) relay.bytes() / CALLS;
		}
	}

}
