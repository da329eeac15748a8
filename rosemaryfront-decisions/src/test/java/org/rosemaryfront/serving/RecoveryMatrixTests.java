package org.rosemaryfront.serving;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import org.rosemaryfront.model.RequestId;
import org.rosemaryfront.model.Resource.Priority;
import org.rosemaryfront.model.VmId;
import org.rosemaryfront.serving.ServingCommand.Dispatch;
import org.rosemaryfront.serving.ServingCommand.Mode;
import org.rosemaryfront.serving.ServingCommand.Refuse;
import org.rosemaryfront.serving.ServingEvent.ConnectionFailure;
import org.rosemaryfront.serving.ServingEvent.LeavingSource;
import org.rosemaryfront.serving.ServingEvent.Refusal;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Injects every fault at every stage of a request. If a combination is not handled, the
 * caller's answer ends early or twice. After each fault the request must still end
 * exactly once, with all tokens, and never be dispatched to a leaving server.
 */
class RecoveryMatrixTests {

	private static final long MILLI = 1_000_000;

	private static final RequestId REQUEST = new RequestId("r");

	private static final int TOKENS = 40;

	private final ServingDecisions decisions = ServingDecisions.of(ServingParameters.defaults("a"), 1);

	private final List<VmId> leaving = new ArrayList<>();

	private long now = 1_000 * MILLI;

	/** The termination times of the leaving VMs. */
	private final Map<VmId, Long> terminationTimes = new HashMap<>();

	private Dispatch current;

	/** Whether the engine of the current attempt still sends tokens. */
	private boolean sendsTokens;

	private int emittedTokens;

	private int finalResponses;

	static Stream<Arguments> cells() {
		return Arrays.stream(Fault.values())
			.flatMap((fault) -> Arrays.stream(Stage.values()).map((stage) -> Arguments.of(fault, stage)));
	}

	@ParameterizedTest(name = "{0} at {1}")
	@MethodSource("cells")
	void shouldEndExactlyOnceWithAllTokensWhenFaultOccursTwice(Fault fault, Stage stage) {
		advanceTo(stage);
		inject(fault);
		inject(fault);
		finish();
		assertThat(this.finalResponses).isEqualTo(1);
		assertThat(this.emittedTokens).isEqualTo(TOKENS);
		assertThat(this.decisions.takeViolations()).isEmpty();
		assertThat(this.decisions.tokensInFlight()).isEmpty();
	}

	// -- stages and faults

	private void advanceTo(Stage stage) {
		addServer("vm-0");
		accept(new ServingEvent.RequestArrived(REQUEST,
				new RequestSpec("builder", "assistant", "plaster", Priority.CHAT, 20, 100, List.of(1L, 2L),
						this.now + 20_000 * MILLI, 100 * MILLI, this.now + 60_000 * MILLI)));
		addServer("vm-1");
		addServer("vm-2");
		addServer("vm-3");
		if (stage == Stage.ARRIVED) {
			return;
		}
		tick();
		if (stage == Stage.DISPATCHED) {
			return;
		}
		accept(new ServingEvent.AttemptAccepted(this.current.attempt(), 0));
		if (stage == Stage.ACCEPTED) {
			return;
		}
		emitToken();
		if (stage == Stage.FIRST_TOKEN) {
			return;
		}
		for (int i = 0; i < TOKENS / 2; i++) {
			emitToken();
		}
		if (stage == Stage.MOVING) {
			announceLeaving(900);
			tick();
			assertThat(this.current.mode()).isInstanceOf(Mode.Import.class);
		}
		if (stage == Stage.LAST_TOKEN) {
			while (this.emittedTokens < TOKENS) {
				emitToken();
			}
		}
	}

	private void inject(Fault fault) {
		if (this.current == null) {
			if (fault == Fault.SERVER_GONE) {
				accept(new ServingEvent.ServerTerminated(new VmId("vm-0")));
			}
			tick();
		}
		switch (fault) {
			case CONNECT_FAILED -> failConnection(ConnectionFailure.CONNECT_FAILED);
			case CONNECTION_LOST -> failConnection(ConnectionFailure.CONNECTION_LOST);
			case CONNECTION_LOST_WHEN_LEAVING -> {
				announceLeaving(60_000);
				failConnection(ConnectionFailure.CONNECTION_LOST);
			}
			case SILENT -> failConnection(ConnectionFailure.SILENT);
			case REFUSED_LEAVING -> refuse(Refusal.LEAVING);
			case REFUSED_FULL -> refuse(Refusal.FULL);
			case REFUSED_NOT_LOADED -> refuse(Refusal.NOT_LOADED);
			case REFUSED_UNKNOWN_STREAM -> refuse(Refusal.UNKNOWN_STREAM);
			case SERVER_GONE -> {
				this.leaving.add(this.current.server());
				this.sendsTokens = false;
				accept(new ServingEvent.ServerTerminated(this.current.server()));
			}
			case SHORT_NOTICE -> announceLeaving(100);
			case LONG_NOTICE -> announceLeaving(60_000);
		}
		tick();
	}

