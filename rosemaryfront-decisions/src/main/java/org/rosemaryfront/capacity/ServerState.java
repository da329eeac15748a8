package org.rosemaryfront.capacity;

import java.util.List;
import java.util.Map;

/**
 * What a model engine says of itself.
 *
 * @param fence the fencing number of the last order it took
 * @param models the models loaded, each {@code name@version}
 * @param adapters the adapters loaded, each {@code name@version}
 * @param loading the models and adapters that are loading
 * @param draining whether it takes no new streams
 * @param running the streams running
 * @param queued the streams waiting, 0 when the engine does not tell
 * @param streams the streams running and waiting for each {@code name@version} that has
 * any; empty with streams running when the engine does not tell
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
	 * Whether streams run, or may run, on any of some versions.
	 * @param versions models and adapters, each {@code name@version}
	 * @return true also when the engine does not tell on which versions its streams run
	 */
	public boolean mayHaveStreamsOn(List<String> versions) {
		return (this.streams.isEmpty()) ? this.running > 0 : versions.stream().anyMatch(this.streams::containsKey);
	}

}
