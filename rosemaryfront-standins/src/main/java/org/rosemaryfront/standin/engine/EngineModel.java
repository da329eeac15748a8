package org.rosemaryfront.standin.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.rosemaryfront.engine.EngineClient.ActualState;
import org.rosemaryfront.engine.EngineClient.CacheEvents;
import org.rosemaryfront.engine.EngineClient.EngineOrder;
import org.rosemaryfront.engine.EngineClient.Load;
import org.rosemaryfront.engine.EngineClient.StreamOrder;
import org.rosemaryfront.engine.EngineEvent;
import org.rosemaryfront.model.AttemptId;
import org.rosemaryfront.serving.ServingEvent.Refusal;

/**
 * A model engine on virtual time, without I/O: continuous batching in steps, a prefix
 * cache in limited memory, a queue by priority. One thread uses it; the time passed in is
 * in nanoseconds and never goes back.
 *
 * <pre>
 * EngineModel engine = EngineModel.of(EngineParameters.standard(), 1, events::add);
 * engine.preload(0, List.of("m@1"), List.of());
 * engine.open(0, order);
 * while (engine.nextEventAt() &lt; Long.MAX_VALUE) {
 *     engine.advance(engine.nextEventAt());
 * }
 * </pre>
 */
public final class EngineModel {

	private static final long IDLE = Long.MAX_VALUE;

	private final EngineParameters parameters;

	private final Consumer<EngineEvent> sink;

	private final CacheEventLog cacheEvents;

	private final KvMemory memory;

	private final LoadedModels models;

	private final LoadMeter meter;

	private final EngineCounters.Mutable counters = new EngineCounters.Mutable();

	private final Map<AttemptId, EngineStream> streams = new LinkedHashMap<>();

	private final TreeSet<EngineStream> waiting = new TreeSet<>(EngineStream.BY_PRIORITY);

	private final TreeSet<EngineStream> running = new TreeSet<>(EngineStream.BY_PRIORITY);

	private final List<EngineStream> step = new ArrayList<>();

	private final ImportedContexts imports;

	private final StreamContexts contexts;

	private final Deque<EngineStream> ended = new ArrayDeque<>();

	private long stepEnd = IDLE;

	private long frozenUntil;

	private long exportingUntil;

	private double slowness = 1;

	private long nextExpiry = IDLE;

	private long arrivals;

	private EngineModel(EngineParameters parameters, long seed, Consumer<EngineEvent> sink) {
		this.parameters = parameters;
		this.sink = sink;
		this.cacheEvents = new CacheEventLog(new Random(seed), parameters.cacheEventLoss(),
				parameters.cacheEventDelayNanos());
		this.memory = new KvMemory(parameters.memoryBlocks(), this.cacheEvents);
		this.models = new LoadedModels(parameters);
		this.meter = new LoadMeter(parameters.loadReportNanos());
		this.imports = new ImportedContexts(this.memory, parameters.importHoldNanos());
		this.contexts = new StreamContexts(this.memory, this.imports, this.counters);
	}

	// -- factories

	/**
	 * An engine that just booted: nothing loaded, nothing cached.
	 * @param parameters what it can do
	 * @param seed the seed of what is random in it
	 * @param sink takes the events of all streams, in order, within {@link #advance} and
	 * the calls that end streams
	 * @return the engine
	 */
	public static EngineModel of(EngineParameters parameters, long seed, Consumer<EngineEvent> sink) {
		Objects.requireNonNull(parameters, "parameters is null");
		Objects.requireNonNull(sink, "sink is null");
		return new EngineModel(parameters, seed, sink);
	}

	// -- streams

	/**
	 * Opens a stream; opening it again changes nothing.
	 * @param now the time
	 * @param order what to generate
	 * @return why it is refused, empty when it is taken
	 */
	public Optional<Refusal> open(long now, StreamOrder order) {
		advance(now);
		if (this.streams.containsKey(order.attempt())) {
			return Optional.empty();
		}
		EngineStream stream = new EngineStream(order, this.arrivals++, now);
		Optional<Refusal> refusal = refusal(now, stream);
		if (refusal.isPresent()) {
			this.counters.refused++;
			return refusal;
		}
		stream.versions = this.models.versions(now, order.model(), order.adapter());
		this.counters.streams++;
		this.streams.put(order.attempt(), stream);
		this.waiting.add(stream);
		this.nextExpiry = Math.min(this.nextExpiry, stream.expiresAt);
		startStepWhenIdle(now);
		return Optional.empty();
	}

	/**
	 * Cancels a stream; idempotent.
	 * @param now the time
	 * @param attempt the stream
	 */
	public void cancel(long now, AttemptId attempt) {
		advance(now);
		EngineStream stream = this.streams.get(attempt);
		if (stream != null && stream.end == null) {
			this.counters.wasted += stream.generated();
			end(now, stream, new EngineEvent.Stopped(attempt, "cancelled"));
		}
		this.streams.remove(attempt);
		startStepWhenIdle(now);
	}

