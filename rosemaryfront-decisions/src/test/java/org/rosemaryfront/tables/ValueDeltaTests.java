package org.rosemaryfront.tables;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class ValueDeltaTests {

	private static final int ROUTES = 1_400;

	/** What a report has for the changes of a table, in bytes. */
	private static final int MAX_REPORT_BYTES = 700;

	@ParameterizedTest
	@MethodSource("pairs")
	void shouldLeadFromOneValueToTheOther(byte[] before, byte[] after) {
		byte[] delta = ValueDelta.between(before, after);
		assertThat(ValueDelta.apply(before, delta, ValueDelta.checksum(after))).isEqualTo(after);
	}

	static Stream<Arguments> pairs() {
		Stream<Arguments> fixed = Stream.of(Arguments.of(bytes(""), bytes("")), Arguments.of(bytes(""), bytes("x")),
				Arguments.of(bytes("x".repeat(99)), bytes("")),
				Arguments.of(bytes("x".repeat(99)), bytes("x".repeat(100))),
				Arguments.of(bytes("x".repeat(31)), bytes("x".repeat(31))));
		return Stream.concat(fixed, IntStream.range(0, 200).mapToObj(ValueDeltaTests::randomPair));
	}

	// Few letters, so that blocks repeat; parts are replaced, inserted, removed and
	// moved.
	private static Arguments randomPair(int seed) {
		Random random = new Random(seed);
		String before = letters(random, random.nextInt(2_000));
		StringBuilder after = new StringBuilder(before);
		for (int edit = random.nextInt(6); edit > 0; edit--) {
			int from = random.nextInt(after.length() + 1);
			int to = from + random.nextInt(Math.min(200, after.length() - from) + 1);
			String part = after.substring(from, to);
			after.replace(from, to, letters(random, random.nextInt(100)));
			after.insert(random.nextInt(after.length() + 1), random.nextBoolean() ? part : "");
		}
		return Arguments.of(bytes(before), bytes(after.toString()));
	}

	private static String letters(Random random, int count) {
		return random.ints(count, 'a', 'c').mapToObj(Character::toString).collect(Collectors.joining());
	}

	// Guards against a change of a large configuration that no report can carry.
	@ParameterizedTest
	@CsvSource({ "1, 0, 0", "3, 0, 0", "0, 1, 0", "0, 0, 1", "1, 1, 1" })
	void shouldFitReportWhenFewRoutesChange(int changed, int added, int removed) {
		List<String> routes = IntStream.range(0, ROUTES)
			.mapToObj((i) -> route(i, 4_000))
			.collect(Collectors.toCollection(ArrayList::new));
		byte[] before = configuration(7, routes);
		for (int i = 0; i < changed; i++) {
			routes.set(i * 300 + 40, route(i * 300 + 40, 12_000));
		}
		for (int i = 0; i < added; i++) {
			routes.add(700, route(ROUTES + i, 4_000));
		}
		for (int i = 0; i < removed; i++) {
			routes.remove(900);
		}
		byte[] after = configuration(1_000, routes);
		byte[] delta = ValueDelta.between(before, after);
		System.out.println(after.length + " bytes, " + changed + " routes changed, " + added + " added, " + removed
				+ " removed: " + delta.length + " bytes of difference");
		assertThat(ValueDelta.apply(before, delta, ValueDelta.checksum(after))).isEqualTo(after);
		assertThat(delta.length).isLessThan(MAX_REPORT_BYTES);
	}

	private static byte[] configuration(int version, List<String> routes) {
		return bytes("{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":[]}");
	}

	private static String route(int number, int timeoutMillis) {
		String name = Integer.toString(number * 7_919 % 46_656 + 46_656, 36);
		return "{\"name\":\"r-" + name + "\",\"host\":\"a.example\",\"prefix\":\"/" + name
				+ "/\",\"kind\":\"idempotent\"," + "\"timeout_ms\":" + timeoutMillis
				+ ",\"target_latency_ms\":600,\"priority\":2,\"service\":\"bookings\","
				+ "\"max_attempts\":2,\"public\":false,\"session_affinity\":false,\"resumable\":false}";
	}

	// Guards against a value that no gateway wrote: the earlier value is another one than
	// the
	// sender's, or bytes of the delta are damaged.
	@Test
	void shouldRejectWhenDeltaIsForAnotherValueOrDamaged() {
		byte[] before = bytes(letters(new Random(1), 400));
		byte[] after = bytes(letters(new Random(1), 400) + "more");
		byte[] delta = ValueDelta.between(before, after);
		int checksum = ValueDelta.checksum(after);
		assertThatIllegalArgumentException()
			.isThrownBy(() -> ValueDelta.apply(bytes(letters(new Random(2), 400)), delta, checksum));
		for (int i = 0; i < delta.length; i++) {
			for (int bit = 0; bit < Byte.SIZE; bit++) {
				byte[] damaged = delta.clone();
				damaged[i] ^= (byte) (1 << bit);
				assertRejectedOrSame(before, damaged, after);
			}
		}
	}

	// A damaged number may still lead to the same value, as the position of a copy of no
	// bytes does.
	private static void assertRejectedOrSame(byte[] before, byte[] damaged, byte[] after) {
		try {
			assertThat(ValueDelta.apply(before, damaged, ValueDelta.checksum(after))).isEqualTo(after);
		}
		catch (IllegalArgumentException ex) {
			assertThat(ex).hasMessageContaining("a delta");
		}
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

}
