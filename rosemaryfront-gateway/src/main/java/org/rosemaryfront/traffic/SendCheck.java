package org.rosemaryfront.traffic;

import java.util.Optional;

import org.rosemaryfront.dispatch.BackendServer;

/**
 * What is checked immediately before the first byte of a call is sent to a server,
 * whatever led there. Confined to the traffic thread.
 *
 * @param call the call
 * @param response its response
 * @param policy says what is quarantined and which servers accept calls
 */
record SendCheck(Call call, CallResponse response, CallPolicy policy) {

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
		return Optional.empty();
	}

	private boolean accepts(BackendServer to) {
		return continues() || this.policy.acceptsCalls(to);
	}

	private boolean continues() {
		return this.call.move().copy().isPresent();
	}

}
