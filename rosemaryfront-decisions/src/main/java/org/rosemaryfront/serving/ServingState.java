package org.rosemaryfront.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.rosemaryfront.model.AttemptId;
import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.Problem;
import org.rosemaryfront.model.Resource.Organisation;
import org.rosemaryfront.model.Resource.Pool;
import org.rosemaryfront.model.Verdict;

/**
 * The state shared by the systems: the tables, the estimates and the commands of this
 * tick.
 */
final class ServingState {

	private static final double SUMMARY_RATE_WINDOW_NANOS = 2e9;

	private static final double CHAT_RATE_WINDOW_NANOS = 10e9;

	final ServingParameters parameters;

	final RequestTable requests = new RequestTable();

	final AttemptTable attempts = new AttemptTable();

	final ServerTable servers = new ServerTable();

	final WorkEstimates estimates;

	final SplittableRandom random;

	final FairShares shares = new FairShares();

	final RetryBudget retryBudget;

	/** The rate at which this process dispatches summaries to backend servers. */
	final RateMeter summaryStarts = new RateMeter(SUMMARY_RATE_WINDOW_NANOS);

	/** The rate at which this process receives chats, including refused ones. */
	final RateMeter chatArrivals = new RateMeter(CHAT_RATE_WINDOW_NANOS);

	/** The number of summaries of this process that run on backend servers. */
	int summariesRunning;

	/**
	 * Attempts that ended before the whole answer was received and still need a decision.
	 */
	final List<FailedAttempt> failedAttempts = new ArrayList<>();

	private final Map<String, Pool> pools = new HashMap<>();

	private List<ServingCommand> commands = new ArrayList<>();

	private List<String> violations = new ArrayList<>();

	Configuration configuration = Configuration.empty();

	int livePeers = 1;

	boolean stopping;

	ServingState(ServingParameters parameters, long seed) {
		this.parameters = parameters;
		this.random = new SplittableRandom(seed);
		this.estimates = new WorkEstimates(parameters);
		this.retryBudget = new RetryBudget(parameters.retriesPerDispatch(), parameters.retryBurst());
	}

	// -- configuration

	void apply(Configuration configuration) {
		this.configuration = configuration;
		this.pools.clear();
		this.shares.applyOrganisations(configuration.all(Organisation.class).toList());
		configuration.all(Pool.class).forEach((pool) -> this.pools.put(pool.name(), pool));
	}

	boolean has(ServingFeature feature) {
		return this.parameters.has(feature);
	}

	// Returns the declared pool, or null if the configuration does not contain it.
	Pool pool(String name) {
		return this.pools.get(name);
	}

	int slots(String pool) {
		Pool configuredPool = pool(pool);
		return (configuredPool != null) ? Math.max(1, configuredPool.slotsPerServer()) : 1;
	}

	// -- requests

	void open(Request request) {
		this.requests.add(request);
		if (request.isChat()) {
			this.chatArrivals.recordEvent(request.arrivedNanos);
		}
		this.shares.add(request);
	}

	void close(Request request) {
		this.requests.remove(request);
		this.shares.remove(request);
	}

	// -- commands

	// Cancels the stream of an attempt that has already ended here.
	void cancelStream(Attempt endedAttempt, String reason) {
		this.commands.add(new ServingCommand.Cancel(endedAttempt.request.id, endedAttempt.id, reason));
	}

	void end(Attempt attempt, long nowNanos) {
		this.attempts.remove(attempt);
		this.summariesRunning -= attempt.request.isChat() ? 0 : 1;
		attempt.server.load.recordEnd(attempt, nowNanos);
	}

	void cancel(Attempt attempt, String reason, long nowNanos) {
		end(attempt, nowNanos);
		// The engine may have started the attempt before the cancellation arrives, so a
		// later refusal of the request must not report that it did not run.
		attempt.request.verdict = attempt.request.verdict.combinedWith(Verdict.mayHaveRun());
		this.commands.add(new ServingCommand.Cancel(attempt.request.id, attempt.id, reason));
	}

	// Starts an attempt. No routing path may give new work to a leaving server; this
	// invariant is checked here because all paths share this method.
	void dispatch(Request request, Server server, ServingCommand.Mode mode, String reason, long nowNanos) {
		boolean reattach = mode instanceof ServingCommand.Mode.Reattach;
		if (!reattach && !server.isLive()) {
			this.violations.add("new work to leaving server " + server.id + " for " + request.id);
		}
		AttemptId id = new AttemptId(request.id + "." + Long.toHexString(this.random.nextLong()));
		AttemptId stream = (mode instanceof ServingCommand.Mode.Reattach(AttemptId earlier)) ? earlier : id;
		this.attempts.add(new Attempt(id, stream, request, server, mode, nowNanos));
		this.summariesRunning += request.isChat() ? 0 : 1;
		server.hints.addAll(request.blocks);
		this.requests.move(request, Request.Phase.RUNNING);
		request.dispatches++;
		if (request.dispatches == 1) {
			this.retryBudget.recordFirstDispatch();
			if (!request.isChat()) {
				this.summaryStarts.recordEvent(nowNanos);
			}
		}
		this.commands.add(new ServingCommand.Dispatch(request.id, id, server.id, server.address, mode, reason));
	}

	// Ends a request with its only final response.
	void refuse(Request request, Problem problem, long nowNanos) {
		if (request.attempt != null) {
			cancel(request.attempt, problem.code().code(), nowNanos);
		}
		if (this.requests.find(request.id).isEmpty()) {
			this.violations.add("second final answer for " + request.id);
			return;
		}
		close(request);
		this.commands.add(new ServingCommand.Refuse(request.id, problem));
	}

	List<ServingCommand> takeCommands() {
		List<ServingCommand> taken = this.commands;
		this.commands = new ArrayList<>();
		return taken;
	}

	List<String> takeViolations() {
		List<String> taken = this.violations;
		this.violations = new ArrayList<>();
		return taken;
	}

}
