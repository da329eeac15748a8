package org.rosemaryfront.gateway;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongConsumer;

import org.rosemaryfront.crashes.PromptSegment;
import org.rosemaryfront.crashes.QuarantineDecision;
import org.rosemaryfront.crashes.RequestDigest;
import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.dispatch.BackendTable;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.ports.CallMetadata.Prompt;
import org.rosemaryfront.traffic.Call;
import org.rosemaryfront.traffic.CallPolicy.Ending;
import org.rosemaryfront.traffic.CallPolicy.Failure;
import org.rosemaryfront.traffic.Refusal;
import org.rosemaryfront.traffic.Refusal.Cause;

/**
 * Blocks calls whose requests are quarantined because servers crash under them, and
 * collects evidence for and against requests from the outcomes of calls. Confined to the
 * control thread, except {@link #isQuarantined}.
 */
final class CrashGuard {

	/**
	 * Retry-after time for a quarantined request, in milliseconds. The request stays
	 * quarantined until an operator releases it.
	 */
	static final long QUARANTINE_RETRY_MILLIS = 60_000;

	/**
	 * Retry-after time while a probe of the request is running, in milliseconds: calls
	 * that crashed their servers did so within a second.
	 */
	private static final long PROBE_RETRY_MILLIS = 1_000;

	private final CrashRecords crashes;

	private final BackendTable servers;

	/**
	 * Calls sent as probes although they are quarantined, with the digests of what they
	 * probe.
	 */
	private final Map<Call, RequestDigest> probes = new ConcurrentHashMap<>();

	CrashGuard(CrashRecords crashes, BackendTable servers) {
		this.crashes = crashes;
		this.servers = servers;
	}

	// -- before a call is sent

	/**
	 * Admits a call or refuses it immediately, before it uses any quota.
	 * @param call the call
	 * @param proceed continues with the call; takes the current time
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void admit(Call call, LongConsumer proceed, long nowNanos) {
		if (!this.crashes.isLoaded()) {
			call.refuse(503, GatewayControl.fullRetryMillis(),
					Refusal.of(Cause.CRASHES_UNKNOWN, "quarantined requests not read from the store yet"));
			return;
		}
		switch (judge(call)) {
			case QuarantineDecision.Allowed _ -> proceed.accept(nowNanos);
			case QuarantineDecision.Probe probe -> claim(call, call.digest().orElseThrow(), proceed, probe);
			case QuarantineDecision.SegmentsQuarantined held when held.mayProbe() ->
				claim(call, held.hold().digest(), proceed, held);
			case QuarantineDecision.Quarantined held -> call.refuse(503, QUARANTINE_RETRY_MILLIS, refusal(held));
			case QuarantineDecision.SegmentsQuarantined held ->
				call.refuse(503, QUARANTINE_RETRY_MILLIS, refusal(held));
		}
	}

	private void claim(Call call, RequestDigest probed, LongConsumer proceed, QuarantineDecision decision) {
		this.crashes.probes().claim(probed, (granted) -> {
			if (granted) {
				this.probes.put(call, probed);
				proceed.accept(System.nanoTime());
			}
			else {
				call.refuse(503, PROBE_RETRY_MILLIS, refusal(decision));
			}
		});
	}

	/**
	 * Returns why a call must not be sent or retried: servers crashed under it or under
	 * other copies of its request.
	 * @param call the call
	 * @return the refusal, empty if the call may be sent
	 */
	Optional<Refusal> quarantineRefusal(Call call) {
		QuarantineDecision decision = judge(call);
		return switch (decision) {
			case QuarantineDecision.Allowed _ -> Optional.empty();
			case QuarantineDecision.Probe _, QuarantineDecision.Quarantined _,
					QuarantineDecision.SegmentsQuarantined _ ->
				Optional.of(refusal(decision));
		};
	}

	/**
	 * Returns whether a call must no longer be sent. Safe to call on any thread.
	 * @param call the call
	 * @return true if segments of its prompt are quarantined, or its request is and the
	 * call is not the probe
	 */
	boolean isQuarantined(Call call) {
		boolean quarantined = this.crashes.segmentHold(CallSuspects.of(call)).isPresent()
				|| call.digest().filter(this.crashes::isQuarantined).isPresent();
		return quarantined && !this.probes.containsKey(call);
	}

