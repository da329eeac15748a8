package org.rosemaryfront.report;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.TreeMap;
import java.util.stream.Stream;

import org.rosemaryfront.report.CallHistory.Ending;

/**
 * A report on how the calls of a log ended, when and for which reason.
 *
 * @param folder the events read from the log
 * @param calls the calls by request name
 */
record Report(LogFolder folder, Map<String, CallHistory> calls) {

	/** The logged quota at the time of a dispatch: used/allowed. */
	private static final String QUOTA = "\\d+/\\d+";

	/**
	 * Windows with fewer calls are omitted, since a single call would make them best or
	 * worst.
	 */
	private static final int MIN_WINDOW_CALLS = 10;

	private static final int WORST_WINDOWS = 8;

	/** The maximum number of reasons in a row; the most frequent ones are kept. */
	private static final int MAX_REASONS = 6;

	/**
	 * The maximum number of rows in a table, since an operator may have hundreds of
	 * routes; those with the most calls are kept.
	 */
	private static final int MAX_ROWS = 12;

	/** The maximum number of lines in a plot; with more it is unreadable. */
	private static final int MAX_LINES = 14;

	/**
	 * Creates a report.
	 * @param folder the events read from the log
	 * @return the report
	 */
	static Report of(LogFolder folder) {
		return new Report(folder, CallHistory.of(folder.events()));
	}

	// -- plots

	/**
	 * Returns the plots of the page.
	 * @return the plots by title, in display order
	 */
	Map<String, Series> plots() {
		Map<String, Series> plots = new LinkedHashMap<>();
		plots.put("Calls a second, by how they ended", endings());
		plots.put("Refused and failed calls a second, by reason", reasons());
		plots.put("Calls at a server when one was sent there", dispatched("load"));
		plots.put("Prompt tokens to read for a call", dispatched("unreadTokens"));
		plots.put("First token: taken against expected, worst of a second", firstTokens());
		plots.put("Servers present, by zone and sort", serversPresent());
		plots.put("Servers ordered, by zone and sort; refused orders", serversOrdered());
		plots.put("Quota used of what is allowed, by organisation", quotas());
		plots.values().removeIf(Series::isEmpty);
		plots.values().forEach((series) -> series.keepLargest(MAX_LINES));
		return plots;
	}

	private Series endings() {
		Series series = Series.counts();
		this.calls.values().forEach((call) -> series.count(label(call.ending()), call.arrivalSecond()));
		return series;
	}

	private Series reasons() {
		Series series = Series.counts();
		this.calls.values()
			.stream()
			.filter((call) -> !call.reason().isEmpty())
			.forEach((call) -> series.count(call.reason(), call.arrivalSecond()));
		return series;
	}

	private Series dispatched(String field) {
		Series series = Series.measured();
		eventsNamed("CALL_DISPATCHED").forEach((event) -> event.number(field)
			.ifPresent((value) -> series.put(event.text("server"), event.second(), value, Math::max)));
		return series;
	}

	private Series firstTokens() {
		Series series = Series.measured();
		this.calls.values()
			.forEach((call) -> call.firstTokenRatio()
				.ifPresent((ratio) -> series.put("ratio", call.arrivalSecond(), ratio, Math::max)));
		return series;
	}

	// All gateways log the same servers, so only the gateway with the most such events is
	// used.
	private Series serversPresent() {
		Series series = Series.measured();
		Map<String, String> present = new TreeMap<>();
		Map<String, Integer> counts = new TreeMap<>();
		String gateway = gatewayWithMost("SERVER_REGISTERED");
		this.folder.events().stream().filter((event) -> event.gateway().equals(gateway)).forEach((event) -> {
			String server = event.text("server");
			if (event.name().equals("SERVER_REGISTERED")) {
				adjust(counts, present.remove(server), -1);
				if (event.text("leaving").equals("false")) {
					present.put(server, category(event));
					adjust(counts, category(event), 1);
				}
			}
			else if (event.name().equals("SERVER_DROPPED")) {
				adjust(counts, present.remove(server), -1);
			}
			else {
				return;
			}
			counts.forEach((category, count) -> series.put(category, event.second(), count, (_, last) -> last));
		});
		return series;
	}

	private static void adjust(Map<String, Integer> counts, String category, int delta) {
		if (category != null) {
			counts.merge(category, delta, Integer::sum);
		}
	}

	private Series serversOrdered() {
		Series series = Series.measured();
		eventsNamed("SIZE_ORDERED").forEach(
				(event) -> series.put(category(event), event.second(), event.number("servers", 0), (_, last) -> last));
		eventsNamed("SIZE_NOT_ORDERED").forEach((event) -> series.count("refused", event.second()));
		return series;
	}

	private static String category(LogEvent event) {
		boolean reclaimable = event.text("reclaimable").equals("true");
		return event.text("service") + ' ' + event.text("zone") + (reclaimable ? " reclaimable" : " on demand");
	}

	private Series quotas() {
		Series series = Series.measured();
		eventsNamed("CALL_DISPATCHED").filter((event) -> event.text("quota").matches(QUOTA)).forEach((event) -> {
			String[] parts = event.text("quota").split("/");
			double allowed = Math.max(1, Double.parseDouble(parts[1]));
			series.put(event.text("organisation"), event.second(), Double.parseDouble(parts[0]) / allowed, Math::max);
		});
		return series;
	}

