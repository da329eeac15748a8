package org.rosemaryfront.traffic;

import java.util.Optional;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.dispatch.NewRun;
import org.rosemaryfront.dispatch.NewRun.Obstacle;

/**
 * What is checked immediately before the first byte of a call is sent to a server,
 * whatever led there. Confined to the traffic thread.
 *
 * @param call the call
 * @param response its response
 * @param mayHaveRun whether a server may have run it in an earlier attempt
 * @param policy says what is quarantined and which servers accept calls
 */
record SendCheck(Call call, CallResponse response, boolean mayHaveRun, CallPolicy policy) {

	/**
	 * Returns why the call must not be sent.
	 * @param to the server
	 * @return the reason for the log, empty if the call may be sent
	 */
	Optional<String> obstacle(BackendServer to) {
		if (this.policy.isQuarantined(this.call)) {
			return Optional.of("the request is quarantined");
		}
		if (!accepts(to)) {
			return Optional.of("the server wants no calls");
		}
		if (!this.response.canGoOnAt(to.version())) {
			return Optional.of("the stream began at another version");
		}
		if (continues()) {
			return Optional.empty();
		}
		if (mayOutlastProcess()) {
			return Optional.of("the gateway is stopping");
		}
		return newRun().obstacle().map(SendCheck::text);
	}

	// Its caller would not learn whether it has run.
	private boolean mayOutlastProcess() {
		return !this.call.route().retryable() && !this.policy.acceptsNewCall(Optional.of(this.call.route()));
	}

	private boolean accepts(BackendServer to) {
		return continues() ? this.call.move().isAccepted() : this.policy.acceptsCalls(to);
	}

	private boolean continues() {
		return this.call.move().copy().isPresent();
	}

	private NewRun newRun() {
		return new NewRun(this.mayHaveRun, this.call.move().wasStopped(), this.call.route().retryable(),
				this.call.canResend());
	}

	private static String text(Obstacle obstacle) {
		return switch (obstacle) {
			case MAY_HAVE_RUN -> "the request may have run";
			case NOT_WHOLE -> "the request cannot be sent again";
		};
	}

}
