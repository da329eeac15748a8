package org.rosemaryfront.capacity;

import java.util.List;

/**
 * What a model engine says of itself.
 *
 * @param fence the fencing number of the last order it took
 * @param models the models loaded, each {@code name@version}
 * @param adapters the adapters loaded, each {@code name@version}
 * @param loading the models and adapters that are loading
 * @param draining whether it takes no new streams
 * @param running the streams running
 */
public record ServerState(long fence, List<String> models, List<String> adapters, List<String> loading,
		boolean draining, int running) {

	public ServerState {
		models = List.copyOf(models);
		adapters = List.copyOf(adapters);
		loading = List.copyOf(loading);
	}

}
