package org.rosemaryfront.proof;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.rosemaryfront.load.LoadReport;
import org.rosemaryfront.load.LoadReport.Bookings;
import org.rosemaryfront.load.LoadReport.Failure;
import org.rosemaryfront.load.LoadReport.Percentiles;

import static org.assertj.core.api.Assertions.assertThat;

/** A soak run must not pass over what it saw. */
class SoakResultTests {

	private static final Percentiles NONE = new Percentiles(0, 0, 0, 0, 0);

	@TempDir
	private Path folder;

	@BeforeEach
	void log() throws IOException {
		Files.writeString(this.folder.resolve("entry-1.err"), """
				2026-12-02 18:00:01.000 INFO io E2001 REQUEST_ACCEPTED request=r1 organisation=sfax
				2026-12-02 18:00:01.000 INFO io E2001 REQUEST_ACCEPTED request=r2 organisation=sfax
				""");
		Files.writeString(this.folder.resolve("entry-2.err"), """
				2026-12-02 18:00:02.000 INFO io E2046 REQUEST_ADOPTED request=r2 tokens=4
				""");
	}

	@Test
	void shouldHoldWhenAllAnswersAreWhole() {
		assertThat(result(bookings(0, 0, true)).broken()).isFalse();
	}

	@Test
	void shouldCountLostRequestApartWhenItsHolderWasKilled() {
		SoakResult result = result(bookings(0, 0, true), failure("r1", "Cut", false));
		assertThat(result.report().path("lostWithKilledEntry").asInt()).isEqualTo(1);
		assertThat(result.broken()).isFalse();
	}

	@Test
	void shouldBeBrokenWhenRequestIsLostThatWasHandedOverBeforeTheKill() {
		ObjectNode report = result(bookings(0, 0, true), failure("r2", "Cut", false)).report();
		assertThat(report.path("lost").asInt()).isEqualTo(1);
		assertThat(report.path("broken").toString()).contains("held by entry-2");
	}

	@Test
	void shouldBeBrokenWhenAcceptedRequestEndsWithAnyProblemButItsDeadline() {
		assertThat(result(bookings(0, 0, true), failure("r1", "deadline-exceeded", true)).broken()).isFalse();
		assertThat(result(bookings(0, 0, true), failure("r1", "internal", true)).broken()).isTrue();
	}

	@Test
	void shouldBeBrokenWhenBookingsAreWrongOrNotCompared() {
		assertThat(result(bookings(1, 0, true)).broken()).isTrue();
		assertThat(result(bookings(0, 1, true)).broken()).isTrue();
		assertThat(result(bookings(0, 0, false)).broken()).isTrue();
	}

	@Test
	void shouldBeBrokenWhenAnyLogShowsABrokenInvariant() throws IOException {
		Files.writeString(this.folder.resolve("entry-3.err"),
				"2026-12-02 18:00:03.000 ERROR control E9001 TOKEN_OUT_OF_ORDER request=r1\n");
		assertThat(result(bookings(0, 0, true)).report().path("invariantEvents").toString())
			.isEqualTo("{\"E9001 TOKEN_OUT_OF_ORDER\":1}");
		assertThat(result(bookings(0, 0, true)).broken()).isTrue();
	}

	private SoakResult result(Bookings bookings, Failure... failures) {
		LoadReport load = new LoadReport(2, 0, 2, 2L - failures.length, 0, 0, failures.length, Map.of(),
				List.of(failures), Map.of(), 0, 0, 0, 0, 10, bookings, NONE, NONE, NONE, NONE, 1);
		return SoakResult.of(load, SoakLogs.read(this.folder), Set.of("entry-1"));
	}

	private static Bookings bookings(long doubled, long falseNotRun, boolean compared) {
		return new Bookings(1, 1, 1, 0, 0, 0, doubled, falseNotRun, 0, 0, compared, List.of());
	}

	private static Failure failure(String request, String ended, boolean failed) {
		return new Failure(request, "http://127.0.0.1:1", ended, failed, 3, 0);
	}

}