	/**
	 * The events of a stream so far, for attaching again.
	 * @param now the time
	 * @param attempt the stream
	 * @param offset the first token wanted
	 * @return the events, empty when there is no such stream
	 */
	public Optional<List<EngineEvent>> replay(long now, AttemptId attempt, int offset) {
		advance(now);
		EngineStream stream = this.streams.get(attempt);
		if (stream == null) {
			return Optional.empty();
		}
		List<EngineEvent> events = new ArrayList<>();
		if (stream.accepted != null) {
			events.add(stream.accepted);
		}
		for (int i = Math.max(offset, 0); i < stream.next; i++) {
			events.add(new EngineEvent.Token(attempt, i, stream.answer.token(i)));
		}
		if (stream.end != null) {
			events.add(stream.end);
		}
		return Optional.of(events);
	}

	/**
	 * Pauses a stream for good and exports its KV cache; exports go one after another.
	 * @param now the time
	 * @param attempt the stream
	 * @return the exported cache, empty when there is no such stream
	 */
	public Optional<ExportedContext> export(long now, AttemptId attempt) {
		advance(now);
		EngineStream stream = this.streams.get(attempt);
		if (stream == null || stream.end != null) {
			return Optional.empty();
		}
		int tokens = stream.cachedTokens();
		List<Long> blocks = List.copyOf(stream.held);
		end(now, stream, new EngineEvent.Stopped(attempt, "moved"));
		startStepWhenIdle(now);
		this.exportingUntil = Math.max(now, this.exportingUntil) + tokens * this.parameters.transferTokenNanos();
		return Optional.of(new ExportedContext(stream.answer.context(), blocks, tokens, this.exportingUntil));
	}

	/**
	 * Takes an exported KV cache whose transfer has ended; the next stream with the same
	 * prompt, model and adapter uses it.
	 * @param now the time
	 * @param exported the cache
	 * @return the number of tokens taken, 0 when they do not fit into the memory
	 */
	public int importContext(long now, ExportedContext exported) {
		advance(now);
		int tokens = this.imports.take(now, exported);
		this.counters.imported += tokens;
		return tokens;
	}

	// -- time

	/**
	 * When something next happens by itself.
	 * @return the time, {@link Long#MAX_VALUE} for never
	 */
	public long nextEventAt() {
		if (this.stepEnd == IDLE && !this.waiting.isEmpty()) {
			return Math.max(this.frozenUntil, this.imports.nextExpiry());
		}
		return this.stepEnd;
	}

	/**
	 * Lets everything happen that is due.
	 * @param now the time
	 */
	public void advance(long now) {
		while (this.stepEnd <= now) {
			long at = this.stepEnd;
			this.meter.observe(at, this.running.size(), this.waiting.size());
			finishStep(at);
			startStep(at);
		}
		this.meter.observe(now, this.running.size(), this.waiting.size());
		this.imports.expire(now);
		startStepWhenIdle(now);
	}

	/**
	 * Makes no progress for a time; a later call changes when it goes on.
	 * @param now the time
	 * @param until when it goes on
	 */
	public void freeze(long now, long until) {
		advance(now);
		if (this.stepEnd != IDLE) {
			this.stepEnd += until - Math.max(now, this.frozenUntil);
		}
		this.frozenUntil = until;
	}

	/**
	 * Stretches every later step.
	 * @param factor the factor, 1 for none
	 */
	public void slow(double factor) {
		this.slowness = factor;
	}

	// -- orders

	/**
	 * Takes an order. Streams that run or wait on a version that the order drops go on.
	 * @param now the time
	 * @param receivedAt when it arrived, earlier than now if the engine was frozen
	 * @param order the wanted state
	 * @return what became of it
	 */
	public OrderOutcome order(long now, long receivedAt, EngineOrder order) {
		advance(now);
		return this.models.take(now, receivedAt, order);
	}

	/**
	 * The models and adapters whose weights are wanted.
	 * @return their names with versions
	 */
	public List<String> notFetched() {
		return this.models.notFetched();
	}

	/**
	 * The weights of a model or adapter are here; it is loaded a while later.
	 * @param now the time
	 * @param name its name with its version
	 */
	public void fetched(long now, String name) {
		this.models.fetched(now, name);
	}

	/**
	 * Has models and adapters loaded from the start.
	 * @param now the time
	 * @param modelNames the models, each {@code name@version}
	 * @param adapterNames the adapters, each {@code name@version}
	 */
	public void preload(long now, List<String> modelNames, List<String> adapterNames) {
		this.models.preload(now, modelNames, adapterNames);
	}

	// -- queries

	/**
	 * The cache events that are visible by now.
	 * @param now the time
	 * @param after the number of the last event known
	 * @return later events
	 */
	public CacheEvents cacheEvents(long now, long after) {
		advance(now);
		return this.cacheEvents.after(now, after);
	}

	/**
	 * Makes cache events later than the parameters say.
	 * @param extraNanos the added delay
	 */
	public void delayCacheEvents(long extraNanos) {
		this.cacheEvents.delay(extraNanos);
	}

