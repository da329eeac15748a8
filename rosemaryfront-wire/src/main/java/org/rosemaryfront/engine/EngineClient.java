package org.rosemaryfront.engine;

import java.time.Duration;
import java.util.List;
import java.util.Map;

import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import org.rosemaryfront.model.AttemptId;

/**
 * Talks to model engines; docs/INTERFACES.md gives the protocol. Every address is
 * {@code host:port}. Failures are {@link EngineException}s whose verdict tells whether
 * the call may have run.
 */
public interface EngineClient extends AutoCloseable {

	// -- streams

	/**
	 * Opens a stream. Cancelling the flux closes the connection and leaves the stream
	 * running in the engine until {@link #cancel}.
	 * @param address the engine
	 * @param order what to generate
	 * @return the stream's events; an error of {@link EngineException}
	 */
	Flux<EngineEvent> open(String address, StreamOrder order);

	/**
	 * Attaches again to a running stream over a new connection.
	 * @param address the engine
	 * @param stream the attempt under which the stream was opened
	 * @param offset the first token wanted
	 * @return the stream's events from that token on
	 */
	Flux<EngineEvent> attach(String address, AttemptId stream, int offset);

	/**
	 * Cancels a stream; idempotent.
	 * @param address the engine
	 * @param stream the attempt under which the stream was opened
	 * @return when the engine has confirmed it
	 */
	Mono<Void> cancel(String address, AttemptId stream);

	/**
	 * Makes an engine fetch the KV cache of a stream from another engine; the source
	 * pauses the stream.
	 * @param address the engine that fetches
	 * @param source the engine that has the cache
	 * @param stream the attempt under which the stream was opened at the source
	 * @return the number of tokens now in the fetching engine's cache
	 */
	Mono<Integer> importCache(String address, String source, AttemptId stream);

	// -- state

	/**
	 * Reads the load report.
	 * @param address the engine
	 * @return the report, which describes an earlier moment
	 */
	Mono<Load> load(String address);

	/**
	 * Reads cache events.
	 * @param address the engine
	 * @param after the number of the last event known, 0 for none
	 * @return later events, possibly with gaps
	 */
	Mono<CacheEvents> cacheEvents(String address, long after);

	// -- orders

	/**
	 * Orders a wanted state; idempotent.
	 * @param address the engine
	 * @param order the wanted state
	 * @return the actual state after taking the order
	 */
	Mono<ActualState> order(String address, EngineOrder order);

	/**
	 * Reads the actual state.
	 * @param address the engine
	 * @return the actual state
	 */
	Mono<ActualState> state(String address);

	@Override
	void close();

	// -- values

	/**
	 * What to generate.
	 *
	 * @param attempt the identifier of the stream
	 * @param model the name of the model
	 * @param adapter the name of the adapter, empty for none
	 * @param prompt the prompt
	 * @param blocks the chained hashes of the prompt's full blocks, first block first
	 * @param emitted tokens of the answer that exist already and are not sent again
	 * @param maxTokens the greatest length of the whole answer, in tokens, the emitted
	 * ones included
	 * @param priority higher goes first
	 * @param expiresAfter the time after which the engine drops the stream
	 */
	record StreamOrder(AttemptId attempt, String model, String adapter, String prompt, List<Long> blocks,
			List<String> emitted, int maxTokens, int priority, Duration expiresAfter) {
	}

	/**
	 * The load of an engine at an earlier moment.
	 *
	 * @param running streams running
	 * @param queued streams waiting
	 * @param tokensPerSecond tokens generated a second, over all streams
	 * @param ageMillis how old the report was when it was sent, in milliseconds
	 */
	record Load(int running, int queued, double tokensPerSecond, long ageMillis) {
	}

	/**
	 * Changes of the prefix cache.
	 *
	 * @param last the number of the last event in this answer
	 * @param gap whether events after the asked number are missing
	 * @param added blocks that the cache gained
	 * @param removed blocks that the cache lost
	 */
	record CacheEvents(long last, boolean gap, List<Long> added, List<Long> removed) {
	}

	/**
	 * A wanted state.
	 *
	 * @param fence the fencing number of the lease under which it is sent
	 * @param validMillis the time after which the engine must not take it, in
	 * milliseconds since it was sent
	 * @param models the models wanted, each {@code name@version}
	 * @param adapters the adapters wanted, each {@code name@version}
	 * @param role {@code serve} or {@code drain}
	 */
	record EngineOrder(long fence, long validMillis, List<String> models, List<String> adapters, String role) {
	}

	/**
	 * An actual state.
	 *
	 * @param fence the fencing number of the last order taken, 0 for none
	 * @param models the models loaded, each {@code name@version}
	 * @param adapters the adapters loaded, each {@code name@version}
	 * @param loading models and adapters that are loading
	 * @param role {@code serve} or {@code drain}
	 * @param running streams running
	 * @param queued streams waiting, as in the load report, so that a controller needs
	 * one read for both; 0 when the engine does not tell
	 * @param streams streams running and waiting for each {@code name@version} that has
	 * any; empty with streams running when the engine does not tell
	 */
	record ActualState(long fence, List<String> models, List<String> adapters, List<String> loading, String role,
			int running, int queued, Map<String, Integer> streams) {

		public ActualState {
			streams = (streams != null) ? Map.copyOf(streams) : Map.of();
		}

	}

}
