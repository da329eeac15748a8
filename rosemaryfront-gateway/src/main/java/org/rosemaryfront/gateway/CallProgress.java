package org.rosemaryfront.gateway;

import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.rosemaryfront.dispatch.BackendServer.Incarnation;
import org.rosemaryfront.dispatch.Dispatcher;
import org.rosemaryfront.dispatch.Dispatcher.Choice;
import org.rosemaryfront.dispatch.FirstTokenModel.Work;
import org.rosemaryfront.dispatch.NewRun;
import org.rosemaryfront.dispatch.PromptPrefix;
import org.rosemaryfront.ports.CallMetadata.Prompt;
import org.rosemaryfront.quota.QuotaTable.QuotaDecision;
import org.rosemaryfront.traffic.Call;

/**
 * The decisions made about a call in progress: its quota units, the servers it was sent
 * to, and the expected time to first token at the last one. Confined to the control
 * thread.
 */
final class CallProgress {

	/**
	 * Added to measured and expected times before they are compared, in milliseconds: a
	 * busy machine of a gateway delays any call by this much.
	 */
	private static final double JITTER_MILLIS = 10;

	private final PromptPrefix prefix;

	private final Set<String> tried = new HashSet<>();

	private Optional<Incarnation> server = Optional.empty();

	private long uncachedTokens;

	/** The expected time to first token since the call was sent, in milliseconds. */
	private long expectedMillis;

	/** Whether a first token is expected and has not arrived yet. */
	private boolean firstTokenPending;

	/** When the first token or the response of the last attempt arrived, if it did. */
	private OptionalLong beganNanos = OptionalLong.empty();

	/** Whether the response to a call without a prompt has not arrived yet. */
	private boolean responsePending;

	private long sentNanos;

	/**
	 * The work of the server up to the first token; empty if it also transferred KV cache
	 * entries.
	 */
	private Optional<Work> work = Optional.empty();

	private double units;

	private long chargedNanos;

	/** Used and allowed units of the quota, for the log. */
	private String quotaUsage = "none";

	/** How many gateways share the quota, for the log. */
	private String sharingGateways = "none";

	private boolean ran;

	/** Whether the call does not count as load of its server any more. */
	private boolean loadReleased;

	private int unsentAttempts;

	private CallProgress(PromptPrefix prefix) {
		this.prefix = prefix;
	}

	// -- factories

	/**
	 * Creates the progress of a call that has just arrived.
	 * @param call the call
	 * @return the progress, with nothing decided
	 */
	static CallProgress of(Call call) {
		return of(call.metadata().prompt().map(Prompt::sharedPrefix).orElse(PromptPrefix.none()));
	}

	static CallProgress of(PromptPrefix prefix) {
		return new CallProgress(prefix);
	}

	// -- changes

	void admitted(double taken, QuotaDecision taking, long nowNanos) {
		this.units = taken;
		this.chargedNanos = nowNanos;
		this.sharingGateways = sharingGateways(taking);
		this.quotaUsage = String.format(Locale.ROOT, "%.0f/%.0f", taking.used(), taking.limit());
	}

	void sent(Choice.Chosen chosen, long nowNanos) {
		this.tried.add(chosen.server().id());
		this.loadReleased = false;
		this.server = Optional.of(chosen.server().incarnation());
		this.uncachedTokens = chosen.uncachedTokens();
		this.expectedMillis = chosen.expectedMillis();
		this.firstTokenPending = chosen.work().isPresent();
		this.responsePending = chosen.work().isEmpty();
		this.beganNanos = OptionalLong.empty();
		// A transfer of KV cache entries takes time that the work does not include.
		this.work = chosen.transferSource().isPresent() ? Optional.empty() : chosen.work();
		this.sentNanos = nowNanos;
	}

	/**
	 * Records that the run of the call, which has stopped, continues at a server.
	 * @param to the server
	 */
	void moved(Incarnation to) {
		this.ran = true;
		this.tried.add(to.id());
		this.server = Optional.of(to);
		this.loadReleased = false;
		this.firstTokenPending = false;
		this.responsePending = false;
	}

	/**
	 * Formats how many gateways share the quota of a call, for the log.
	 * @param taking the result of taking units
	 * @return the number of gateways in the group, a slash, and the number of all
	 * gateways that may serve callers
	 */
	static String sharingGateways(QuotaDecision taking) {
		return taking.sharing().group() + "/" + taking.sharing().members();
	}