	/**
	 * Counts prompt blocks as recomputed when any engine of the fleet computed them.
	 * @param blocks the blocks computed so far, shared among the engines, which add to it
	 */
	public void countAgainst(Set<Long> blocks) {
		Objects.requireNonNull(blocks, "blocks is null");
		this.contexts.countAgainst(blocks);
	}

	/**
	 * The token counts since the boot.
	 * @return the counts
	 */
	public EngineCounters counters() {
		return this.counters.snapshot();
	}

	/**
	 * The load report, which describes an earlier moment.
	 * @param now the time
	 * @return the report
	 */
	public Load load(long now) {
		advance(now);
		return this.meter.report(now);
	}

	/**
	 * The memory in use.
	 * @return the prefix cache and the running streams, in blocks
	 */
	public int memoryUsed() {
		return this.memory.used();
	}

	/**
	 * The actual state.
	 * @param now the time
	 * @return the state
	 */
	public ActualState state(long now) {
		advance(now);
		Map<String, Integer> byVersion = new TreeMap<>();
		Stream.concat(this.running.stream(), this.waiting.stream())
			.flatMap((stream) -> stream.versions.stream())
			.forEach((version) -> byVersion.merge(version, 1, Integer::sum));
		return this.models.state(now, this.running.size(), this.waiting.size(), byVersion);
	}

	// -- steps

	private Optional<Refusal> refusal(long now, EngineStream stream) {
		if (this.models.draining()) {
			return Optional.of(Refusal.LEAVING);
		}
		if (!this.models.loaded(now, stream.order.model(), stream.order.adapter())) {
			return Optional.of(Refusal.NOT_LOADED);
		}
		boolean full = this.waiting.size() >= this.parameters.queueLimit() || stream.blocks() > this.memory.capacity();
		return full ? Optional.of(Refusal.FULL) : Optional.empty();
	}

	private void startStepWhenIdle(long now) {
		if (this.stepEnd == IDLE && now >= this.frozenUntil) {
			startStep(now);
		}
	}

	private void startStep(long now) {
		expire(now);
		admit(now);
		this.step.clear();
		int budget = this.parameters.prefillChunkTokens();
		int prefill = 0;
		int generating = 0;
		for (EngineStream stream : this.running) {
			stream.chunk = Math.min(budget - prefill, stream.context() - stream.prefilled);
			prefill += stream.chunk;
			if (stream.generates() || stream.chunk > 0) {
				generating += stream.generates() ? 1 : 0;
				this.step.add(stream);
			}
		}
		long nanos = this.parameters.stepBaseNanos() + generating * this.parameters.stepStreamNanos()
				+ prefill * this.parameters.prefillTokenNanos();
		this.stepEnd = this.step.isEmpty() ? IDLE : now + (long) (nanos * this.slowness);
	}

	private void finishStep(long now) {
		for (EngineStream stream : this.step) {
			if (stream.end == null) {
				this.contexts.prefill(now, stream);
				if (stream.generates()) {
					generate(now, stream);
				}
			}
		}
	}

	private void admit(long now) {
		while (!this.waiting.isEmpty() && this.running.size() < this.parameters.slots()) {
			EngineStream stream = this.waiting.first();
			if (!this.contexts.start(now, stream)) {
				return;
			}
			this.waiting.remove(stream);
			this.running.add(stream);
			stream.accepted = new EngineEvent.Accepted(stream.order.attempt(),
					Math.min(stream.prefilled, stream.promptTokens));
			this.sink.accept(stream.accepted);
		}
	}

	private void generate(long now, EngineStream stream) {
		AttemptId attempt = stream.order.attempt();
		if (stream.next < stream.length) {
			this.sink.accept(new EngineEvent.Token(attempt, stream.next, stream.answer.token(stream.next)));
			stream.next++;
			this.counters.generated++;
			this.meter.generated();
		}
		if (stream.next >= stream.length) {
			this.counters.done++;
			end(now, stream,
					new EngineEvent.Done(attempt, stream.answer.finishReason(stream.order.maxTokens()), stream.length));
		}
	}

	private void end(long now, EngineStream stream, EngineEvent event) {
		this.contexts.release(stream);
		stream.end = event;
		stream.endedAt = now;
		this.ended.add(stream);
		this.waiting.remove(stream);
		this.running.remove(stream);
		this.sink.accept(event);
	}

	private void expire(long now) {
		while (!this.ended.isEmpty() && this.ended.peek().endedAt + this.parameters.retainNanos() <= now) {
			EngineStream old = this.ended.remove();
			this.streams.remove(old.order.attempt(), old);
		}
		if (this.nextExpiry <= now) {
			List<EngineStream> live = Stream.concat(this.waiting.stream(), this.running.stream()).toList();
			live.stream()
				.filter((stream) -> stream.expiresAt <= now)
				.forEach((stream) -> end(now, stream, new EngineEvent.Stopped(stream.order.attempt(), "expired")));
			this.nextExpiry = live.stream()
				.mapToLong((stream) -> stream.expiresAt)
				.filter((at) -> at > now)
				.min()
				.orElse(IDLE);
		}
	}

}