	private void finish() {
		for (int i = 0; i < 2_000 && this.finalResponses == 0; i++) {
			this.now += 10 * MILLI;
			tick();
			applyTerminations();
			if (!this.sendsTokens) {
				continue;
			}
			if (this.emittedTokens < TOKENS) {
				accept(new ServingEvent.AttemptAccepted(this.current.attempt(), 0));
				emitToken();
			}
			else {
				boolean requestOpen = !this.decisions.tokensInFlight().isEmpty();
				accept(new ServingEvent.AttemptFinished(this.current.attempt()));
				this.finalResponses += (requestOpen && this.decisions.tokensInFlight().isEmpty()) ? 1 : 0;
			}
		}
		tick();
	}

	// A VM sends nothing more after the end of its notice, but its connections stay open
	// for another second.
	private void applyTerminations() {
		Long terminationNanos = this.terminationTimes.get(this.current.server());
		if (terminationNanos != null && this.now >= terminationNanos) {
			this.sendsTokens = false;
		}
		if (terminationNanos != null && this.now >= terminationNanos + 1_000 * MILLI) {
			this.terminationTimes.remove(this.current.server());
			accept(new ServingEvent.ServerTerminated(this.current.server()));
		}
	}

	// -- events

	private void failConnection(ConnectionFailure breakage) {
		this.sendsTokens = false;
		accept(new ServingEvent.AttemptFailed(this.current.attempt(), breakage));
	}

	private void refuse(Refusal refusal) {
		if (refusal == Refusal.LEAVING) {
			this.leaving.add(this.current.server());
		}
		this.sendsTokens = false;
		accept(new ServingEvent.AttemptRefused(this.current.attempt(), refusal));
	}

	private void announceLeaving(long noticeMillis) {
		this.leaving.add(this.current.server());
		this.terminationTimes.put(this.current.server(), this.now + noticeMillis * MILLI);
		accept(new ServingEvent.ServerLeaving(this.current.server(), LeavingSource.RECLAIM_NOTICE,
				this.now + noticeMillis * MILLI));
	}

	// Like the traffic code, does not count tokens of an attempt that was replaced.
	private void emitToken() {
		this.now += MILLI;
		this.emittedTokens++;
		accept(new ServingEvent.AttemptProgressed(this.current.attempt(), this.emittedTokens));
	}

	private void addServer(String server) {
		accept(new ServingEvent.ServerDiscovered(new VmId(server), "assistant", "a", server + ":80"));
	}

	private void accept(ServingEvent event) {
		this.decisions.accept(event, this.now);
	}

	private void tick() {
		this.now += MILLI;
		for (ServingCommand command : this.decisions.tick(this.now)) {
			switch (command) {
				case Dispatch dispatch -> recordDispatch(dispatch);
				case ServingCommand.Cancel _ -> {
				}
				case Refuse _ -> this.finalResponses++;
			}
		}
	}

	private void recordDispatch(Dispatch dispatch) {
		if (!(dispatch.mode() instanceof Mode.Reattach)) {
			assertThat(this.leaving).doesNotContain(dispatch.server());
		}
		this.current = dispatch;
		this.sendsTokens = true;
	}

	/** The stage of the request at which the fault is injected. */
	enum Stage {

		ARRIVED, DISPATCHED, ACCEPTED, FIRST_TOKEN, MID_STREAM, MOVING, LAST_TOKEN

	}

	/** The fault, injected twice in a row. */
	enum Fault {

		CONNECT_FAILED, CONNECTION_LOST, CONNECTION_LOST_WHEN_LEAVING, SILENT, REFUSED_LEAVING, REFUSED_FULL,
		REFUSED_NOT_LOADED, REFUSED_UNKNOWN_STREAM, SERVER_GONE, SHORT_NOTICE, LONG_NOTICE

	}

}
