package org.rosemaryfront.report;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * What the log says of one call: when it came, where it went and how it ended.
 */
final class CallStory {

	/** The time of its first line, less the time that it was under way by then. */
	private double cameSecond;

	private String route = "none";

	private String organisation = "none";

	private double targetMillis = Double.POSITIVE_INFINITY;

	private final List<LogEvent> dispatches = new ArrayList<>();

	private Ending ending = Ending.OPEN;

	private String reason = "";

	/** The time to the first part of its answer; absent when it did not come in parts. */
	private OptionalDouble firstMillis = OptionalDouble.empty();

	private CallStory(double cameSecond) {
		this.cameSecond = cameSecond;
	}

	// -- factories

	/**
	 * The calls of a log.
	 * @param events the events in order of time
	 * @return the calls by name, in order of their first lines
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
				// It goes on; what comes of it is said by a later line.
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

	// Why it was refused or failed, empty otherwise.
	String reason() {
		return this.reason;
	}

	List<LogEvent> dispatches() {
		return this.dispatches;
	}

	/**
	 * How long its first token took against what was expected.
	 * @return the ratio, empty when it was not answered by the first server, or nothing
	 * was expected
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

	/** How a call ended. */
	enum Ending {

		/** Answered within its target. */
		IN_TIME,

		/** Answered later. */
		LATE,

		/** Refused, or its time was over. */
		REFUSED,

		/** Failed by its server, and by whoever had it then. */
		FAILED,

		/** The caller left before its end. */
		LEFT,

		/** The log does not say: the gateway ended, or the log was cut. */
		OPEN

	}

}
