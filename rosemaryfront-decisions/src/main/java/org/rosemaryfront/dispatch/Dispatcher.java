package org.rosemaryfront.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;

import com.dynatrace.hash4j.hashing.Hashing;

import org.rosemaryfront.admission.Admission;
import org.rosemaryfront.admission.AdmissionDecision.Refused;
import org.rosemaryfront.admission.CallDemand;
import org.rosemaryfront.admission.ExpectedTime;
import org.rosemaryfront.dispatch.BackendServer.Incarnation;
import org.rosemaryfront.dispatch.FirstTokenModel.Work;
import org.rosemaryfront.placement.LevelPlacement;
import org.rosemaryfront.placement.LevelPlacement.Candidate;
import org.rosemaryfront.placement.LevelPlacement.Placed;
import org.rosemaryfront.placement.PeerWork;
import org.rosemaryfront.routes.ServiceSpec.EngineSpec;
import org.rosemaryfront.speeds.TypicalTimes;

/**
 * Chooses the backend server of a call.
 *
 * <p>
 * Calls to model services wait until the server has prefilled the prompts queued before
 * theirs, so that the server with the lowest expected time to first token is chosen. A
 * server does not prefill the prompt segments that it has cached, and transfers those
 * cached at another server if that takes less time than prefilling them. Processes report
 * to one another which segments each server has prefilled. If expected times are equal,
 * calls with the same prompt prefix use the same order of servers.
 *
 * <p>
 * Calls without a prompt go to the least loaded server ({@link LeastLoaded}). Among
 * equally loaded servers, those in the availability zone of this process are preferred.
 */
public final class Dispatcher {

	/**
	 * The warm-up time after the first prompt, in which the local record of cached
	 * segments is incomplete. By its end the process has dispatched calls with most of
	 * the segments in use or received reports about them.
	 */
	private static final long WARM_UP_NANOS = TimeUnit.SECONDS.toNanos(10);

	/**
	 * The average age of what reports of other gateways say: half of the interval between
	 * two, the time until they are read, and until the next tick.
	 */
	private static final long REPORT_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

	private final BackendTable table;

	private final String zone;

	private final DoubleSupplier random;

	private final LeastLoaded leastLoaded;

	private final PeerWork peerWork = PeerWork.none();

	private final Admission admission;

	private final Map<String, FirstTokenModel> models = new HashMap<>();

	private final TypicalTimes typicalTimes = new TypicalTimes();

	/** When the first call with a prompt was dispatched. */
	private OptionalLong firstPromptNanos = OptionalLong.empty();

	/**
	 * Creates a dispatcher that does not know the demand of organisations.
	 * @param table the backend servers
	 * @param zone the availability zone of this process
	 * @param random a source of random numbers from 0 to 1
	 */
	public Dispatcher(BackendTable table, String zone, DoubleSupplier random) {
		this(table, zone, Admission.of(random), random);
	}

	/**
	 * Creates a dispatcher.
	 * @param table the backend servers
	 * @param zone the availability zone of this process
	 * @param admission decides which calls with a prompt are sent
	 * @param random a source of random numbers from 0 to 1
	 */
	public Dispatcher(BackendTable table, String zone, Admission admission, DoubleSupplier random) {
		this.table = table;
		this.zone = zone;
		this.admission = admission;
		this.random = random;
		this.leastLoaded = LeastLoaded.of(table, zone, random);
	}

	/**
	 * Chooses a server.
	 * @param requirements the requirements of the call
	 * @param tried ids of the servers to which the call was already sent
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the choice
	 */
	public Choice choose(CallRequirements requirements, Collection<String> tried, long nowNanos) {
		return choose(requirements, tried, (_) -> true, nowNanos);
	}

	/**
	 * Chooses one of the servers to which a call may be sent.
	 * @param requirements the requirements of the call
	 * @param tried ids of the servers to which the call was already sent
	 * @param allowed whether the call may be sent to a server
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the choice
	 */
	public Choice choose(CallRequirements requirements, Collection<String> tried, Predicate<BackendServer> allowed,
			long nowNanos) {
		List<BackendRow> eligible = filter(this.table.eligibleRows(requirements.service(), tried),
				(row) -> allowed.test(row.server));
		if (eligible.isEmpty()) {
			return new Choice.NoServer();
		}
		ServerNotices notices = this.table.notices();
		List<BackendRow> open = filter(eligible, (row) -> notices.backoffNanos(row.incarnation, nowNanos) == 0);
		if (open.isEmpty()) {
			return new Choice.Backoff(eligible.size(), leastBackoffMillis(eligible, nowNanos));
		}
		List<BackendRow> preferred = filter(open, (row) -> !row.isAvoided(nowNanos));
		List<BackendRow> candidates = preferred.isEmpty() ? open : preferred;
		List<BackendRow> withRoom = filter(candidates,
				(row) -> row.hasRoom(this.table.slotShares(), nowNanos) && !isProbed(row, nowNanos));
		if (withRoom.isEmpty()) {
			return new Choice.Full(candidates.size(), 0);
		}
		List<BackendRow> notSpared = filter(withRoom, (row) -> !notices.isSpared(row.incarnation, nowNanos));
		List<BackendRow> available = notSpared.isEmpty() ? withRoom : notSpared;
		return (requirements.ownTokens() == 0) ? leastLoaded(available, nowNanos)
				: earliestFirstToken(requirements, available, nowNanos);
	}

