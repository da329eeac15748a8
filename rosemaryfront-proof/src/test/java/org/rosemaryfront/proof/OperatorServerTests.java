package org.rosemaryfront.proof;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

import org.rosemaryfront.configuration.Change;
import org.rosemaryfront.configuration.ConfigurationStore;
import org.rosemaryfront.ctl.ExitCode;
import org.rosemaryfront.keys.Sha256;
import org.rosemaryfront.model.Resource;
import org.rosemaryfront.operators.OperatorServer;
import org.rosemaryfront.operators.OperatorSettings;
import org.rosemaryfront.standin.platform.Fault;
import org.rosemaryfront.tls.TlsSettings;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The operators' listener over HTTP.
 */
class OperatorServerTests {

	private static final String MODEL = "{\"kind\":\"Model\",\"name\":\"m\",\"spec\":"
			+ "{\"version\":\"1\",\"weightMegabytes\":5}}";

	private OperatorsFixture fixture;

	@BeforeEach
	void start() {
		this.fixture = OperatorsFixture.start();
	}

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	// -- authentication

	@ParameterizedTest
	@CsvSource({ "''", "Bearer", "Bearer wrong", "Basic operator-key", "operator-key" })
	void shouldTellNothingWithoutAnOperatorKey(String authorization) {
		HttpRequest.Builder request = HttpRequest
			.newBuilder(URI.create(this.fixture.url() + "/apis/v1/resources/Model/m"));
		if (!authorization.isEmpty()) {
			request.header("Authorization", authorization);
		}
		OperatorsFixture.Reply reply = OperatorsFixture.send(request);
		assertThat(reply.status()).isEqualTo(401);
		assertThat(reply.body().path("code").asText()).isEqualTo("unauthenticated");
	}

