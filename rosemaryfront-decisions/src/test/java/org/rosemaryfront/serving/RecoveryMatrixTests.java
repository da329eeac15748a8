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
import org.rosemaryfront.serving.ServingEvent.Breakage;
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
	private final Map<VmId, Long> goneAt = new HashMap<>();

	private Dispatch current;

	/** Whether the engine of the current attempt still sends tokens. */
	private boolean alive;

	private int emitted;

	private int endings;

	static Stream<Arguments> cells() {
		return Arrays.stream(Fault.values())
			.flatMap((fault) -> Arrays.stream(Step.values()).map((step) -> Arguments.of(fault, step)));
	}

	@ParameterizedTest(name = "{0} at {1}")
	@MethodSource("cells")
	void shouldEndOnceWithTheWholeAnswer(Fault fault, Step step) {
		reach(step);
		strike(fault);
		strike(fault);
		finish();
		assertThat(this.endings).isEqualTo(1);
		assertThat(this.emitted).isEqualTo(TOKENS);
		assertThat(this.decisions.takeViolations()).isEmpty();
		assertThat(this.decisions.tokensInFlight()).isEmpty();
	}

	// -- stages and faults

	private void reach(Step step) {
		seen("vm-0");
		accept(new ServingEvent.RequestArrived(REQUEST,
				new RequestSpec("builder", "assistant", "plaster", Priority.CHAT, 20, 100, List.of(1L, 2L),
						this.now + 20_000 * MILLI, 100 * MILLI, this.now + 60_000 * MILLI)));
		seen("vm-1");
		seen("vm-2");
		seen("vm-3");
		if (step == Step.ARRIVED) {
			return;
		}
		tick();
		if (step == Step.DISPATCHED) {
			return;
		}
		accept(new ServingEvent.AttemptAccepted(this.current.attempt(), 0));
		if (step == Step.ACCEPTED) {
			return;
		}
		token();
		if (step == Step.FIRST_TOKEN) {
			return;
		}
		for (int i = 0; i < TOKENS / 2; i++) {
			token();
		}
		if (step == Step.MOVING) {
			depart(900);
			tick();
			assertThat(this.current.mode()).isInstanceOf(Mode.Import.class);
		}
		if (step == Step.LAST_TOKEN) {
			while (this.emitted < TOKENS) {
				token();
			}
		}
	}

	private void strike(Fault fault) {
		if (this.current == null) {
			if (fault == Fault.SERVER_GONE) {
				accept(new ServingEvent.ServerGone(new VmId("vm-0")));
			}
			tick();
		}
		switch (fault) {
			case CONNECT_FAILED -> broken(Breakage.CONNECT_FAILED);
			case CONNECTION_LOST -> broken(Breakage.CONNECTION_LOST);
			case CONNECTION_LOST_WHEN_LEAVING -> {
				depart(60_000);
				broken(Breakage.CONNECTION_LOST);
			}
			case SILENT -> broken(Breakage.SILENT);
			case REFUSED_LEAVING -> refused(Refusal.LEAVING);
			case REFUSED_FULL -> refused(Refusal.FULL);
			case REFUSED_NOT_LOADED -> refused(Refusal.NOT_LOADED);
			case REFUSED_UNKNOWN_STREAM -> refused(Refusal.UNKNOWN_STREAM);
			case SERVER_GONE -> {
				this.leaving.add(this.current.server());
				this.alive = false;
				accept(new ServingEvent.ServerGone(this.current.server()));
			}
			case SHORT_NOTICE -> depart(100);
			case LONG_NOTICE -> depart(60_000);
		}
		tick();
	}

	private void finish() {
		for (int i = 0; i < 2_000 && this.endings == 0; i++) {
			this.now += 10 * MILLI;
			tick();
			vanish();
			if (!this.alive) {
				continue;
			}
			if (this.emitted < TOKENS) {
				accept(new ServingEvent.AttemptAccepted(this.current.attempt(), 0));
				token();
			}
			else {
				boolean open = !this.decisions.tokensInFlight().isEmpty();
				accept(new ServingEvent.AttemptFinished(this.current.attempt()));
				this.endings += (open && this.decisions.tokensInFlight().isEmpty()) ? 1 : 0;
			}
		}
		tick();
	}

	// A VM sends nothing more after the end of its notice, but its connections stay open
	// for another second.
	private void vanish() {
		Long end = this.goneAt.get(this.current.server());
		if (end != null && this.now >= end) {
			this.alive = false;
		}
		if (end != null && this.now >= end + 1_000 * MILLI) {
			this.goneAt.remove(this.current.server());
			accept(new ServingEvent.ServerGone(this.current.server()));
		}
	}

	// -- events

	private void broken(Breakage breakage) {
		this.alive = false;
		accept(new ServingEvent.AttemptBroken(this.current.attempt(), breakage));
	}

	private void refused(Refusal refusal) {
		if (refusal == Refusal.LEAVING) {
			this.leaving.add(this.current.server());
		}
		this.alive = false;
		accept(new ServingEvent.AttemptRefused(this.current.attempt(), refusal));
	}

	private void depart(long noticeMillis) {
		this.leaving.add(this.current.server());
		this.goneAt.put(this.current.server(), this.now + noticeMillis * MILLI);
		accept(new ServingEvent.ServerLeaving(this.current.server(), LeavingSource.RECLAIM_NOTICE,
				this.now + noticeMillis * MILLI));
	}

	// Like the traffic code, does not count tokens of an attempt that was replaced.
	private void token() {
		this.now += MILLI;
		this.emitted++;
		accept(new ServingEvent.AttemptProgressed(this.current.attempt(), this.emitted));
	}

	private void seen(String server) {
		accept(new ServingEvent.ServerSeen(new VmId(server), "assistant", "a", server + ":80"));
	}

	private void accept(ServingEvent event) {
		this.decisions.accept(event, this.now);
	}

	private void tick() {
		this.now += MILLI;
		for (ServingCommand command : this.decisions.tick(this.now)) {
			switch (command) {
				case Dispatch dispatch -> dispatched(dispatch);
				case ServingCommand.Cancel _ -> {
				}
				case Refuse _ -> this.endings++;
			}
		}
	}

	private void dispatched(Dispatch dispatch) {
		if (!(dispatch.mode() instanceof Mode.Reattach)) {
			assertThat(this.leaving).doesNotContain(dispatch.server());
		}
		this.current = dispatch;
		this.alive = true;
	}

	/** The stage of the request at which the fault is injected. */
	enum Step {

		ARRIVED, DISPATCHED, ACCEPTED, FIRST_TOKEN, MID_STREAM, MOVING, LAST_TOKEN

	}

	/** The fault, injected twice in a row. */
	enum Fault {

		CONNECT_FAILED, CONNECTION_LOST, CONNECTION_LOST_WHEN_LEAVING, SILENT, REFUSED_LEAVING, REFUSED_FULL,
		REFUSED_NOT_LOADED, REFUSED_UNKNOWN_STREAM, SERVER_GONE, SHORT_NOTICE, LONG_NOTICE

	}

}