	// -- while a call is in progress

	/**
	 * Returns the calls that are quarantined, except probes.
	 * @param calls all calls in progress
	 * @return the calls to be ended
	 */
	List<Call> quarantined(Collection<Call> calls) {
		return calls.stream().filter(this::mustEnd).toList();
	}

	private boolean mustEnd(Call call) {
		return switch (judge(call)) {
			case QuarantineDecision.Allowed _, QuarantineDecision.Probe _ -> false;
			case QuarantineDecision.Quarantined _, QuarantineDecision.SegmentsQuarantined _ ->
				!this.probes.containsKey(call);
		};
	}

	/**
	 * Ends a call whose request was quarantined; if it stayed queued at a server, it
	 * would crash that server too.
	 * @param call the call
	 * @param ran whether a server may have run it
	 */
	void withdraw(Call call, boolean ran) {
		call.end(ran, QUARANTINE_RETRY_MILLIS, refusal(judge(call)));
	}

	// -- outcomes of calls

	/**
	 * Records that a call got a response.
	 * @param call the call
	 * @param server the server that responded
	 * @param ending how the response ended
	 * @param sentNanos when the call was sent to the server, on the monotonic clock, in
	 * nanoseconds
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void ended(Call call, BackendServer server, Ending ending, long sentNanos, long nowNanos) {
		CallSuspects suspects = CallSuspects.of(call);
		if (ending == Ending.CLOSED) {
			this.crashes.endedWithConnection(suspects, server);
			return;
		}
		this.crashes.serverResponded(server.incarnation(), sentNanos, nowNanos);
		this.crashes.requestCompleted(suspects, nowNanos);
		if (ending == Ending.SUCCEEDED && isFromBeginning(call)) {
			this.crashes.segmentsCompleted(suspects, server, nowNanos);
		}
	}

	// A server that goes on with a stream may have nothing left to write.
	private static boolean isFromBeginning(Call call) {
		return call.sendCount() == 1 && call.metadata().resumption().isEmpty();
	}

	/**
	 * Records that a call failed at a server. Broken connections of servers that were
	 * about to shut down are not counted as crashes: a server ends its remaining calls
	 * when it shuts down. Nor are those of servers that fail when they reject too much,
	 * whatever they ran.
	 * @param call the call
	 * @param server the server
	 * @param failure the failure
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void failed(Call call, BackendServer server, Failure failure, long nowNanos) {
		boolean broke = failure.sent() && !failure.responded() && !(failure.verdict() instanceof Verdict.NotRun);
		if (!broke) {
			return;
		}
		boolean overloaded = this.servers.mayHaveFailedByRejections(server.incarnation(), nowNanos);
		boolean expected = this.servers.isExpected(server.incarnation());
		logCutOff(call, server, overloaded, expected);
		if (!overloaded && expected) {
			this.crashes.connectionBroke(CallSuspects.of(call), server, nowNanos);
		}
	}

	private static void logCutOff(Call call, BackendServer server, boolean overloaded, boolean expected) {
		EventLog.info(GatewayEvents.CALL_CUT_OFF, "request", call.id(), "digest",
				call.digest().map(RequestDigest::toString).orElse("none"), "segments",
				call.metadata().prompt().map(Prompt::segmentList).orElse("none"), "server", server.id(), "started",
				server.startedMillis(), "version", server.version(), "serverOverloaded", overloaded, "serverExpected",
				expected);
	}

	/**
	 * Records that a call ended. A probe that was never sent to a server is given back
	 * for the next copy.
	 * @param call the call
	 */
	void ended(Call call) {
		Optional.ofNullable(this.probes.remove(call))
			.filter((_) -> call.sendCount() == 0)
			.ifPresent(this.crashes.probes()::giveBack);
	}

	private QuarantineDecision judge(Call call) {
		return this.crashes.judge(CallSuspects.of(call));
	}

	private static Refusal refusal(QuarantineDecision decision) {
		String suspect = (decision instanceof QuarantineDecision.SegmentsQuarantined held)
				? "segments " + held.hold().segments().stream().map(PromptSegment::id).toList() : "the request";
		return Refusal.of(Cause.CRASHES_SERVERS, "servers that crashed under " + suspect + ": "
				+ decision.servers().stream().map(BackendServer.Incarnation::id).toList());
	}

}
