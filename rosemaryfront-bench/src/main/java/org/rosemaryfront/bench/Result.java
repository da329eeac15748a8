package org.rosemaryfront.bench;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.HdrHistogram.Histogram;

import org.rosemaryfront.model.Resource.Priority;
import org.rosemaryfront.standin.engine.EngineCounters;

/** The figures of a run. */
final class Result {

	private static final double NANOS_PER_HOUR = 3_600e9;

	private static final int DIGITS = 3;

	private static final int REFUSALS_CHECKED = 25;

	private final Run run;

	private final Collection<Answer> answers;

	private final EngineCounters counters;

	private Result(Run run) {
		this.run = run;
		this.answers = run.answers.values();
		this.counters = run.fleet.all()
			.stream()
			.map((runner) -> runner.engine.counters())
			.reduce(EngineCounters::plus)
			.orElseThrow();
	}

	static Result of(Run run) {
		return new Result(run);
	}

	// -- figures

	long within() {
		return this.answers.stream().filter(Answer::withinTarget).count();
	}

	double share() {
		return (double) within() / this.answers.size();
	}

	double share(Priority priority) {
		List<Answer> chosen = this.answers.stream()
			.filter((answer) -> answer.item.target().priority() == priority)
			.toList();
		return share(chosen);
	}

	// The share within target of all organisations but one.
	double shareWithout(String organisation) {
		return share(
				this.answers.stream().filter((answer) -> !answer.item.organisation().equals(organisation)).toList());
	}

	private static double share(List<Answer> answers) {
		return answers.isEmpty() ? 1 : (double) answers.stream().filter(Answer::withinTarget).count() / answers.size();
	}

	double costPerThousand() {
		double cost = 0;
		for (Runner runner : this.run.fleet.all()) {
			long end = Math.min(runner.goneAtNanos, this.run.plan.durationNanos());
			cost += runner.pricePerHour * Math.max(0, end - runner.bootedNanos) / NANOS_PER_HOUR;
		}
		return (within() > 0) ? cost * 1_000 / within() : Double.POSITIVE_INFINITY;
	}

	long recomputed() {
		return this.counters.recomputedInFleet();
	}

	private Histogram firstTokens(Priority priority) {
		Histogram first = new Histogram(DIGITS);
		this.answers.stream()
			.filter((answer) -> answer.tokens > 0 && answer.item.target().priority() == priority)
			.forEach((answer) -> first
				.recordValue((answer.firstTokenNanos - answer.item.atNanos()) / VirtualTime.MICRO));
		return first;
	}

	private static Map<String, Double> percentiles(Histogram micros) {
		return new TreeMap<>(Map.of("p50", micros.getValueAtPercentile(50) / 1e3, "p95",
				micros.getValueAtPercentile(95) / 1e3, "p99", micros.getValueAtPercentile(99) / 1e3));
	}

	List<String> violations() {
		return this.run.journal.violations();
	}

	String digest() {
		return this.run.journal.digest();
	}

	// -- the line

	Map<String, Object> line() {
		Map<String, Object> line = new LinkedHashMap<>();
		line.put("requests", this.answers.size());
		line.put("finished", this.answers.stream().filter(Answer::finished).count());
		line.put("within", within());
		line.put("withinShare", rounded(share()));
		line.put("chatWithinShare", rounded(share(Priority.CHAT)));
		line.put("summaryWithinShare", rounded(share(Priority.SUMMARY)));
		line.put("withinShareByOrganisation", byOrganisation());
		for (Priority priority : Priority.values()) {
			String word = priority.name().toLowerCase(Locale.ROOT);
			line.put(word + "FirstTokenMillis", percentiles(firstTokens(priority)));
			line.put(word + "BetweenTokensMillis", percentiles(this.run.journal.between(priority)));
		}
		line.put("costPerThousandWithin", rounded(costPerThousand()));
		line.put("tokensGenerated", this.counters.generated());
		line.put("tokensPrefilled", this.counters.prefilled());
		line.put("tokensCached", this.counters.cached());
		line.put("tokensImported", this.counters.imported());
		line.put("tokensRecomputed", recomputed());
		line.put("tokensWasted", wasted());
		line.put("refusals", refused().size());
		line.put("refusalsByCode", byCode());
		line.put("newWorkAfterNoticeMillis", this.run.journal.latestToLeavingNanos() / VirtualTime.MILLI);
		line.put("violations", violations().size());
		line.put("digest", digest());
		return line;
	}

	// Tokens that reached a caller whose answer was never whole.
	private long wasted() {
		return this.answers.stream().filter((answer) -> !answer.finished()).mapToLong((answer) -> answer.tokens).sum();
	}

	private List<Answer> refused() {
		return this.run.journal.refused();
	}

	// Accepts a sample of the refused requests in the same run: those that miss their
	// target then were refused rightly.
	void checkRefusals(Map<String, Object> line) {
		int every = Math.max(1, refused().size() / REFUSALS_CHECKED);
		Set<String> sample = new LinkedHashSet<>();
		for (int i = every / 2; i < refused().size(); i += every) {
			sample.add(refused().get(i).item.id().value());
		}
		Run again = sample.isEmpty() ? this.run : this.run.again(sample);
		line.put("refusalsChecked", sample.size());
		line.put("refusalsCorrect", sample.stream().filter((id) -> !again.answers.get(id).withinTarget()).count());
	}

	private Map<String, Long> byCode() {
		return refused().stream()
			.collect(Collectors.groupingBy((answer) -> answer.refusal.orElseThrow().code().code(), TreeMap::new,
					Collectors.counting()));
	}

	private Map<String, Double> byOrganisation() {
		return this.answers.stream()
			.collect(Collectors.groupingBy((answer) -> answer.item.organisation(), TreeMap::new,
					Collectors.collectingAndThen(Collectors.toList(), (list) -> rounded(share(list)))));
	}

	static double rounded(double value) {
		return Double.isFinite(value) ? Math.round(value * 1e4) / 1e4 : value;
	}

}
