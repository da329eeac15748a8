package org.rosemaryfront.proof;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rosemaryfront.ctl.ExitCode;
import org.rosemaryfront.membership.MemberState;
import org.rosemaryfront.model.VmId;
import org.rosemaryfront.operators.ServerView;
import org.rosemaryfront.standin.platform.Fault;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The operators' command line against an operators' listener.
 */
class RosemaryctlTests {

	private static final String EXAMPLES = "../examples/";

	private OperatorsFixture fixture;

	@TempDir
	private Path folder;

	@BeforeEach
	void start() {
		this.fixture = OperatorsFixture.start();
	}

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	// -- apply

	@ParameterizedTest
	@ValueSource(strings = { "federation", "tynkarnia" })
	void shouldApplyTheCommittedDeclarations(String deployment) {
		assertThat(this.fixture.ctl("validate", EXAMPLES + deployment).exit()).isEqualTo(ExitCode.DONE);
		OperatorsFixture.Ctl applied = this.fixture.ctl("apply", EXAMPLES + deployment);
		assertThat(applied.err()).isEmpty();
		assertThat(applied.exit()).isEqualTo(ExitCode.DONE);
		assertThat(applied.out()).contains("Pool/booking created").endsWith("revision 1\n");
		assertThat(this.fixture.ctl("diff", "--delete-missing", EXAMPLES + deployment).exit()).isEqualTo(ExitCode.DONE);
		assertThat(this.fixture.ctl("apply", EXAMPLES + deployment).out()).contains("Pool/booking unchanged")
			.endsWith("revision 1\n");
	}

	@Test
	void shouldChangeNothingWhenTheRunIsDry() {
		assertThat(this.fixture.ctl("apply", "--dry-run", EXAMPLES + "federation").out()).contains("created (dry run)");
		assertThat(this.fixture.store().headRevision().block()).isZero();
	}

	@Test
	void shouldDeleteOnlyWhenAsked() throws IOException {
		this.fixture.ctl("apply", EXAMPLES + "federation");
		Path model = write("model.json",
				"{\"kind\":\"Model\",\"name\":\"m\",\"spec\":" + "{\"version\":\"1\",\"weightMegabytes\":5}}");
		assertThat(this.fixture.ctl("apply", model.toString()).out()).isEqualTo("Model/m created\nrevision 2\n");
		assertThat(this.fixture.ctl("apply", "--delete-missing", model.toString()).out())
			.contains("Pool/booking deleted", "revision 3");
		assertThat(this.fixture.ctl("get").out()).contains("Model").doesNotContain("Pool");
	}

	@Test
	void shouldReportWhenThePoolOfATargetIsMissing() {
		OperatorsFixture.Ctl refused = this.fixture.ctl("apply", EXAMPLES + "federation/latency-targets.json");
		assertThat(refused.exit()).isEqualTo(ExitCode.FAILED);
		assertThat(refused.err())
			.contains("LatencyTarget/chat spec.pool: Pool/assistant is not declared; declared are: none");
	}

	/*
	 * An operator applies, and the table service commits but its answer is lost, for each
	 * attempt of the first server. The change must be declared once and be reported as
	 * done, not as a conflict with itself.
	 */
	@Test
	void shouldReportDoneWhenTheAnswerOfTheStoreIsLost() {
		this.fixture.platform().begin(Fault.of(Fault.Kind.LOST_ANSWER, Fault.FOR_GOOD));
		OperatorsFixture.Ctl applied = this.fixture.ctl("apply", EXAMPLES + "federation");
		assertThat(applied.exit()).as(applied.err()).isEqualTo(ExitCode.DONE);
		this.fixture.platform().clearFaults();
		assertThat(this.fixture.store().headRevision().block()).isEqualTo(1);
	}

	@Test
	void shouldSayThatNothingChangedWhenTheStoreIsDown() {
		this.fixture.platform().begin(Fault.of(Fault.Kind.OUTAGE, Fault.FOR_GOOD));
		OperatorsFixture.Ctl refused = this.fixture.ctl("apply", EXAMPLES + "federation");
		assertThat(refused.exit()).isEqualTo(ExitCode.FAILED);
		assertThat(refused.err()).contains("nothing was changed");
		this.fixture.platform().clearFaults();
		assertThat(this.fixture.store().headRevision().block()).isZero();
	}

	@Test
	void shouldTryTheNextServerWhenOneIsDown() {
		String servers = "http://127.0.0.1:1," + this.fixture.url();
		assertThat(this.fixture.ctlAt(servers, "apply", EXAMPLES + "federation").exit()).isEqualTo(ExitCode.DONE);
		assertThat(this.fixture.ctlAt("http://127.0.0.1:1", "get").exit()).isEqualTo(ExitCode.UNREACHABLE);
	}

	// -- other commands

