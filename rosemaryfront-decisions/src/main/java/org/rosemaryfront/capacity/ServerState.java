package org.rosemaryfront.capacity;

import java.util.List;
import java.util.Map;

/**
 * The state that a model engine reports.
 *
 * @param fence the fencing number of the last order it accepted
 * @param models the models loaded, each {@code name@version}
 * @param adapters the adapters loaded, each {@code name@version}
 * @param loading the models and adapters that are loading
 * @param draining whether it accepts no new streams
 * @param running the number of running streams
 * @param queued the number of queued streams, 0 if the engine does not report it
 * @param streams the number of running and queued streams for each {@code name@version}
 * that has any; empty while streams run if the engine does not report it
 */
public record ServerState(long fence, List<String> models, List<String> adapters, List<String> loading,
		boolean draining, int running, int queued, Map<String, Integer> streams) {

	public ServerState {
		models = List.copyOf(models);
		adapters = List.copyOf(adapters);
		loading = List.copyOf(loading);
		streams = Map.copyOf(streams);
	}

	/**
	 * Returns whether streams run, or may run, on any of the given versions.
	 * @param versions models and adapters, each {@code name@version}
	 * @return whether streams may run on them; also true if streams run and the engine
	 * does not report their versions
	 */
	public boolean mayHaveStreamsOn(List<String> versions) {
		return (this.streams.isEmpty()) ? this.running > 0 : versions.stream().anyMatch(this.streams::containsKey);
	}

}
