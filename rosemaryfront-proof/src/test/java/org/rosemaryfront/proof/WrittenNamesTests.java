package org.rosemaryfront.proof;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against renaming an event, or an enum constant that is written into events,
 * rows, documents or settings under its own name: searches and other builds then no
 * longer find it. Unlike the catalogue of events, the expected names are never
 * regenerated from the sources.
 */
class WrittenNamesTests {

	private static final Pattern COMMENT = Pattern.compile("/\\*.*?\\*/|//[^\\n]*", Pattern.DOTALL);

	private static final Pattern EVENT = Pattern.compile("^\\t([A-Z][A-Z0-9_]*)\\((\\d+)\\)[,;]", Pattern.MULTILINE);

	/** An enum with its constants, up to the first that has a body of its own. */
	private static final Pattern ENUM = Pattern
		.compile("\\benum \\w+[^{]*\\{((?:\\s*[A-Z][A-Z0-9_]*(?:\\([^()]*\\))?\\s*,?)+)");

	private static final Pattern ARGUMENTS = Pattern.compile("\\([^()]*\\)");

	@Test
	void shouldKeepNumberAndNameOfEveryEvent() {
		List<String> found = sources().filter((source) -> source.contains("implements EventCode"))
			.flatMap((source) -> EVENT.matcher(source).results())
			.map((event) -> event.group(2) + ' ' + event.group(1))
			.toList();
		assertThat(found).containsExactlyInAnyOrderElementsOf(lines("events.txt"));
	}

	// A line holds the constants of one enum in their order, because ordinals are sent as
	// well; the enum itself may be renamed.
	@Test
	void shouldKeepNamesOfEnumConstantsThatAreWritten() {
		List<String> found = sources().flatMap((source) -> ENUM.matcher(source).results())
			.map(WrittenNamesTests::constants)
			.collect(Collectors.toCollection(ArrayList::new));
		List<String> missing = lines("constants.txt").stream().filter((line) -> !found.remove(line)).toList();
		assertThat(missing).as("enums whose constants are gone or have another name").isEmpty();
	}

	private static String constants(MatchResult declared) {
		String plain = ARGUMENTS.matcher(declared.group(1)).replaceAll("");
		return Arrays.stream(plain.split("[\\s,]+")).filter((name) -> !name.isEmpty()).collect(Collectors.joining(" "));
	}

	private static List<String> lines(String resource) {
		return MainSources.read(Path.of("src/test/resources/names", resource)).lines().toList();
	}

	private static Stream<String> sources() {
		return MainSources.all().stream().map((source) -> COMMENT.matcher(source).replaceAll(""));
	}

}
