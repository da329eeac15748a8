package org.rosemaryfront.proof;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The catalogue of events against the sources; {@code bin/docs} writes the page anew.
 */
class EventCatalogueTests {

	private static final Path PAGE = Path.of("../docs/EVENTS.md");

	private static final Pattern ENUM = Pattern.compile("enum \\w+ implements [^{]*\\bEventCode\\b");

	private static final Pattern CONSTANT = Pattern.compile("^\\t([A-Z][A-Z0-9_]*)\\((\\d+)\\)[,;]", Pattern.MULTILINE);

	private static final Pattern DOCUMENTED = Pattern.compile("\\*/\\s+([A-Z][A-Z0-9_]*)\\(\\d+\\)[,;]",
			Pattern.MULTILINE);

	private static final Pattern LINE = Pattern.compile("^\\| (\\d+) \\| `([A-Z0-9_]+)` \\| (.+) \\|$",
			Pattern.MULTILINE);

	@Test
	void shouldFindTheEventsOfEveryArea() {
		assertThat(sources()).hasSizeGreaterThanOrEqualTo(10);
		assertThat(sources()).allSatisfy((source) -> assertThat(CONSTANT.matcher(source).find()).isTrue());
	}

	@Test
	void shouldGiveEachNumberOnce() {
		Map<Integer, String> names = new TreeMap<>();
		for (String source : sources()) {
			events(CONSTANT, source, 2, 1).forEach(
					(number, name) -> assertThat(names.put(number, name)).as("another event with %s", number).isNull());
		}
	}

	@Test
	void shouldListEveryEventAndNoOther() {
		Map<Integer, String> inSources = new TreeMap<>();
		sources().forEach((source) -> inSources.putAll(events(CONSTANT, source, 2, 1)));
		assertThat(events(LINE, MainSources.read(PAGE), 1, 2)).as("docs/EVENTS.md; run bin/docs").isEqualTo(inSources);
	}

	@Test
	void shouldHaveASentenceForEveryEvent() {
		for (String source : sources()) {
			assertThat(DOCUMENTED.matcher(source).results().map((found) -> found.group(1)))
				.containsExactlyInAnyOrderElementsOf(events(CONSTANT, source, 2, 1).values());
		}
	}

	private static Map<Integer, String> events(Pattern pattern, String text, int number, int name) {
		Map<Integer, String> events = new TreeMap<>();
		for (Matcher found = pattern.matcher(text); found.find();) {
			events.put(Integer.valueOf(found.group(number)), found.group(name));
		}
		return events;
	}

	private static List<String> sources() {
		return MainSources.all().stream().filter((source) -> ENUM.matcher(source).find()).toList();
	}

}