	// Each choice compares all servers several times, for which a stream costs several
	// times as much as the comparison.
	private static List<BackendRow> filter(List<BackendRow> rows, Predicate<BackendRow> condition) {
		List<BackendRow> kept = new ArrayList<>(rows.size());
		for (BackendRow row : rows) {
			if (condition.test(row)) {
				kept.add(row);
			}
		}
		return kept;
	}

	// A server that looks idle because it rejects requests would otherwise get most of
	// them once its backoff is over.
	private boolean isProbed(BackendRow row, long nowNanos) {
		return this.table.notices().isProbed(row.incarnation, nowNanos);
	}

	private long leastBackoffMillis(List<BackendRow> rows, long nowNanos) {
		long nanos = rows.stream()
			.mapToLong((row) -> this.table.notices().backoffNanos(row.incarnation, nowNanos))
			.min()
			.orElse(0);
		return TimeUnit.NANOSECONDS.toMillis(nanos) + 1;
	}

	/**
	 * Chooses one of the servers to which a call may be sent, and takes a permit if the
	 * server has a limit. Without a permit for the best server, the call goes to the best
	 * of those that need none or have one.
	 * @param requirements the requirements of the call
	 * @param tried ids of the servers to which the call was already sent
	 * @param allowed whether the call may be sent to a server
	 * @param permits the permits
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the choice
	 */
	public Choice choosePermitted(CallRequirements requirements, Collection<String> tried,
			Predicate<BackendServer> allowed, Permits permits, long nowNanos) {
		Choice best = choose(requirements, tried, allowed, nowNanos);
		if (!(best instanceof Choice.Chosen first) || permits.tryAcquire(first.server().incarnation(), nowNanos)) {
			return best;
		}
		Predicate<BackendServer> permitted = (server) -> permits.isAvailable(server.incarnation(), nowNanos);
		return switch (choose(requirements, tried, allowed.and(permitted), nowNanos)) {
			case Choice.Chosen other -> {
				permits.tryAcquire(other.server().incarnation(), nowNanos);
				yield other.withPassedOver(first.server());
			}
			case Choice.Full full -> full;
			case Choice.NoServer _, Choice.NoPermit _, Choice.Backoff _ -> new Choice.NoPermit(first.candidates());
		};
	}

	private Choice leastLoaded(List<BackendRow> available, long nowNanos) {
		BackendRow chosen = this.leastLoaded.choose(available, nowNanos);
		return new Choice.Chosen(chosen.server, chosen.load(), 0, 0, available.size(), Optional.empty(),
				Optional.empty(), Optional.empty());
	}

	private Choice earliestFirstToken(CallRequirements requirements, List<BackendRow> available, long nowNanos) {
		if (this.firstPromptNanos.isEmpty()) {
			this.firstPromptNanos = OptionalLong.of(nowNanos);
		}
		Map<String, Optional<CachingServer>> cachingServers = new HashMap<>();
		FirstTokenModel model = model(requirements.service());
		List<Candidate<CostEstimate>> candidates = new ArrayList<>(available.size());
		for (BackendRow row : available) {
			Optional<CachingServer> cachingServer = cachingServers.computeIfAbsent(row.server.version(),
					(version) -> findCachingServer(requirements, version, nowNanos));
			CostEstimate estimate = estimate(requirements, model, row, cachingServer, nowNanos);
			candidates.add(new Candidate<>(estimate, estimate.waitMillis, estimate.ownMillis));
		}
		double unreportedMillis = this.peerWork.unreportedTokens(REPORT_AGE_NANOS, nowNanos) * model.millisPerToken();
		long prompt = promptHash(requirements);
		Placed<CostEstimate> placed = LevelPlacement
			.choose(candidates, unreportedMillis, (estimate) -> rank(prompt, estimate.row))
			.orElseThrow();
		CostEstimate chosen = placed.server();
		long millis = (long) (chosen.waitMillis + chosen.ownMillis);
		double meanWaitMillis = model.isKnown() ? meanWaitMillis(candidates) : 0;
		ExpectedTime expected = new ExpectedTime(meanWaitMillis, millis, chosen.ownMillis);
		if (this.admission.decide(requirements.demand(), expected) instanceof Refused refused) {
			return new Choice.Full(available.size(), millis, Optional.of(refused));
		}
		return new Choice.Chosen(chosen.row.server, chosen.row.load(), chosen.uncachedTokens, millis, available.size(),
				chosen.transferSource.map((row) -> row.server), Optional.of(chosen.work), Optional.empty());
	}

