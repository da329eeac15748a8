package org.rosemaryfront.proof;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.rosemaryfront.load.LoadReport;
import org.rosemaryfront.load.LoadReport.Failure;

/** Holds what a soak run saw against the promises. */
final class SoakResult {

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	// Final answers that the protocol allows to an accepted request; all others are
	// broken promises. The deadline is the organisation's own.
	private static final Set<String> ALLOWED_ENDS = Set.of("deadline-exceeded");

	private final LoadReport load;

	private final SoakLogs logs;

	private final Set<String> killed;

	private final List<Failure> lost = new ArrayList<>();

	private final List<Failure> lostByKill = new ArrayList<>();

	private final Map<String, Integer> ended = new TreeMap<>();

	private final List<String> promises = new ArrayList<>();

	private SoakResult(LoadReport load, SoakLogs logs, Set<String> killed) {
		this.load = load;
		this.logs = logs;
		this.killed = killed;
	}

	// -- factories

	static SoakResult of(LoadReport load, SoakLogs logs, Set<String> killed) {
		SoakResult result = new SoakResult(load, logs, killed);
		load.failures().forEach(result::sort);
		result.judge();
		return result;
	}

	// -- additions

	SoakResult with(String promise, List<String> broken) {
		broken.forEach((each) -> this.promises.add(promise + ": " + each));
		return this;
	}

	// -- queries

	boolean broken() {
		return !this.promises.isEmpty();
	}

	ObjectNode report() {
		ObjectNode report = MAPPER.createObjectNode()
			.put("sent", this.load.sent())
			.put("accepted", this.load.accepted())
			.put("whole", this.load.whole())
			.put("lost", this.lost.size())
			.put("lostWithKilledEntry", this.lostByKill.size())
			.put("torn", this.load.torn())
			.put("foreign", this.load.foreign())
			.put("unanswered", this.load.unanswered())
			.put("unreachable", this.load.unreachable())
			.put("notSent", this.load.notSent())
			.put("resumed", this.load.resumed())
			.put("redirected", this.load.redirected());
		report.set("endedByProblem", MAPPER.valueToTree(this.ended));
		report.set("refused", MAPPER.valueToTree(this.load.refused()));
		report.set("bookings", MAPPER.valueToTree(this.load.bookings()));
		ObjectNode latency = report.putObject("latencyMillis");
		latency.set("firstToken", MAPPER.valueToTree(this.load.firstToken()));
		latency.set("betweenTokens", MAPPER.valueToTree(this.load.betweenTokens()));
		latency.set("wholeAnswer", MAPPER.valueToTree(this.load.wholeAnswer()));
		latency.set("booking", MAPPER.valueToTree(this.load.booking()));
		report.set("invariantEvents", MAPPER.valueToTree(this.logs.brokenInvariants()));
		report.set("errorEvents", MAPPER.valueToTree(this.logs.errors()));
		report.set("broken", MAPPER.valueToTree(this.promises));
		return report;
	}

	private void sort(Failure failure) {
		Optional<String> holder = this.logs.holder(failure.request());
		if (failure.ended().equals("TORN") || failure.ended().equals("FOREIGN")) {
			this.promises.add("whole answers: " + failure);
		}
		else if (failure.failed()) {
			this.ended.merge(failure.ended(), 1, Integer::sum);
			if (!ALLOWED_ENDS.contains(failure.ended())) {
				this.promises.add("accepted requests: " + failure + " held by " + holder.orElse("nobody"));
			}
		}
		else if (holder.filter(this.killed::contains).isPresent()) {
			this.lostByKill.add(failure);
		}
		else {
			this.lost.add(failure);
			this.promises.add("accepted requests: " + failure + " held by " + holder.orElse("nobody"));
		}
	}

	private void judge() {
		LoadReport.Bookings bookings = this.load.bookings();
		count("bookings that ran twice", bookings.doubled());
		count("bookings that ran after not-run", bookings.falseNotRun());
		count("bookings answered as done that never ran", bookings.phantom());
		if (!bookings.compared()) {
			this.promises.add("bookings were not compared");
		}
		if (!bookings.wrong().isEmpty()) {
			this.promises.add("wrong bookings: " + bookings.wrong());
		}
		long sorted = this.load.lost() + this.load.torn() + this.load.foreign();
		if (sorted != this.load.failures().size()) {
			this.promises.add(sorted + " answers are not whole, only " + this.load.failures().size() + " are known");
		}
		this.logs.brokenInvariants().forEach((event, times) -> this.promises.add("invariant " + event + ": " + times));
	}

	private void count(String what, long number) {
		if (number > 0) {
			this.promises.add(what + ": " + number);
		}
	}

}