	// -- bad input

	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`',
			textBlock = """
					``                                                  | 400 | JSON object
					[]                                                  | 400 | JSON object
					{"transaction":"t","resources":[                    | 400 | line 1, column
					{"transaction":"t"} x                               | 400 | no valid JSON
					{"transaction":"t","transaction":"u"}               | 400 | Duplicate field
					{"resources":[]}                                    | 400 | transaction: allowed are
					{"transaction":"a b"}                               | 400 | transaction: allowed are
					{"transaction":"t","colour":1}                      | 400 | unknown field 'colour'; allowed are delete
					{"transaction":"t","resources":{}}                  | 400 | resources: allowed is a list
					{"transaction":"t","delete":[{"kind":"X","name":"m"}]}         | 400 | kind 'X' is unknown
					{"transaction":"t","delete":[{"kind":"Model"}]}                | 400 | needs the text 'name'
					{"transaction":"t","delete":[{"kind":"Model","name":"m","version":-1}]} | 400 | whole number from 0
					{"transaction":"t","resources":[1]}                            | 422 | a JSON object
					{"transaction":"t","resources":[{"kind":"Model","name":"m","spec":{"version":"1","weightMegabytes":0}}]} | 422 | Model/m spec.weightMegabytes: 0 is out of range; allowed is 1
					""")
	void shouldNameTheFaultAndChangeNothing(String body, int status, String detail) {
		OperatorsFixture.Reply reply = this.fixture.post("/apis/v1/apply", body);
		assertThat(reply.status()).as(reply.body().toString()).isEqualTo(status);
		assertThat(reply.response().headers().firstValue("Content-Type")).contains("application/problem+json");
		assertThat(reply.body().path("detail").asText()).contains(detail);
		assertThat(reply.body().path("verdict").asText()).isEqualTo("not-run");
		assertThat(this.fixture.store().headRevision().block()).isZero();
	}

	@ParameterizedTest
	@CsvSource({ "/, 404", "/apis/v1/nothing, 404", "/apis/v1/resources/Modul/m, 404",
			"/apis/v1/resources/Model/m, 404", "/apis/v1/resources?kind=Modul, 404", "/apis/v1/apply, 405",
			"/apis/v1/watch?since=x, 400", "/apis/v1/watch?since=7, 400", "/apis/v1/drain/vm1, 405" })
	void shouldAnswerWithTheStatusOfTheFault(String path, int status) {
		assertThat(this.fixture.get(path).status()).isEqualTo(status);
	}

	@Test
	void shouldRefuseABodyOverTheLimit() {
		String body = "{\"transaction\":\"" + "x".repeat(OperatorServer.GREATEST_BODY) + "\"}";
		assertThat(this.fixture.post("/apis/v1/apply", body).status()).isEqualTo(413);
	}

	/*
	 * An operator's machine goes down in the middle of an apply: half of the body arrives
	 * and the connection closes. Nothing may be declared, and the next operator is
	 * served.
	 */
	@Test
	void shouldDeclareNothingWhenTheBodyIsHalfSent() throws IOException {
		URI uri = URI.create(this.fixture.url());
		String body = "{\"transaction\":\"t\",\"resources\":[" + MODEL + "]}";
		try (Socket socket = new Socket(uri.getHost(), uri.getPort())) {
			OutputStream out = socket.getOutputStream();
			out.write(("POST /apis/v1/apply HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + OperatorsFixture.KEY
					+ "\r\nContent-Length: " + (body.length() + 1) + "\r\n\r\n" + body)
				.getBytes(StandardCharsets.UTF_8));
			out.flush();
		}
		assertThat(this.fixture.get("/apis/v1/status").status()).isEqualTo(200);
		assertThat(this.fixture.store().headRevision().block()).isZero();
	}

	// -- resources and apply

	@Test
	void shouldChangeOnlyTheVersionThatWasRead() {
		assertThat(apply("t1", MODEL).body().path("changes").get(0).path("change").asText()).isEqualTo("created");
		OperatorsFixture.Reply read = this.fixture.get("/apis/v1/resources/Model/m");
		assertThat(read.response().headers().firstValue("ETag")).contains("\"1\"");
		assertThat(read.body().path("version").asLong()).isEqualTo(1);
		String second = MODEL.replace("\"weightMegabytes\":5", "\"weightMegabytes\":6")
			.replaceFirst("}}$", "},\"version\":1}");
		assertThat(apply("t2", second).body().path("revision").asLong()).isEqualTo(2);
		OperatorsFixture.Reply late = apply("t3", second);
		assertThat(late.status()).isEqualTo(409);
		assertThat(late.body().path("changed").toString())
			.isEqualTo("[{\"kind\":\"Model\",\"name\":\"m\",\"expected\":1,\"found\":2}]");
	}

	@Test
	void shouldShowWhatIsInForceWhenTheStoreIsDown() {
		apply("t1", MODEL);
		this.fixture.takeIntoForce();
		this.fixture.platform().begin(Fault.of(Fault.Kind.OUTAGE, Fault.FOR_GOOD));
		OperatorsFixture.Reply reply = this.fixture.get("/apis/v1/resources");
		assertThat(reply.body().path("source").asText()).isEqualTo("in-force");
		assertThat(reply.body().path("items")).hasSize(1);
		assertThat(this.fixture.get("/apis/v1/status").body().path("store").asText()).isEqualTo("unreachable");
	}

	/*
	 * An operator applies through an entry that is reclaimed after it passed the change
	 * on and before it answered. rosemaryctl repeats the change at the next entry. It
	 * must be declared once and be reported as done.
	 */
	@Test
	void shouldDeclareOnceWhenTheEntryFallsSilentAfterTheApply() {
		DisposableServer silent = HttpServer.create()
			.host("127.0.0.1")
			.port(0)
			.handle((request, response) -> request.receive()
				.aggregate()
				.asString()
				.publishOn(Schedulers.boundedElastic())
				.flatMap((body) -> {
					assertThat(this.fixture.post(request.uri(), body).status()).isEqualTo(200);
					request.withConnection(Connection::dispose);
					return Mono.<Void>never();
				}))
			.bindNow();
		OperatorsFixture.Ctl applied = this.fixture
			.ctlAt("http://127.0.0.1:" + silent.port() + "," + this.fixture.url(), "apply", "../examples/federation");
		silent.disposeNow();
		assertThat(applied.exit()).as(applied.err()).isEqualTo(ExitCode.DONE);
		assertThat(applied.out()).endsWith("revision 1\n");
		assertThat(this.fixture.store().headRevision().block()).isEqualTo(1);
	}

	// -- watch

	@Test
	void shouldTellToReadAnewWhenTheRevisionIsTooOld() {
		for (int i = 0; i <= ConfigurationStore.CHANGES_KEPT; i++) {
			this.fixture.store().apply(Change.ofAll("t" + i, List.of(new Resource.Model("m", "" + i, 1)))).block();
		}
		this.fixture.takeIntoForce();
		OperatorsFixture.Reply reply = this.fixture.get("/apis/v1/watch?since=0");
		assertThat(reply.status()).isEqualTo(410);
		assertThat(reply.body().path("detail").asText()).contains("watch from revision 1001");
	}

	/*
	 * An operator watches, the connection breaks, and changes go on meanwhile. Resumed
	 * from the last bookmark, the watch shows each of the missed changes, deletions too,
	 * and then those that come into force while it is open.
	 */
	@Test
	void shouldMissNothingWhenAWatchIsResumed() throws InterruptedException {
		apply("t1", MODEL);
		this.fixture.takeIntoForce();
		apply("t2", MODEL.replace("\"m\"", "\"n\""));
		this.fixture.post("/apis/v1/apply",
				"{\"transaction\":\"t3\",\"delete\":[{\"kind\":\"Model\",\"name\":\"m\"}]}");
		OperatorsFixture.Ctl[] watched = new OperatorsFixture.Ctl[1];
		Thread watcher = new Thread(() -> watched[0] = this.fixture.ctl("watch", "--since", "1", "--until", "4"));
		watcher.start();
		apply("t4", MODEL.replace("\"m\"", "\"o\""));
		this.fixture.takeIntoForce();
		watcher.join(30_000);
		assertThat(watched[0].exit()).as(watched[0].err()).isEqualTo(ExitCode.DONE);
		assertThat(watched[0].out().lines().map((line) -> line.replaceAll(",\"resource\".*", ""))).containsExactly(
				"{\"revision\":2,\"kind\":\"Model\",\"name\":\"n\",\"change\":\"changed\"",
				"{\"revision\":3,\"kind\":\"Model\",\"name\":\"m\",\"change\":\"deleted\"}",
				"{\"revision\":4,\"kind\":\"Model\",\"name\":\"o\",\"change\":\"changed\"");
	}

	// -- TLS

	@Test
	void shouldServeOverTlsWhenTheSettingsSaySo() {
		String folder = "../rosemaryfront-wire/src/test/resources/tls/";
		OperatorSettings settings = new OperatorSettings("127.0.0.1", 0, List.of(Sha256.hex(OperatorsFixture.KEY)),
				new TlsSettings(folder + "first.pem", folder + "first.key", ""));
		try (OperatorServer server = OperatorServer.start(settings, this.fixture.store(), this.fixture.entry())) {
			String url = "https://" + server.address();
			assertThat(this.fixture.ctlAt(url, "get", "--trust", folder + "authority.pem").exit())
				.isEqualTo(ExitCode.DONE);
			assertThat(this.fixture.ctlAt(url, "get").exit()).isEqualTo(ExitCode.UNREACHABLE);
			assertThat(this.fixture.ctlAt(url.replace("https", "http"), "get").exit()).isEqualTo(ExitCode.UNREACHABLE);
		}
	}

	private OperatorsFixture.Reply apply(String transaction, String declaration) {
		return this.fixture.post("/apis/v1/apply",
				"{\"transaction\":\"" + transaction + "\",\"resources\":[" + declaration + "]}");
	}

}