	private static double meanWaitMillis(List<Candidate<CostEstimate>> servers) {
		double sum = 0;
		for (Candidate<CostEstimate> server : servers) {
			sum += server.waitMillis();
		}
		return sum / servers.size();
	}

	// The server of a version with the most tokens of the prompt prefix cached: what one
	// version wrote does not fit another one. A leaving server keeps its cache until it
	// is terminated.
	private Optional<CachingServer> findCachingServer(CallRequirements requirements, String version, long nowNanos) {
		if (requirements.prefix().segments().isEmpty()) {
			return Optional.empty();
		}
		List<BackendRow> rows = filter(this.table.cacheCandidates(requirements.service()),
				(row) -> !row.isAvoided(nowNanos) && row.server.version().equals(version));
		Optional<CachingServer> best = cachingServers(rows, requirements.prefix()).stream()
			.max(Comparator.comparingInt(CachingServer::cachedTokens)
				.thenComparing((cachingServer) -> cachingServer.row.server.zone().equals(this.zone))
				.thenComparingLong((cachingServer) -> rank(requirements.prefix().hash(), cachingServer.row)));
		return best.isPresent() ? best : assumedCachingServer(requirements, rows, nowNanos);
	}

	private static List<CachingServer> cachingServers(List<BackendRow> rows, PromptPrefix prefix) {
		List<CachingServer> cachingServers = new ArrayList<>();
		for (BackendRow row : rows) {
			int cachedTokens = row.cachedSegments.cachedTokens(prefix);
			if (cachedTokens > 0) {
				cachingServers.add(new CachingServer(row, cachedTokens));
			}
		}
		return cachingServers;
	}

	// A restarted process has no record of cached segments. During the warm-up time,
	// servers that were already registered are therefore assumed to have cached the
	// prefixes for which they come first in the common order: with empty caches assumed,
	// every prompt seemed to need a full prefill, and 200 calls were rejected within two
	// seconds after all processes had been killed.
	private Optional<CachingServer> assumedCachingServer(CallRequirements requirements, List<BackendRow> rows,
			long nowNanos) {
		boolean warmingUp = nowNanos - this.firstPromptNanos.getAsLong() < WARM_UP_NANOS;
		return rows.stream()
			.filter((row) -> warmingUp && row.registeredNanos.isEmpty())
			.min(Comparator.comparingLong((row) -> rank(requirements.prefix().hash(), row)))
			.map((row) -> new CachingServer(row, requirements.prefix().tokens()));
	}

	private CostEstimate estimate(CallRequirements requirements, FirstTokenModel model, BackendRow row,
			Optional<CachingServer> cachingServer, long nowNanos) {
		boolean isCachingServer = cachingServer.isPresent() && cachingServer.get().row == row;
		int cachedTokens = isCachingServer ? cachingServer.get().cachedTokens
				: row.cachedSegments.cachedTokens(requirements.prefix());
		int transferableTokens = cachingServer.map(CachingServer::cachedTokens).orElse(0) - cachedTokens;
		double transferMillis = (transferableTokens > 0) ? requirements.transferMillis(transferableTokens)
				: Double.POSITIVE_INFINITY;
		boolean transfers = transferMillis < transferableTokens / model.prefillTokensPerMilli();
		int promptTokens = requirements.ownTokens() + requirements.prefix().tokens();
		long uncachedTokens = promptTokens - cachedTokens - (transfers ? transferableTokens : 0);
		Work work = Work.of(row.uncachedTokens(), uncachedTokens, promptTokens, row.load());
		double timeFactor = this.table.timeFactor(row, nowNanos);
		double waitMillis = timeFactor * row.uncachedTokens() * model.millisPerToken();
		double ownMillis = timeFactor * model.expectedMillis(work) - waitMillis + (transfers ? transferMillis : 0);
		return new CostEstimate(row, uncachedTokens, work, waitMillis, ownMillis,
				transfers ? cachingServer.map(CachingServer::row) : Optional.empty());
	}

