package org.rosemaryfront.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class LateCallsTests {

	private static final String DISPATCHED = "CALL_DISPATCHED request=c1 route=hints organisation=club"
			+ " targetMillis=600 gapTargetMillis=500 server=s1 expectedMillis=300";

	@TempDir
	private Path folder;

	// Call c1 arrives at 10 s; its answer says how long it took.
	@ParameterizedTest
	@CsvSource(delimiter = '|',
			value = { "10.05 | 0 | 400 | 50 | in time", "10.90 | 0 | 950 | 50 | waited",
					"10.05 | 700 | 900 | 50 | connection", "10.05 | 0 | 700 | 50 | slow server",
					"10.05 | 0 | 601 | 50 | servers busy", "10.05 | 0 | 400 | 501 | pause" })
	void shouldNameLongestPartWhenCallWasLate(double dispatched, int sendMillis, int firstMillis, int pauseMillis,
			String column) {
		assertThat(
				outcome(line(dispatched, DISPATCHED),
						line(11.5,
								"CALL_ANSWERED request=c1 status=200 sendMillis=" + sendMillis + " firstMillis="
										+ firstMillis + " longestPauseMillis=" + pauseMillis + " millis=1500")))
			.isEqualTo(column);
	}

	@Test
	void shouldNameEarlierServerWhenCallWasSentAgain() {
		assertThat(outcome(line(10.05, DISPATCHED), line(10.85, "CALL_FAILED request=c1 server=s1 millis=850"),
				line(10.85, DISPATCHED),
				line(11.5, "CALL_ANSWERED request=c1 status=200 sendMillis=0 firstMillis=1100 millis=1500")))
			.isEqualTo("sent again");
	}

	@Test
	void shouldNameMoveWhenStreamPausedWhileItMoved() {
		assertThat(outcome(line(10.05, DISPATCHED), line(11, "STREAM_RESUMED request=c1 server=s2"), line(11.5,
				"CALL_ANSWERED request=c1 status=200 firstMillis=100 longestPauseMillis=800 sendMillis=0 millis=1500")))
			.isEqualTo("moved");
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|',
			value = { "CALL_REFUSED request=c1 status=429 reason=quota | refused: quota",
					"CALL_ANSWERED request=c1 status=502 reason=may-have-run | failed: may-have-run",
					"CALL_ANSWERED request=c1 status=500 | failed: 500",
					"ANSWER_BROKEN request=c1 reason=may-have-run | broken off: may-have-run",
					"CALLER_LEFT request=c1 | caller left", "CALL_FAILED request=c1 server=s1 | unfinished" })
	void shouldNameReasonWhenCallWasNotServed(String event, String column) {
		assertThat(outcome(line(10.05, DISPATCHED), line(10.1, event))).isEqualTo(column);
	}

	@Test
	void shouldGroupByOrganisationRouteAndHourWhenLogsOfGatewaysAreMixed() throws IOException {
		write("a.log", line(7_205, "CALL_REFUSED request=c3 route=hints organisation=club reason=quota"), "a trace",
				line(10, DISPATCHED), line(10.2, "CALL_ANSWERED request=c1 status=200 millis=100"));
		write("b.log", line(20, "CALL_REFUSED request=c2 route=hints organisation=club reason=no-room"),
				line(7_201, "CALL_REFUSED request=c4 route=hints organisation=abbey reason=quota"));
		List<String> lines = LogReport.lateCalls(this.folder);
		assertThat(lines.stream().map((line) -> line.replaceAll(" +", " "))).containsExactly(
				"organisation route hour (UTC) calls in time not in time, by reason",
				"abbey hints 1970-01-01 02:00 1 0 refused: quota 1",
				"club hints 1970-01-01 00:00 2 1 refused: no-room 1",
				"club hints 1970-01-01 02:00 1 0 refused: quota 1", "0 damaged and 1 foreign lines passed over");
	}

	private static String outcome(String... lines) {
		List<LogEvent> events = Arrays.stream(lines).map((line) -> LogEvent.parse(line, "log").orElseThrow()).toList();
		return CallHistory.of(events).get("c1").outcome().column();
	}

	private static String line(double second, String event) {
		return second + " gateway 2026-08-29 14:04:10.085 INFO E2700 " + event;
	}

	private void write(String name, String... lines) throws IOException {
		Files.write(this.folder.resolve(name), List.of(lines));
	}

}
