package org.rosemaryfront.report;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.rosemaryfront.report.CallOutcome.InTime;

/**
 * The calls that were not served in time, by organisation, route and hour, with the
 * reason.
 */
final class LateCalls {

	private static final DateTimeFormatter HOUR = DateTimeFormatter.ofPattern("yyyy-MM-dd HH':00'")
		.withZone(ZoneOffset.UTC);

	private final Map<Group, Map<String, Integer>> outcomes = new TreeMap<>();

	private LateCalls() {
	}

	/**
	 * Groups calls.
	 * @param calls the calls
	 * @return the groups
	 */
	static LateCalls of(Collection<CallHistory> calls) {
		LateCalls late = new LateCalls();
		calls.forEach(late::add);
		return late;
	}

	private void add(CallHistory call) {
		long hour = Math.floorDiv((long) Math.floor(call.arrivalSecond()), TimeUnit.HOURS.toSeconds(1));
		this.outcomes.computeIfAbsent(new Group(call.organisation(), call.route(), hour), (_) -> new TreeMap<>())
			.merge(call.outcome().column(), 1, Integer::sum);
	}

	/**
	 * Returns the groups as text, those of an organisation together, by route and hour.
	 * @return the lines
	 */
	List<String> lines() {
		List<String> lines = new ArrayList<>();
		lines.add(String.format("%-20s %-20s %-16s %7s %7s  %s", "organisation", "route", "hour (UTC)", "calls",
				"in time", "not in time, by reason"));
		this.outcomes.forEach((group, counts) -> lines.add(line(group, counts)));
		return lines;
	}

	private static String line(Group group, Map<String, Integer> counts) {
		String inTime = new InTime().column();
		int calls = counts.values().stream().mapToInt(Integer::intValue).sum();
		StringBuilder reasons = new StringBuilder();
		counts.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().equals(inTime))
			.sorted(Map.Entry.<String, Integer>comparingByValue().reversed())
			.forEach((entry) -> reasons.append(reasons.isEmpty() ? "" : ", ")
				.append(entry.getKey())
				.append(' ')
				.append(entry.getValue()));
		return String.format("%-20s %-20s %-16s %7d %7d  %s", group.organisation, group.route,
				HOUR.format(Instant.ofEpochSecond(TimeUnit.HOURS.toSeconds(group.hour))), calls,
				counts.getOrDefault(inTime, 0), reasons);
	}

	/**
	 * Calls of one organisation on one route that arrived within one hour.
	 *
	 * @param organisation the organisation
	 * @param route the route
	 * @param hour the hour, counted from the start of 1970, or of the collector's time
	 */
	private record Group(String organisation, String route, long hour) implements Comparable<Group> {

		private static final Comparator<Group> ORDER = Comparator.comparing(Group::organisation)
			.thenComparing(Group::route)
			.thenComparingLong(Group::hour);

		@Override
		public int compareTo(Group other) {
			return ORDER.compare(this, other);
		}

	}

}