	/**
	 * Records the time to first token of a call, from which the model of the service and
	 * the speed of the server are learned. The model describes a typical server.
	 * @param service the service
	 * @param server the run of the server
	 * @param work the work of the server until the first token
	 * @param millis the measured time, in milliseconds
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void recordFirstToken(String service, Incarnation server, Work work, long millis, long nowNanos) {
		FirstTokenModel model = model(service);
		double timeFactor = timeFactor(server, nowNanos);
		this.table.recordResponseTime(server, model.expectedMillis(work), millis, nowNanos);
		model.update(work, millis / timeFactor);
	}

	/**
	 * Records the time until a server responded to a call without a prompt.
	 * @param service the service
	 * @param server the run of the server
	 * @param millis the measured time, in milliseconds
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void recordResponse(String service, Incarnation server, long millis, long nowNanos) {
		double measured = Math.max(1, millis);
		double timeFactor = timeFactor(server, nowNanos);
		this.table.recordResponseTime(server, this.typicalTimes.millis(service, measured), measured, nowNanos);
		this.typicalTimes.record(service, measured / timeFactor);
	}

	private double timeFactor(Incarnation server, long nowNanos) {
		return this.table.find(server.id()).map((known) -> this.table.timeFactor(known, nowNanos)).orElse(1.0);
	}

	/**
	 * Returns the model of the time to first token of a service.
	 * @param service the service
	 * @return the model, shared by all calls
	 */
	public FirstTokenModel model(String service) {
		return this.models.computeIfAbsent(service, (_) -> new FirstTokenModel());
	}

	/**
	 * Returns what decides on calls while there is less room than is asked for.
	 * @return the admission, to be told what organisations ask
	 */
	public Admission admission() {
		return this.admission;
	}

	/**
	 * Returns the estimate of what other gateways have sent since their last reports.
	 * @return the estimate, to be told of what they report
	 */
	public PeerWork peerWork() {
		return this.peerWork;
	}

	/**
	 * Returns the models of all services that have one.
	 * @return the models by service
	 */
	public Map<String, FirstTokenModel> models() {
		return Map.copyOf(this.models);
	}

	// Calls without a prefix have nothing in common for which they should meet.
	private long promptHash(CallRequirements requirements) {
		long hash = requirements.prefix().hash();
		return (hash != 0) ? hash : Double.doubleToLongBits(this.random.getAsDouble());
	}

	private static long rank(long promptHash, BackendRow row) {
		return Hashing.wyhashFinal4().hashLongLongToLong(promptHash, row.idHash);
	}

	/**
	 * The requirements of a call.
	 *
	 * @param service the service
	 * @param prefix the prompt prefix that it shares with other calls
	 * @param engine the engine parameters of the service, empty if it has none
	 * @param ownTokens the prompt tokens that no other call has in common; 0 for a call
	 * without a prompt
	 * @param targetMillis the time left until the first token is due, in milliseconds
	 * @param priority its priority, 0 for the most urgent
	 * @param organisation the organisation of the caller, empty if callers need no key
	 * @param remainingMillis the time left until the call times out, in milliseconds
	 * @param fullTargetMillis the time until the first token is due for a call that has
	 * just arrived, in milliseconds
	 */
	public record CallRequirements(String service, PromptPrefix prefix, Optional<EngineSpec> engine, int ownTokens,
			long targetMillis, int priority, String organisation, long remainingMillis, long fullTargetMillis) {

		/**
		 * Creates the requirements of a call without an organisation.
		 * @param service the service
		 * @param prefix the prompt prefix that it shares with other calls
		 * @param engine the engine parameters of the service, empty if it has none
		 * @param ownTokens the prompt tokens that no other call has in common
		 * @param targetMillis the time left until the first token is due, in milliseconds
		 * @param priority its priority, 0 for the most urgent
		 */
		public CallRequirements(String service, PromptPrefix prefix, Optional<EngineSpec> engine, int ownTokens,
				long targetMillis, int priority) {
			this(service, prefix, engine, ownTokens, targetMillis, priority, "", targetMillis, targetMillis);
		}

		/**
		 * Returns the time left until the first token of a call is due. A call that may
		 * already have run is not rejected for missing the target, because its caller has
		 * received part of the response or the call may have been executed, so that all
		 * of its remaining time counts. With the first-token target applied, no stream
		 * could be resumed at another server once it had run for longer than the target.
		 * @param targetMillis the target less the age of the call, in milliseconds
		 * @param remainingMillis the time left until the call times out, in milliseconds
		 * @param ran whether a server may have run the call
		 * @return the time in milliseconds, never negative
		 */
		public static long remainingMillis(long targetMillis, long remainingMillis, boolean ran) {
			return Math.max(0, ran ? remainingMillis : targetMillis);
		}

		private CallDemand demand() {
			return new CallDemand(this.service, this.organisation, this.priority,
					(long) this.ownTokens + this.prefix.tokens(), this.targetMillis, this.remainingMillis,
					this.fullTargetMillis);
		}

		private double transferMillis(int tokens) {
			return this.engine.map((spec) -> spec.transferMillis(tokens)).orElse(Double.POSITIVE_INFINITY);
		}

	}

