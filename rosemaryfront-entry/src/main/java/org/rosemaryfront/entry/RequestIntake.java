package org.rosemaryfront.entry;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Stream;

import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.Problem;
import org.rosemaryfront.model.ProblemCode;
import org.rosemaryfront.model.RequestId;
import org.rosemaryfront.model.Resource.Adapter;
import org.rosemaryfront.model.Resource.LatencyTarget;
import org.rosemaryfront.model.Resource.Organisation;
import org.rosemaryfront.model.Resource.Pool;
import org.rosemaryfront.model.Resource.Priority;
import org.rosemaryfront.model.RosemaryException;
import org.rosemaryfront.serving.PrefixBlocks;
import org.rosemaryfront.serving.RequestSpec;
import org.rosemaryfront.serving.ServingEvent;

/**
 * Turns validated calls into accepted requests.
 */
final class RequestIntake {

	private static final int IDENTIFIER_BYTES = 16;

	/** Holds where a pool has no standard target, in milliseconds. */
	private static final LatencyTarget FALLBACK = new LatencyTarget("fallback", "", Priority.SUMMARY, 30_000, 1_000,
			300_000, true);

	private final SecureRandom random = new SecureRandom();

	private final Supplier<Configuration> configuration;

	private final StreamTable streams;

	private final Consumer<ServingEvent> control;

	private final EntryMetrics metrics;

	RequestIntake(Supplier<Configuration> configuration, StreamTable streams, Consumer<ServingEvent> control,
			EntryMetrics metrics) {
		this.configuration = configuration;
		this.streams = streams;
		this.control = control;
		this.metrics = metrics;
	}

	/**
	 * Accepts a caller's request.
	 * @param organisation the organisation that asks
	 * @param call what is asked
	 * @return the stream of its answer
	 * @throws RosemaryException when the organisation may not use the model, or the
	 * latency target does not exist
	 */
	AnswerStream accept(Organisation organisation, CompletionCall call) {
		Duration answer = Duration.ofMillis(target(organisation, call).answerMillis());
		AcceptedRequest request = request(newId(call.form()), organisation, call, answer, 1);
		AnswerStream stream = AnswerStream.of(request);
		this.streams.put(stream);
		this.metrics.accepted();
		EventLog.info(ServingEvents.REQUEST_ACCEPTED, "request", request.id(), "organisation", organisation.name(),
				"pool", request.spec().pool(), "model", call.model(), "promptTokens", request.spec().promptTokens(),
				"maxTokens", call.maxTokens());
		this.control.accept(new ServingEvent.RequestArrived(request.id(), request.spec()));
		return stream;
	}

	/**
	 * Describes a request that a peer accepted.
	 * @param id its identifier
	 * @param organisation the name of its organisation
	 * @param call what is asked
	 * @param remaining the time left for the answer
	 * @param epoch the epoch under which this process holds it
	 * @return the request, empty when the configuration here does not know its
	 * organisation or model
	 */
	Optional<AcceptedRequest> adopt(RequestId id, String organisation, CompletionCall call, Duration remaining,
			long epoch) {
		return this.configuration.get()
			.find(Organisation.class, organisation)
			.filter((known) -> pool(known, call.model()).isPresent())
			.map((known) -> request(id, known, call, remaining, epoch));
	}

	/**
	 * The models and adapters that an organisation may use.
	 * @param organisation the organisation
	 * @return their names, in order
	 */
	List<String> models(Organisation organisation) {
		Configuration current = this.configuration.get();
		List<String> models = current.all(Pool.class)
			.filter((pool) -> organisation.pools().contains(pool.name()))
			.flatMap((pool) -> pool.models().stream())
			.distinct()
			.toList();
		Stream<String> adapters = current.all(Adapter.class)
			.filter((adapter) -> models.contains(adapter.model()))
			.map(Adapter::name);
		return Stream.concat(models.stream(), adapters).sorted().toList();
	}

	private AcceptedRequest request(RequestId id, Organisation organisation, CompletionCall call, Duration answer,
			long epoch) {
		long now = System.nanoTime();
		LatencyTarget target = target(organisation, call);
		Pool pool = pool(organisation, call.model()).orElseThrow(() -> unknownModel(call.model()));
		Optional<Adapter> adapter = this.configuration.get().find(Adapter.class, call.model());
		PrefixBlocks blocks = PrefixBlocks.of(adapter.map(Adapter::model).orElse(call.model()),
				adapter.map(Adapter::name).orElse(""), call.prompt());
		RequestSpec spec = new RequestSpec(organisation.name(), pool.name(), call.model(), target.priority(),
				blocks.tokens(), call.maxTokens(), blocks.hashes(),
				now + TimeUnit.MILLISECONDS.toNanos(target.firstTokenMillis()),
				TimeUnit.MILLISECONDS.toNanos(target.betweenTokensMillis()), now + answer.toNanos());
		return new AcceptedRequest(id, organisation.name(), call, spec, now, System.currentTimeMillis() / 1000, epoch);
	}

	private LatencyTarget target(Organisation organisation, CompletionCall call) {
		Pool pool = pool(organisation, call.model()).orElseThrow(() -> unknownModel(call.model()));
		Configuration current = this.configuration.get();
		if (call.serviceTier().isEmpty()) {
			return current.all(LatencyTarget.class)
				.filter((target) -> target.pool().equals(pool.name()) && target.standard())
				.findFirst()
				.orElse(FALLBACK);
		}
		return current.find(LatencyTarget.class, call.serviceTier())
			.filter((target) -> target.pool().equals(pool.name()))
			.orElseThrow(() -> RosemaryException.of(Problem.notRun(ProblemCode.BAD_REQUEST,
					"the service_tier '" + call.serviceTier() + "' is no latency target of the model's pool")));
	}

	private Optional<Pool> pool(Organisation organisation, String model) {
		return this.configuration.get().poolServing(model).filter((pool) -> organisation.pools().contains(pool.name()));
	}

	private RequestId newId(CompletionCall.Form form) {
		byte[] bytes = new byte[IDENTIFIER_BYTES];
		this.random.nextBytes(bytes);
		return new RequestId(form.idPrefix() + HexFormat.of().formatHex(bytes));
	}

	private static RosemaryException unknownModel(String model) {
		return RosemaryException.of(Problem.notRun(ProblemCode.NOT_FOUND,
				"the model '" + model + "' does not exist for this organisation"));
	}

}