	@ParameterizedTest
	@CsvSource(delimiter = '|',
			textBlock = """
					'{"kind":"Model","name":"m","spec":{"version":"1"}}'                                      | weightMegabytes
					'{"kind":"Model","name":"M","spec":{"version":"1","weightMegabytes":1}}'                  | Model/M name
					'{"kind":"Model","name":"m","spec":{"version":"1","weightMegabytes":"x"}}'                | spec.weightMegabytes
					'{"kind":"Model","name":"m","spec":{"version":"1","weightMegabytes":1,"size":2}}'         | size
					'{"kind":"Modul","name":"m","spec":{}}'                                                   | 'Modul' is unknown
					'{"kind":"Model","na'                                                                     | file.json:1:
					'[]'                                                                                      | no declaration
					""")
	void shouldNameThePlaceWhenAFileIsWrong(String text, String place) throws IOException {
		OperatorsFixture.Ctl refused = this.fixture.ctl("validate", write("file.json", text).toString());
		assertThat(refused.exit()).isEqualTo(ExitCode.WRONG_USE);
		assertThat(refused.err()).contains(place);
	}

	@Test
	void shouldShowTheFieldsThatDiffer() throws IOException {
		this.fixture.ctl("apply", EXAMPLES + "federation");
		Path changed = write("models.json", Files.readString(Path.of(EXAMPLES, "federation", "models.json"))
			.replace("\"weightMegabytes\": 800", "\"weightMegabytes\": 900"));
		OperatorsFixture.Ctl diff = this.fixture.ctl("diff", changed.toString());
		assertThat(diff.exit()).isEqualTo(ExitCode.FAILED);
		assertThat(diff.out()).isEqualTo("~ Model/round-assistant\n    spec.weightMegabytes: 800 -> 900\n");
	}

	@Test
	void shouldDrainAndExplain() {
		this.fixture.entry().servers(server("vm3", "serving"));
		assertThat(this.fixture.ctl("drain", "vm3").exit()).isEqualTo(ExitCode.DONE);
		assertThat(this.fixture.entry().drained()).containsExactly(new VmId("vm3"));
		assertThat(this.fixture.ctl("drain", "vm4").exit()).isEqualTo(ExitCode.FAILED);
		assertThat(this.fixture.ctl("explain", "known").out()).contains("dispatched to vm3");
		assertThat(this.fixture.ctl("explain", "other").exit()).isEqualTo(ExitCode.FAILED);
	}

	@Test
	void shouldWaitUntilAllNodesAndServersAreThere() {
		this.fixture.ctl("apply", EXAMPLES + "federation");
		OperatorsFixture.Ctl early = this.fixture.ctl("wait", "--timeout", "0");
		assertThat(early.exit()).isEqualTo(ExitCode.TIMEOUT);
		assertThat(early.err()).contains("behind: entry-1 at 0");
		this.fixture.takeIntoForce();
		this.fixture.entry().others(OperatorsFixture.Entry.member("entry-2", MemberState.DEAD, 0));
		assertThat(this.fixture.ctl("wait", "--timeout", "5").exit()).isEqualTo(ExitCode.DONE);
		this.fixture.entry().servers(server("vm1", "serving"), server("vm2", "leaving"));
		assertThat(this.fixture.ctl("wait", "--pool", "booking", "--timeout", "0").err())
			.contains("pool booking has 1 of 3 backend servers");
		assertThat(this.fixture.ctl("wait", "--pool", "booking", "--servers", "1").exit()).isEqualTo(ExitCode.DONE);
		assertThat(this.fixture.ctl("status").out()).contains("declared revision 1", "entry-1", "vm2");
	}

	@Test
	void shouldWatchFromARevision() {
		this.fixture.ctl("apply", EXAMPLES + "federation/models.json");
		this.fixture.ctl("apply", EXAMPLES + "federation");
		OperatorsFixture.Ctl watched = this.fixture.ctl("watch", "--since", "1", "--until", "2");
		assertThat(watched.exit()).isEqualTo(ExitCode.DONE);
		assertThat(watched.out()).contains("\"name\":\"assistant\"").doesNotContain("\"name\":\"quotes\"");
	}

	@ParameterizedTest
	@CsvSource({ "'', 2", "--help, 0", "apply --help, 0", "nothing, 2", "apply, 2", "get --colour, 2" })
	void shouldEndWithTheCodeOfItsHelp(String line, int code) {
		OperatorsFixture.Ctl ended = this.fixture.ctl(line.isEmpty() ? new String[0] : line.split(" "));
		assertThat(ended.exit().code()).isEqualTo(code);
		assertThat(ended.out() + ended.err()).contains("rosemaryctl");
	}

	private static ServerView server(String vm, String state) {
		return new ServerView(new VmId(vm), "booking", "tunis-a", "127.0.0.1:1", state, java.util.List.of(), 0);
	}

	private Path write(String name, String text) throws IOException {
		return Files.writeString(this.folder.resolve(name), text);
	}

}