	/** The result of a choice. */
	public sealed interface Choice {

		/**
		 * A server was chosen.
		 *
		 * @param server the server
		 * @param load its number of calls, of all processes
		 * @param uncachedTokens the prompt tokens that it has to prefill for the call
		 * @param expectedMillis the expected time to first token in milliseconds, 0 if
		 * unknown
		 * @param candidates the number of servers that were compared
		 * @param transferSource the server from which missing segments are transferred,
		 * if any
		 * @param work the work of the server until the first token, empty if unknown
		 * @param passedOver the id of a better server for which no permit was left, if
		 * any
		 */
		record Chosen(BackendServer server, int load, long uncachedTokens, long expectedMillis, int candidates,
				Optional<BackendServer> transferSource, Optional<Work> work,
				Optional<String> passedOver) implements Choice {

			private Chosen withPassedOver(BackendServer limited) {
				return new Chosen(this.server, this.load, this.uncachedTokens, this.expectedMillis, this.candidates,
						this.transferSource, this.work, Optional.of(limited.id()));
			}

		}

		/**
		 * All eligible servers are at capacity.
		 *
		 * @param servers the number of servers that accept calls but have no capacity
		 * @param expectedMillis the expected time to first token at the best of them in
		 * milliseconds, 0 if none has a free slot
		 * @param refused why the call is refused before others, empty if none has a free
		 * slot
		 */
		record Full(int servers, long expectedMillis, Optional<Refused> refused) implements Choice {

			/**
			 * Creates the choice for servers without a free slot.
			 * @param servers the number of servers that accept calls but have no capacity
			 * @param expectedMillis the expected time to first token at the best of them
			 * in milliseconds, 0 if none has a free slot
			 */
			public Full(int servers, long expectedMillis) {
				this(servers, expectedMillis, Optional.empty());
			}

			/**
			 * Returns when there is likely to be room.
			 * @return the time from now in milliseconds, empty if it is not known
			 */
			public OptionalLong retryMillis() {
				return this.refused.isPresent() ? OptionalLong.of(this.refused.get().retryAfterMillis())
						: OptionalLong.empty();
			}

			/**
			 * Describes the choice, for the log.
			 * @return the servers, the expected time and, if a call was refused before
			 * others, the limit and the reason
			 */
			public String describe() {
				return this.servers + " servers have no room, first token after " + this.expectedMillis + " ms"
						+ this.refused
							.map((decision) -> ", limit " + (long) decision.limitMillis() + " ms, mean wait "
									+ (long) decision.waitMillis() + " ms, " + decision.reason())
							.orElse("");
			}

		}

		/** No server is eligible. */
		record NoServer() implements Choice {
		}

		/**
		 * All eligible servers want no requests for a while.
		 *
		 * @param servers the number of servers
		 * @param millis the time until the first of them wants requests, in milliseconds
		 */
		record Backoff(int servers, long millis) implements Choice {
		}

		/**
		 * All eligible servers have a limit that is used up.
		 *
		 * @param servers the number of servers
		 */
		record NoPermit(int servers) implements Choice {
		}

	}

	/** The permits for servers that take a limited number of requests. */
	public interface Permits {

		/**
		 * Takes a permit for a request to a server. Without one, the request counts as
		 * demand for the server.
		 * @param server the run of the server
		 * @param nowNanos the current time on the monotonic clock, in nanoseconds
		 * @return false if the server has a limit and no permit is available
		 */
		boolean tryAcquire(BackendServer.Incarnation server, long nowNanos);

		/**
		 * Returns whether a request may be sent to a server.
		 * @param server the run of the server
		 * @param nowNanos the current time on the monotonic clock, in nanoseconds
		 * @return false if the server has a limit and no permit is available
		 */
		boolean isAvailable(BackendServer.Incarnation server, long nowNanos);

	}

	private record CachingServer(BackendRow row, int cachedTokens) {
	}

	private record CostEstimate(BackendRow row, long uncachedTokens, Work work, double waitMillis, double ownMillis,
			Optional<BackendRow> transferSource) {
	}

}
