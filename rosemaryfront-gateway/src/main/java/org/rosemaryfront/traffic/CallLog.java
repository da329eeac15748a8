package org.rosemaryfront.traffic;

import java.util.concurrent.TimeUnit;

import org.rosemaryfront.crashes.RequestDigest;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.ports.CallMetadata.Prompt;
import org.rosemaryfront.routes.Organisation;

/** Logs the ends of calls that got no response of a server. */
final class CallLog {

	private CallLog() {
	}

	/**
	 * Logs that a call is refused, or that its deadline passed before its response
	 * started.
	 * @param call the call
	 * @param status the HTTP status
	 * @param refusal the reason
	 * @param retryAfterMillis the Retry-After, in milliseconds; 0 for none
	 * @param attempt the attempt that was under way
	 */
	static void refused(Call call, int status, Refusal refusal, long retryAfterMillis, Attempt attempt) {
		EventLog.info(TrafficEvents.CALL_REFUSED, "request", call.id(), "digest",
				call.digest().map(RequestDigest::toString).orElse("none"), "route", call.route().name(), "organisation",
				call.organisation().map(Organisation::name).orElse("none"), "promptTokens",
				call.metadata().prompt().map(Prompt::promptTokens).orElse(0), "parts",
				call.metadata().prompt().map(Prompt::segmentList).orElse("none"), "status", status, "reason",
				refusal.cause(), "detail", refusal.detail(), "retryAfterMillis", retryAfterMillis, "state",
				attempt.state(), "server", attempt.server(), "carrier", attempt.carrier(), "serverSilentMillis",
				attempt.serverSilentMillis(), "targetMillis", call.route().targetMillis(), "millis", ageMillis(call));
	}

	/**
	 * Logs that a call which may have run ends without a response of a server.
	 * @param call the call
	 * @param status the HTTP status
	 * @param refusal why it is not sent again
	 */
	static void givenUp(Call call, int status, Refusal refusal) {
		EventLog.info(TrafficEvents.CALL_ANSWERED, "request", call.id(), "route", call.route().name(), "status", status,
				"reason", refusal.cause(), "detail", refusal.detail(), "sends", call.sendCount(), "millis",
				ageMillis(call));
	}

	static long ageMillis(Call call) {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - call.receivedNanos());
	}

	/**
	 * The attempt of a call at a server.
	 *
	 * @param state the state of the call
	 * @param server the server, {@code none} if none was chosen
	 * @param carrier the gateway that carries the call, {@code none} if none does
	 * @param serverSilentMillis the time since anything was received from the server
	 */
	record Attempt(String state, String server, String carrier, String serverSilentMillis) {
	}

}
