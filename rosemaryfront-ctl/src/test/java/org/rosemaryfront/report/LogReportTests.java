package org.rosemaryfront.report;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rosemaryfront.report.CallHistory.Ending;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class LogReportTests {

	private static final String DISPATCHED = " INFO E2702 CALL_DISPATCHED request=%s route=r1 organisation=sfax units=500"
			+ " quota=400/1000 parts=a:300,b:500,%s:20 targetMillis=600 server=%s load=3 unreadTokens=320"
			+ " expectedMillis=100";

	@TempDir
	private Path folder;

	// -- lines

	@ParameterizedTest
	@CsvSource(delimiter = '|', value = { "2026-08-29 14:04:10.085 INFO E2704 CALL_ANSWERED status=200 | file | 200",
			"   0.0862 front-a-3 2026-08-29 14:04:10.085 INFO E2704 CALL_ANSWERED status=200 | front-a-3 | 200",
			"-12.1 front-a-3 2026-08-29 14:04:10.085 WARN E2707 ANSWER_BROKEN status=\"2 00\" | front-a-3 | 2 00" })
	void shouldParseLineWhenWrittenByGatewayOrCollector(String line, String gateway, String status) {
		LogEvent event = LogEvent.parse(line, "file").orElseThrow();
		assertThat(event.gateway()).isEqualTo(gateway);
		assertThat(event.text("status")).isEqualTo(status);
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "quiet-1 is played, after 47 s", "2026-08-29 14:04:10.085 INFO E2704",
			"2026-08-29 14:04:10.085 INFO E2704 CALL_ANSWERED cause=\"cut in ha",
			"2026-08-29 14:04:10.085 INFO E2704 CALL_ANSWERED status=",
			"2026-18-29 14:04:10.085 INFO E2704 CALL_ANSWERED",
			"2026-08-29 14:04:10.085 INFO E2704 CALL_ANSWERED status" })
	void shouldSkipLineWhenForeignOrTruncated(String line) {
		assertThat(LogEvent.parse(line, "file")).isEmpty();
	}

	@Test
	void shouldCountDamagedAndForeignLines() throws IOException {
		write("a.log", line(1, "CALL_REFUSED request=c1 status=429 reason=quota"), "a stack trace",
				"2026-08-29 14:04:10.085 INFO E2704 CALL_ANSWERED cause=\"cut in ha");
		LogFolder read = LogFolder.read(this.folder);
		assertThat(read.events()).hasSize(1);
		assertThat(read.damaged()).isOne();
		assertThat(read.foreign()).isOne();
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void shouldReadAnyBytesWithoutFailing(long seed) throws IOException {
		Random random = new Random(seed);
		byte[] good = (line(1, "CALL_REFUSED request=c1 status=429 reason=quota") + '\n').repeat(20)
			.getBytes(StandardCharsets.UTF_8);
		for (int i = 0; i < 60; i++) {
			good[60 + random.nextInt(good.length - 60)] = (byte) random.nextInt();
		}
		Files.write(this.folder.resolve("a.log"), good);
		List<String> summary = LogReport.write(this.folder, this.folder.resolve("page.html"));
		assertThat(summary.getFirst()).contains("events of");
	}

	// -- bad input

	@Test
	void shouldFailWhenFolderContainsNoEvent() throws IOException {
		write("a.log", "nothing of ours");
		assertThatExceptionOfType(ReportException.class).isThrownBy(() -> LogFolder.read(this.folder))
			.withMessageContaining("1 files, 0 damaged and 1 foreign");
	}

	@Test
	void shouldFailWhenFolderDoesNotExist() {
		assertThatExceptionOfType(ReportException.class).isThrownBy(() -> LogFolder.read(this.folder.resolve("none")))
			.withMessageContaining("does not exist");
	}

	// -- calls

	@ParameterizedTest
	@CsvSource({ "200, 80, 900, IN_TIME", "200, 700, 900, LATE", "200, -1, 500, IN_TIME", "200, -1, 900, LATE",
			"502, -1, 20, FAILED" })
	void shouldDetermineEndingWhenCallIsAnswered(int status, int firstMillis, int millis, Ending ending) {
		CallHistory call = history(dispatched(1, "c1", "s1"), line(2,
				"CALL_ANSWERED request=c1 status=" + status + " firstMillis=" + firstMillis + " millis=" + millis));
		assertThat(call.ending()).isEqualTo(ending);
	}

	@Test
	void shouldReportCallAsOpenWhenLogHasNoEnding() {
		assertThat(history(dispatched(1, "c1", "s1")).ending()).isEqualTo(Ending.OPEN);
	}

	@Test
	void shouldMeasureFirstTokenFromDispatch() {
		CallHistory call = history(dispatched(1.0, "c1", "s1"),
				line(1.4, "CALL_ANSWERED request=c1 status=200 firstMillis=350 millis=500"));
		// The call arrived at 0.9 s and was dispatched at 1 s: 250 ms to the first token
		// from there, 100 ms expected.
		assertThat(call.firstTokenRatio().orElseThrow()).isBetween(2.49, 2.51);
	}

	@Test
	void shouldDistinguishCachedFromRecomputedSegments() {
		Map<String, CallHistory> calls = CallHistory.of(events(dispatched(1, "c1", "s1"), dispatched(2, "c2", "s1"),
				dispatched(3, "c3", "s2"), dispatched(4, "c4", "s2"), dispatched(5, "c5", "s3") + " fetchFrom=s2",
				dispatched(6, "c6", "s4") + " fetchFrom=s5"));
		assertThat(SegmentReuse.of(calls.values())).isEqualTo(new SegmentReuse(1_600, 800, 1_600, 800));
	}

	// -- the page

	// After a traffic peak, an operator must find on the page which calls were refused,
	// for which reason, and how much of the quota was used.
	@Test
	void shouldWritePageWithPlotsAndSummary() throws IOException {
		write("a.log", dispatched(1, "c1", "s1"),
				line(1.4, "CALL_ANSWERED request=c1 status=200 firstMillis=80 millis=500"),
				line(2, "CALL_REFUSED request=c2 route=r1 organisation=sfax status=429 reason=quota millis=1"),
				line(3, "CALL_REFUSED request=</script> route=r1 organisation=<b> status=503 reason=no-room millis=1"));
		Path page = this.folder.resolve("page.html");
		List<String> summary = LogReport.write(this.folder.resolve("a.log"), page);
		assertThat(summary).anyMatch((line) -> line.startsWith("r1") && line.contains("no-room 1"))
			.anyMatch((line) -> line.startsWith("r1") && line.contains("quota 1"));
		assertThat(Files.readString(page)).contains("uPlot", "Quota used of what is allowed", "\"quota\"")
			.doesNotContain("<b>");
	}

	// -- helpers

	private static String line(double second, String event) {
		return String.format(Locale.ROOT, "%.4f front-a-1 2026-08-29 14:04:10.085 INFO E2704 %s", second, event);
	}

	private static String dispatched(double second, String call, String server) {
		return String.format(Locale.ROOT, "%.4f front-a-1 2026-08-29 14:04:10.085", second)
				+ DISPATCHED.formatted(call, call, server);
	}

	private static List<LogEvent> events(String... lines) {
		return List.of(lines).stream().map((line) -> LogEvent.parse(line, "file").orElseThrow()).toList();
	}

	private static CallHistory history(String... lines) {
		return CallHistory.of(events(lines)).get("c1");
	}

	private void write(String file, String... lines) throws IOException {
		Files.write(this.folder.resolve(file), List.of(lines));
	}

}
