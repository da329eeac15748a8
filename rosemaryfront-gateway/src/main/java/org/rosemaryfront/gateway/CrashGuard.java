package org.rosemaryfront.gateway;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongConsumer;

import org.rosemaryfront.crashes.Judgement;
import org.rosemaryfront.crashes.RequestDigest;
import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.dispatch.BackendTable;
import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.traffic.Call;
import org.rosemaryfront.traffic.CallPolicy.Failure;
import org.rosemaryfront.traffic.Refusal;
import org.rosemaryfront.traffic.Refusal.Cause;

/**
 * Keeps calls from servers whose requests crash them, and takes from the ends of calls
 * what speaks for and against their requests. Used on the control thread, but for
 * {@link #isHeldBack}.
 */
final class CrashGuard {

	/**
	 * When to come back with a request that is held back, in milliseconds. It stays so
	 * until an operator releases it.
	 */
	static final long RETRY_MILLIS = 60_000;

	/**
	 * When to come back with a request of which a copy is on trial, in milliseconds:
	 * calls that crashed their servers did so within a second.
	 */
	private static final long TRIAL_RETRY_MILLIS = 1_000;

	private final CrashRecords crashes;

	private final BackendTable servers;

	/** Calls that are sent though their requests are held back. */
	private final Set<Call> onTrial = ConcurrentHashMap.newKeySet();

	CrashGuard(CrashRecords crashes, BackendTable servers) {
		this.crashes = crashes;
		this.servers = servers;
	}

	// -- before a call is sent

	/**
	 * Lets a call go on, or refuses it at once. It uses no quota before that.
	 * @param call the call
	 * @param go goes on with it, at the time given
	 * @param now the time
	 */
	void admit(Call call, LongConsumer go, long now) {
		if (!this.crashes.isKnown()) {
			call.refuse(503, GatewayControl.fullRetryMillis(),
					Refusal.of(Cause.CRASHES_UNKNOWN, "the requests that are held back are not known yet"));
			return;
		}
		switch (judge(call)) {
			case Judgement.Free _ -> go.accept(now);
			case Judgement.OnTrial trial -> this.crashes.trials()
				.claim(call.digest().orElseThrow(), (granted) -> claimed(call, granted, go, trial));
			case Judgement.Held held -> call.refuse(503, RETRY_MILLIS, refusal(held));
		}
	}

	private void claimed(Call call, boolean granted, LongConsumer go, Judgement judgement) {
		if (granted) {
			this.onTrial.add(call);
			go.accept(System.nanoTime());
		}
		else {
			call.refuse(503, TRIAL_RETRY_MILLIS, refusal(judgement));
		}
	}

	/**
	 * Why a call is not sent, or not sent again: its own servers crashed, or those of
	 * other copies of its request.
	 * @param call the call
	 * @return the refusal, empty when it may be sent
	 */
	Optional<Refusal> heldBack(Call call) {
		Judgement judgement = judge(call);
		return switch (judgement) {
			case Judgement.Free _ -> Optional.empty();
			case Judgement.OnTrial _, Judgement.Held _ -> Optional.of(refusal(judgement));
		};
	}

	/**
	 * Whether a call must not be sent any more; may be asked on any thread.
	 * @param call the call
	 * @return true when its request is held back and it is not on trial
	 */
	boolean isHeldBack(Call call) {
		return call.digest().filter(this.crashes::isHeld).isPresent() && !this.onTrial.contains(call);
	}

	// -- while it is under way

	/**
	 * The calls whose request is held back, but for the one on trial.
	 * @param request the request
	 * @param calls all calls under way
	 * @return those to be ended
	 */
	List<Call> copies(RequestDigest request, Collection<Call> calls) {
		return calls.stream()
			.filter((call) -> call.digest().equals(Optional.of(request)) && !this.onTrial.contains(call))
			.toList();
	}

	/**
	 * Ends a call whose request is held back from now on. Waiting for its turn at a
	 * server, it would crash one more.
	 * @param call the call
	 * @param ran whether a server may have run it
	 */
	void withdraw(Call call, boolean ran) {
		call.withdraw(ran, RETRY_MILLIS, refusal(judge(call)));
	}

	// -- how it ended

	/**
	 * A call was answered whole.
	 * @param call the call
	 * @param server who answered
	 * @param sentNanos when the call was sent there
	 * @param now the time
	 */
	void answered(Call call, BackendServer server, long sentNanos, long now) {
		this.crashes.answers(server.start(), sentNanos, now);
		call.digest().ifPresent((request) -> this.crashes.answered(request, now));
	}

	/**
	 * A call failed at a server. Servers that are about to leave end what they have when
	 * they go: that is no crash.
	 * @param call the call
	 * @param server the server
	 * @param failure what happened
	 * @param now the time
	 */
	void failed(Call call, BackendServer server, Failure failure, long now) {
		boolean broke = failure.sent() && !failure.answered() && !(failure.verdict() instanceof Verdict.NotRun);
		if (broke && this.servers.isExpected(server.start())) {
			call.digest().ifPresent((request) -> this.crashes.broke(request, server, now));
		}
	}

	/**
	 * A call is over. A trial that no server got is for the next copy.
	 * @param call the call
	 */
	void over(Call call) {
		if (this.onTrial.remove(call) && call.sends() == 0) {
			this.crashes.trials().giveBack(call.digest().orElseThrow());
		}
	}

	private Judgement judge(Call call) {
		return call.digest().map(this.crashes::judge).orElse(Judgement.none());
	}

	private static Refusal refusal(Judgement judgement) {
		return Refusal.of(Cause.CRASHES_SERVERS,
				"crashed under it: " + judgement.servers().stream().map(BackendServer.Start::id).toList());
	}

}
