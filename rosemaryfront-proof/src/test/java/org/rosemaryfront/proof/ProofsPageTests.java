package org.rosemaryfront.proof;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks docs/PROOFS.md against the tests that ran in this build. Runs after all other
 * tests, since it reads their reports.
 */
class ProofsPageTests {

	private static final Path HOME = Path.of("").toAbsolutePath().getParent();

	private static final Pattern ROW = Pattern.compile("\\| *([1-7+]\\S*) *\\| *([^|]+?) *\\| *([^|]+?) *\\|"
			+ " *(proved|failing|not proved) *\\| *([^|]*?) *\\| *([^|]*?) *\\|");

	private static final Pattern TEST_CASE = Pattern
		.compile("<testcase name=\"([^\"]*)\" classname=\"([^\"]*)\"[^>]*?(/>|>)(\\s*<(failure|error|skipped))?");

	private static final Pattern JAVA_NAME = Pattern.compile("[\\w.$]+");

	private static final String SCENARIOS = "PromisesTests";

	private static final String SCENARIO_SEPARATOR = " - ";

	@Test
	void shouldCountTheCellsAsThePageSays() throws IOException {
		Map<String, Long> counts = rows().stream().collect(Collectors.groupingBy(Row::status, Collectors.counting()));
		String summary = "Cells: %d proved, %d failing, %d not proved.".formatted(counts.getOrDefault("proved", 0L),
				counts.getOrDefault("failing", 0L), counts.getOrDefault("not proved", 0L));
		assertThat(page()).contains(summary);
	}

	@Test
	void shouldNameATestThatPassedWhenACellIsProved() throws IOException {
		Map<String, Boolean> passed = passedTests();
		List<Row> proved = rows().stream().filter((row) -> row.status().equals("proved")).toList();
		assertThat(proved).isNotEmpty();
		assertThat(proved).allSatisfy((row) -> assertThat(passed).as(row.toString()).containsEntry(row.test(), true));
	}

	@Test
	void shouldSayWhatBrokeTheTestWhenACellIsProved() throws IOException {
		assertThat(rows()).filteredOn((row) -> row.status().equals("proved"))
			.allSatisfy((row) -> assertThat(row.brokenBy()).as(row.toString()).isNotBlank());
	}

	private static String page() throws IOException {
		return Files.readString(HOME.resolve("docs/PROOFS.md"));
	}

	private static List<Row> rows() throws IOException {
		List<Row> rows = new ArrayList<>();
		Matcher matcher = ROW.matcher(page());
		while (matcher.find()) {
			rows.add(new Row(matcher.group(1), matcher.group(2), matcher.group(3), matcher.group(4),
					matcher.group(5).replace("`", ""), matcher.group(6)));
		}
		return rows;
	}

	private static Map<String, Boolean> passedTests() throws IOException {
		Map<String, Boolean> passed = new TreeMap<>();
		try (Stream<Path> files = Files.walk(HOME, 4)) {
			List<Path> reports = files.filter((file) -> file.toString().contains("surefire-reports"))
				.filter((file) -> file.getFileName().toString().matches("TEST-.*\\.xml"))
				.toList();
			for (Path report : reports) {
				Matcher matcher = TEST_CASE.matcher(Files.readString(report));
				while (matcher.find()) {
					passed.merge(identifier(matcher.group(2), matcher.group(1)), matcher.group(5) == null,
							Boolean::logicalAnd);
				}
			}
		}
		return passed;
	}

	// Reports give a scenario the names of its feature and outline before its own.
	private static String identifier(String className, String testName) {
		if (className.endsWith(SCENARIOS) || !JAVA_NAME.matcher(className).matches()) {
			int own = testName.lastIndexOf(SCENARIO_SEPARATOR);
			return SCENARIOS + "#" + unescaped(testName.substring((own < 0) ? 0 : own + SCENARIO_SEPARATOR.length()));
		}
		String simple = className.substring(className.lastIndexOf('.') + 1);
		Matcher method = Pattern.compile("^\\w+").matcher(testName);
		return simple + "#" + (method.find() ? method.group() : testName);
	}

	private static String unescaped(String text) {
		return text.replace("&apos;", "'")
			.replace("&quot;", "\"")
			.replace("&lt;", "<")
			.replace("&gt;", ">")
			.replace("&amp;", "&");
	}

	private record Row(String promise, String fault, String step, String status, String test, String brokenBy) {
	}

}