	/**
	 * Records that the call does not count as load of its server any more.
	 * @return false if this was recorded before
	 */
	boolean releaseLoad() {
		boolean counted = !this.loadReleased;
		this.loadReleased = true;
		return counted;
	}

	boolean isLoadReleased() {
		return this.loadReleased;
	}

	/** Records that the call did not reach the server chosen for it. */
	void notSent() {
		this.unsentAttempts++;
	}

	/** Records that a server may have run the call, so its units are not given back. */
	void mayHaveRun() {
		this.ran = true;
	}

	/**
	 * Returns the units that the call was admitted with and resets them.
	 * @return the units; 0 on later calls
	 */
	double takeUnits() {
		double taken = this.units;
		this.units = 0;
		return taken;
	}

	/**
	 * Returns the uncached prompt tokens that the server had to prefill and resets them.
	 * @return the tokens; 0 on later calls
	 */
	long takeUncachedTokens() {
		long taken = this.uncachedTokens;
		this.uncachedTokens = 0;
		return taken;
	}

	/**
	 * Returns the ratio of measured to expected time when the first token or the response
	 * arrives.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the ratio, with the usual jitter added to both times and 0 expected where
	 * there is no expectation; empty if the call has no server
	 */
	OptionalDouble latencyRatio(long nowNanos) {
		long millis = TimeUnit.NANOSECONDS.toMillis(nowNanos - this.sentNanos);
		return this.server.isPresent()
				? OptionalDouble.of((JITTER_MILLIS + millis) / (JITTER_MILLIS + this.expectedMillis))
				: OptionalDouble.empty();
	}

	/**
	 * Records when the first token or the response arrived.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void began(long nowNanos) {
		this.beganNanos = OptionalLong.of(nowNanos);
	}

	/**
	 * Lets a dispatcher learn from the time to the first token or the response of a call
	 * that succeeded. A server that fails at once is not a fast one.
	 * @param dispatcher learns from the time that it took
	 * @param service the service
	 */
	void recordResponse(Dispatcher dispatcher, String service) {
		if (this.beganNanos.isEmpty()) {
			return;
		}
		long began = this.beganNanos.getAsLong();
		firstToken(began).ifPresent((first) -> first.work()
			.ifPresent((work) -> dispatcher.recordFirstToken(service, first.server(), work, first.millis(), began)));
		if (this.responsePending && this.server.isPresent()) {
			long millis = TimeUnit.NANOSECONDS.toMillis(began - this.sentNanos);
			dispatcher.recordResponse(service, this.server.get(), millis, began);
			this.responsePending = false;
		}
	}

	/**
	 * Records that the first token arrived.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the measured and expected time to first token; empty if none was expected
	 * or it was recorded before
	 */
	Optional<FirstToken> firstToken(long nowNanos) {
		if (!this.firstTokenPending || this.server.isEmpty()) {
			return Optional.empty();
		}
		long millis = TimeUnit.NANOSECONDS.toMillis(nowNanos - this.sentNanos);
		FirstToken first = new FirstToken(this.server.get(), this.expectedMillis, millis, this.work);
		this.firstTokenPending = false;
		return Optional.of(first);
	}

	// -- queries

	PromptPrefix prefix() {
		return this.prefix;
	}

	Set<String> tried() {
		return this.tried;
	}

	Optional<Incarnation> server() {
		return this.server;
	}

	double units() {
		return this.units;
	}

	long sentNanos() {
		return this.sentNanos;
	}

	long chargedNanos() {
		return this.chargedNanos;
	}

	String quotaUsage() {
		return this.quotaUsage;
	}

	String sharingGateways() {
		return this.sharingGateways;
	}

	boolean ran() {
		return this.ran;
	}

	/**
	 * Describes another run of the call's request.
	 * @param call the call
	 * @return what decides whether it may begin
	 */
	NewRun newRun(Call call) {
		return new NewRun(this.ran, call.move().wasStopped(), call.route().retryable(), call.canResend());
	}

	int unsentAttempts() {
		return this.unsentAttempts;
	}

	/**
	 * A measured time to first token.
	 *
	 * @param server the server process that produced it
	 * @param expectedMillis the expected time, in milliseconds
	 * @param millis the measured time, in milliseconds
	 * @param work the work of the server, empty if other work took time as well
	 */
	record FirstToken(Incarnation server, long expectedMillis, long millis, Optional<Work> work) {
	}

}
