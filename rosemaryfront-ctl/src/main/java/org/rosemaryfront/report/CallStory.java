package org.rosemaryfront.report;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * The history of one call as recorded in the log: its arrival, its dispatches to servers
 * and its ending.
 */
final class CallStory {

	/**
	 * The arrival time in seconds: the earliest, over its log lines, of the line's time
	 * minus the elapsed time that the line reports.
	 */
	private double cameSecond;

	private String route = "none";

	private String organisation = "none";

	private double targetMillis = Double.POSITIVE_INFINITY;

	private final List<LogEvent> dispatches = new ArrayList<>();

	private Ending ending = Ending.OPEN;

	private String reason = "";

	/** The time to the first chunk of the response; empty if it was not streamed. */
	private OptionalDouble firstMillis = OptionalDouble.empty();

	private CallStory(double cameSecond) {
		this.cameSecond = cameSecond;
	}

	// -- factories

	/**
	 * Collects the calls of a log.
	 * @param events the events in chronological order
	 * @return the calls by request name, in order of their first log lines
	 */
	static Map<String, CallStory> of(List<LogEvent> events) {
		Map<String, CallStory> calls = new LinkedHashMap<>();
		for (LogEvent event : events) {
			String request = event.text("request");
			if (!request.isEmpty() && event.name().startsWith("CALL")) {
				calls.computeIfAbsent(request, (_) -> new CallStory(event.second())).take(event);
			}
		}
		return calls;
	}

	private void take(LogEvent event) {
		if (!event.text("route").isEmpty()) {
			this.route = event.text("route");
		}
		if (!event.text("organisation").isEmpty()) {
			this.organisation = event.text("organisation");
		}
		this.targetMillis = event.number("targetMillis", this.targetMillis);
		this.cameSecond = Math.min(this.cameSecond, event.second() - event.number("millis", 0) / 1_000);
		switch (event.name()) {
			case "CALL_DISPATCHED" -> this.dispatches.add(event);
			case "CALL_ANSWERED" -> answered(event);
			case "CALL_REFUSED" -> {
				this.ending = Ending.REFUSED;
				this.reason = event.text("reason");
			}
			case "CALLER_LEFT" -> this.ending = Ending.LEFT;
			default -> {
				// The call is still in progress; a later line records its ending.
			}
		}
	}

	private void answered(LogEvent event) {
		double millis = event.number("millis", 0);
		double first = event.number("firstMillis", -1);
		this.firstMillis = (first >= 0) ? OptionalDouble.of(first) : OptionalDouble.empty();
		boolean good = event.number("status", 0) < 300;
		this.reason = event.text("reason");
		if (!good) {
			this.ending = Ending.FAILED;
		}
		else {
			this.ending = (this.firstMillis.orElse(millis) <= this.targetMillis) ? Ending.IN_TIME : Ending.LATE;
		}
	}

	// -- queries

	double cameSecond() {
		return this.cameSecond;
	}

	String route() {
		return this.route;
	}

	String organisation() {
		return this.organisation;
	}

	Ending ending() {
		return this.ending;
	}

	// The reason for a refusal or failure, otherwise empty.
	String reason() {
		return this.reason;
	}

	List<LogEvent> dispatches() {
		return this.dispatches;
	}

	/**
	 * Returns the ratio of the time to first token, measured from the dispatch, to the
	 * expected time.
	 * @return the ratio, empty when the call was not dispatched exactly once, its
	 * response was not streamed, or the log has no expected time
	 */
	OptionalDouble firstAgainstExpected() {
		if (this.dispatches.size() != 1 || this.firstMillis.isEmpty()) {
			return OptionalDouble.empty();
		}
		LogEvent sent = this.dispatches.getFirst();
		double expected = sent.number("expectedMillis", 0);
		double waited = (sent.second() - this.cameSecond) * 1_000;
		return (expected > 0) ? OptionalDouble.of(Math.max(1, this.firstMillis.getAsDouble() - waited) / expected)
				: OptionalDouble.empty();
	}

	/** The ways in which a call can end. */
	enum Ending {

		/** Answered within its target. */
		IN_TIME,

		/** Answered after its target. */
		LATE,

		/** Refused, or its deadline passed. */
		REFUSED,

		/** Failed on its server and on any server that it was sent to afterwards. */
		FAILED,

		/** The caller disconnected before the call ended. */
		LEFT,

		/** No ending in the log: the gateway terminated, or the log was truncated. */
		OPEN

	}

}
