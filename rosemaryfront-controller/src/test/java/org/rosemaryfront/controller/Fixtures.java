package org.rosemaryfront.controller;

import java.util.List;

import org.rosemaryfront.capacity.Intent;
import org.rosemaryfront.capacity.Market;
import org.rosemaryfront.capacity.OfferKey;
import org.rosemaryfront.engine.EngineClient;
import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.Resource;
import org.rosemaryfront.platform.CloudClient;
import org.rosemaryfront.platform.PlatformSettings;
import org.rosemaryfront.platform.TableClient;
import org.rosemaryfront.standin.platform.InMemoryPlatform;
import org.rosemaryfront.standin.platform.SlotOffer;
import org.rosemaryfront.standin.platform.StandinPlatformSettings;
import org.rosemaryfront.tls.TlsSettings;

/** A region with one zone and a pool of one server, and a controller's parts. */
final class Fixtures {

	static final String POOL = "assistant";

	static final String ZONE = "a";

	static final String MACHINE_CLASS = "gpu";

	private static final int SPARE_MACHINES = 4;

	private Fixtures() {
	}

	static InMemoryPlatform platform() {
		InMemoryPlatform platform = InMemoryPlatform.of(StandinPlatformSettings.standard().times(50, 50, 500));
		for (int i = 0; i < SPARE_MACHINES; i++) {
			platform.offer(new SlotOffer("machine:" + i, "runner", ZONE, MACHINE_CLASS));
		}
		return platform;
	}

	static ControllerSettings settings(String vm) {
		return new ControllerSettings(vm, "region", ZONE, new PlatformSettings("http://unused", 500),
				new ControllerSettings.Listener("127.0.0.1", 0, TlsSettings.none()),
				new ControllerSettings.Listener("127.0.0.1", 0, TlsSettings.none()),
				new ControllerSettings.Lease(2_000L, 400L), new ControllerSettings.Capacity(4, 4, 200L, 1_000L, 2_000L,
						500L, 10_000L, 10_000L, 500L, 100L, 1L, 0.25, 0.75));
	}

	static ControllerParts parts(String vm, TableClient tables, CloudClient cloud, EngineClient engines) {
		return new ControllerParts(settings(vm), tables, cloud, engines, (_, _) -> {
		}, () -> 2);
	}

	static Configuration configuration(String modelVersion, boolean fencingChecked) {
		Resource.Pool pool = new Resource.Pool(POOL, Resource.Serves.MODELS, List.of("m"), List.of(ZONE),
				List.of(MACHINE_CLASS), 1, 1, fencingChecked ? Resource.Fencing.CHECKED : Resource.Fencing.IGNORED, 8,
				0, 0, List.of());
		return Configuration.empty().with(1, List.of(pool, new Resource.Model("m", modelVersion, 800)), List.of());
	}

	static Intent intent(String token) {
		return new Intent(token, POOL, new OfferKey(ZONE, MACHINE_CLASS, Market.RECLAIMABLE));
	}

}
