package org.rosemaryfront.report;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * The history of one call as recorded in the log: its arrival, its dispatches to servers
 * and its ending.
 */
final class CallHistory {

	/**
	 * The arrival time in seconds: the earliest, over its log lines, of the line's time
	 * minus the elapsed time that the line reports.
	 */
	private double arrivalSecond;

	private String route = "none";

	private String organisation = "none";

	private double targetMillis = Double.POSITIVE_INFINITY;

	private double gapTargetMillis = Double.POSITIVE_INFINITY;

	private final List<LogEvent> dispatches = new ArrayList<>();

	/** Whether its stream went on at another server. */
	private boolean resumed;

	private Ending ending = Ending.OPEN;

	private String reason = "";

	/** Why the call failed, the status if the log has no reason. */
	private String failure = "";

	/** Why the call was late; empty if it was not. */
	private Optional<LatePart> latePart = Optional.empty();

	/** The time to the first chunk of the response; empty if it was not streamed. */
	private OptionalDouble firstTokenMillis = OptionalDouble.empty();

	private CallHistory(double arrivalSecond) {
		this.arrivalSecond = arrivalSecond;
	}

	// -- factories

	/**
	 * Collects the calls of a log.
	 * @param events the events in chronological order
	 * @return the calls by request name, in order of their first log lines
	 */
	static Map<String, CallHistory> of(List<LogEvent> events) {
		Map<String, CallHistory> calls = new LinkedHashMap<>();
		for (LogEvent event : events) {
			String request = event.text("request");
			if (!request.isEmpty() && isAboutCall(event.name())) {
				calls.computeIfAbsent(request, (_) -> new CallHistory(event.second())).apply(event);
			}
		}
		return calls;
	}

	private static boolean isAboutCall(String event) {
		return event.startsWith("CALL") || event.equals("ANSWER_BROKEN") || event.equals("STREAM_RESUMED");
	}

	private void apply(LogEvent event) {
		if (!event.text("route").isEmpty()) {
			this.route = event.text("route");
		}
		if (!event.text("organisation").isEmpty()) {
			this.organisation = event.text("organisation");
		}
		this.targetMillis = event.number("targetMillis", this.targetMillis);
		this.gapTargetMillis = event.number("gapTargetMillis", this.gapTargetMillis);
		this.arrivalSecond = Math.min(this.arrivalSecond, event.second() - event.number("millis", 0) / 1_000);
		switch (event.name()) {
			case "CALL_DISPATCHED" -> this.dispatches.add(event);
			case "CALL_ANSWERED" -> applyAnswer(event);
			case "CALL_REFUSED" -> {
				this.ending = Ending.REFUSED;
				this.reason = event.text("reason");
			}
			case "CALLER_LEFT" -> this.ending = Ending.LEFT;
			case "ANSWER_BROKEN" -> {
				this.ending = Ending.BROKEN;
				this.reason = event.text("reason");
			}
			case "STREAM_RESUMED" -> this.resumed = true;
			default -> {
				// The call is still in progress; a later line records its ending.
			}
		}
	}

	private void applyAnswer(LogEvent event) {
		double millis = event.number("millis", 0);
		double first = event.number("firstMillis", -1);
		this.firstTokenMillis = (first >= 0) ? OptionalDouble.of(first) : OptionalDouble.empty();
		boolean success = event.number("status", 0) < 300;
		this.reason = event.text("reason");
		if (!success) {
			this.ending = Ending.FAILED;
			this.failure = this.reason.isEmpty() ? event.text("status") : this.reason;
		}
		else if (this.firstTokenMillis.orElse(millis) > this.targetMillis) {
			this.ending = Ending.LATE;
			this.latePart = Optional.of(LatePart.ofFirstToken(times(event)));
		}
		else if (event.number("longestPauseMillis", 0) > this.gapTargetMillis) {
			this.ending = Ending.LATE;
			this.latePart = Optional.of(this.resumed ? LatePart.MOVED : LatePart.PAUSE);
		}
		else {
			this.ending = Ending.IN_TIME;
		}
	}

	private LatePart.Times times(LogEvent answer) {
		double millis = this.firstTokenMillis.orElse(answer.number("millis", 0));
		if (this.dispatches.isEmpty()) {
			return new LatePart.Times(millis, 0, 0, millis, 0);
		}
		LogEvent first = this.dispatches.getFirst();
		LogEvent last = this.dispatches.getLast();
		return new LatePart.Times((first.second() - this.arrivalSecond) * 1_000,
				(last.second() - first.second()) * 1_000, answer.number("sendMillis", 0), millis,
				last.number("expectedMillis", 0));
	}

	// -- queries

	double arrivalSecond() {
		return this.arrivalSecond;
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

	/**
	 * Returns what became of the call, with the reason.
	 * @return the outcome
	 */
	CallOutcome outcome() {
		return switch (this.ending) {
			case IN_TIME -> new CallOutcome.InTime();
			case LATE -> new CallOutcome.Late(this.latePart.orElseThrow());
			case REFUSED -> new CallOutcome.Refused(this.reason);
			case BROKEN -> new CallOutcome.BrokenOff(this.reason);
			case FAILED -> new CallOutcome.Failed(this.failure);
			case LEFT -> new CallOutcome.CallerLeft();
			case OPEN -> new CallOutcome.Unfinished();
		};
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
	OptionalDouble firstTokenRatio() {
		if (this.dispatches.size() != 1 || this.firstTokenMillis.isEmpty()) {
			return OptionalDouble.empty();
		}
		LogEvent dispatch = this.dispatches.getFirst();
		double expectedMillis = dispatch.number("expectedMillis", 0);
		double waitedMillis = (dispatch.second() - this.arrivalSecond) * 1_000;
		return (expectedMillis > 0)
				? OptionalDouble.of(Math.max(1, this.firstTokenMillis.getAsDouble() - waitedMillis) / expectedMillis)
				: OptionalDouble.empty();
	}

	/** The ways in which a call can end. */
	enum Ending {

		/** Answered within its target. */
		IN_TIME,

		/** Answered after its target, or with a pause beyond the one of its route. */
		LATE,

		/** Refused, or its deadline passed. */
		REFUSED,

		/** Failed on its server and on any server that it was sent to afterwards. */
		FAILED,

		/** The caller disconnected before the call ended. */
		LEFT,

		/** No ending in the log: the gateway terminated, or the log was truncated. */
		OPEN,

		/** Its response was aborted after it had started. */
		BROKEN

	}

}
