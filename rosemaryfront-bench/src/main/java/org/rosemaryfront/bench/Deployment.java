package org.rosemaryfront.bench;

import java.util.List;
import java.util.stream.Stream;

import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.Resource;
import org.rosemaryfront.model.Resource.Fencing;
import org.rosemaryfront.model.Resource.LatencyTarget;
import org.rosemaryfront.model.Resource.Organisation;
import org.rosemaryfront.model.Resource.Pool;
import org.rosemaryfront.model.Resource.Priority;
import org.rosemaryfront.model.Resource.Serves;

/**
 * The declarations of a user's deployment, as in examples/, that the decisions need.
 *
 * @param pool the pool of runners
 * @param zones the availability zones
 * @param organisations the organisations, the largest first
 * @param chat the latency target of chat
 * @param summary the latency target of summaries
 */
record Deployment(Pool pool, List<String> zones, List<Organisation> organisations, LatencyTarget chat,
		LatencyTarget summary) {

	static final String MODEL = "assistant-model";

	private static final int SLOTS = 8;

	// -- factories

	static Deployment federation() {
		List<String> zones = List.of("tunis-a", "tunis-b", "ariana");
		return new Deployment(pool(zones, 6, 0.002, 1.0), zones,
				List.of(organisation("tunis-nord", 3), organisation("sfax", 3), organisation("sousse", 2),
						organisation("bizerte", 1), organisation("monastir", 1)),
				new LatencyTarget("chat", "assistant", Priority.CHAT, 1_000, 100, 30_000, true),
				new LatencyTarget("summary", "assistant", Priority.SUMMARY, 10_000, 250, 120_000, false));
	}

	static Deployment tynkarnia() {
		List<String> zones = List.of("waw-a", "waw-b", "lodz-c");
		return new Deployment(pool(zones, 13, 0.0005, 2.0), zones,
				List.of(organisation("national-builder", 4), organisation("warszawa-crews", 2),
						organisation("lodz-crews", 2), organisation("homeowners", 1), organisation("developers", 1)),
				new LatencyTarget("chat", "assistant", Priority.CHAT, 460, 33, 30_000, true),
				new LatencyTarget("summary", "assistant", Priority.SUMMARY, 10_000, 250, 180_000, false));
	}

	private static Organisation organisation(String name, double share) {
		return new Organisation(name, List.of(), share, List.of("assistant"));
	}

	private static Pool pool(List<String> zones, int minimum, double recomputedTokenWeight, double latenessWeight) {
		return new Pool("assistant", Serves.MODELS, List.of(MODEL), zones, List.of("gpu-small"), minimum, 2 * minimum,
				Fencing.IGNORED, SLOTS, recomputedTokenWeight, latenessWeight, List.of());
	}

	// -- queries

	Configuration configuration() {
		List<Resource> resources = Stream
			.concat(Stream.of(this.pool, this.chat, this.summary), this.organisations.stream())
			.map(Resource.class::cast)
			.toList();
		return Configuration.empty().with(1, resources, List.of());
	}

}