	private String gatewayWithMost(String event) {
		Map<String, Integer> counts = new TreeMap<>();
		eventsNamed(event).forEach((match) -> counts.merge(match.gateway(), 1, Integer::sum));
		return counts.entrySet().stream().max(Map.Entry.comparingByValue()).map(Map.Entry::getKey).orElse("");
	}

	private Stream<LogEvent> eventsNamed(String name) {
		return this.folder.events().stream().filter((event) -> event.name().equals(name));
	}

	// -- text

	/**
	 * Returns the report as text.
	 * @return the lines
	 */
	List<String> summary() {
		List<String> lines = new ArrayList<>();
		lines.add(this.folder.events().size() + " events of " + gateways() + " gateways; " + this.folder.damaged()
				+ " damaged and " + this.folder.foreign() + " foreign lines passed over");
		lines.add("");
		lines.addAll(table("route", CallTally.by(this.calls.values(), CallHistory::route)));
		lines.add("");
		lines.addAll(table("organisation", CallTally.by(this.calls.values(), CallHistory::organisation)));
		lines.add("");
		lines.addAll(worstWindows());
		lines.add("");
		lines.add("first token, taken / expected: " + firstTokenLine());
		lines.add(segmentReuseLine());
		return lines;
	}

	private long gateways() {
		return this.folder.events().stream().map(LogEvent::gateway).distinct().count();
	}

	private List<String> table(String title, Map<String, CallTally> tallies) {
		List<String> lines = new ArrayList<>();
		lines.add(String.format("%-20s %7s %7s %7s %7s %7s %7s %7s %7s  %s", title, "calls", "in time", "late",
				"refused", "failed", "broken", "left", "open", "refused, failed and broken, by reason"));
		tallies.entrySet()
			.stream()
			.sorted(Comparator.comparingInt((entry) -> -entry.getValue().total()))
			.limit(MAX_ROWS)
			.forEach((entry) -> lines.add(row(entry.getKey(), entry.getValue())));
		lines.add(row("all " + tallies.size(), CallTally.of(this.calls.values())));
		return lines;
	}

	private static String row(String name, CallTally tally) {
		StringBuilder reasons = new StringBuilder();
		tally.reasons()
			.entrySet()
			.stream()
			.sorted(Map.Entry.<String, Integer>comparingByValue().reversed())
			.limit(MAX_REASONS)
			.forEach((reason) -> reasons.append(' ').append(reason.getKey()).append(' ').append(reason.getValue()));
		return String.format("%-20s %7d %7d %7d %7d %7d %7d %7d %7d %s", name, tally.total(),
				tally.count(Ending.IN_TIME), tally.count(Ending.LATE), tally.count(Ending.REFUSED),
				tally.count(Ending.FAILED), tally.count(Ending.BROKEN), tally.count(Ending.LEFT),
				tally.count(Ending.OPEN), reasons);
	}

	// The two-second windows with the smallest share of calls in time, among those with
	// at least MIN_WINDOW_CALLS calls.
	private List<String> worstWindows() {
		Map<Long, CallTally> windows = CallTally.by(this.calls.values(),
				(call) -> 2 * (long) Math.floor(call.arrivalSecond() / 2));
		long start = this.folder.events().stream().mapToLong((event) -> (long) event.second()).min().orElse(0);
		List<String> lines = new ArrayList<>();
		lines.add("the two-second windows with the smallest share in time (seconds as the log counts them)");
		windows.entrySet()
			.stream()
			.filter((window) -> window.getValue().total() >= MIN_WINDOW_CALLS)
			.sorted((a, b) -> Double.compare(inTimeShare(a.getValue()), inTimeShare(b.getValue())))
			.limit(WORST_WINDOWS)
			.forEach((window) -> lines
				.add(row(window.getKey() + " (+" + (window.getKey() - start) + ")", window.getValue())));
		return lines;
	}

	private static double inTimeShare(CallTally tally) {
		return (double) tally.count(Ending.IN_TIME) / tally.total();
	}

	private String firstTokenLine() {
		Deciles deciles = Deciles.of(this.calls.values()
			.stream()
			.map(CallHistory::firstTokenRatio)
			.filter(OptionalDouble::isPresent)
			.mapToDouble(OptionalDouble::getAsDouble)
			.toArray());
		return (deciles.count() == 0) ? "nothing was expected"
				: String.format(Locale.ROOT, "deciles %s, of %d calls", deciles, deciles.count());
	}

	private String segmentReuseLine() {
		SegmentReuse parts = SegmentReuse.of(this.calls.values());
		return String.format(Locale.ROOT,
				"tokens of shared parts, by where calls went: %d found, %d fetched, %d read again (%.1f%% of these), %d read first",
				parts.cached(), parts.transferred(), parts.recomputed(), 100 * parts.recomputedShare(),
				parts.uncached());
	}

	private static String label(Ending ending) {
		return ending.name().toLowerCase(Locale.ROOT).replace('_', ' ');
	}

}
