package org.rosemaryfront.standin.platform;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.node.LongNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

import org.rosemaryfront.model.VmId;
import org.rosemaryfront.platform.CloudClient.Listed;
import org.rosemaryfront.platform.CloudClient.Market;
import org.rosemaryfront.platform.CloudClient.Notice;
import org.rosemaryfront.platform.CloudClient.Purchase;
import org.rosemaryfront.platform.CloudClient.Vm;
import org.rosemaryfront.platform.CloudClient.VmState;
import org.rosemaryfront.platform.HttpPlatform;
import org.rosemaryfront.platform.PlatformException;
import org.rosemaryfront.platform.PlatformSettings;
import org.rosemaryfront.platform.TableClient.Condition;
import org.rosemaryfront.platform.TableClient.Outcome;
import org.rosemaryfront.platform.TableClient.Row;
import org.rosemaryfront.platform.TableClient.Transaction;
import org.rosemaryfront.platform.TableClient.Write;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

class PlatformServerTests {

	private static final Duration LIMIT = Duration.ofSeconds(20);

	private static final long TIMEOUT_MILLIS = 2000;

	private static final long POLL_MILLIS = 10;

	private final PlatformServer server = PlatformServer
		.start(StandinPlatformSettings.standard().rates(1000, 5000).times(0, 10, TIMEOUT_MILLIS));

	private final HttpPlatform platform = HttpPlatform.of(new PlatformSettings(this.server.url(), TIMEOUT_MILLIS));

	@AfterEach
	void stop() {
		this.platform.close();
		this.server.close();
	}

	// -- tables

	@Test
	void shouldKeepRowsWhenKeysHaveAnyCharacters() {
		List<String> keys = List.of("a b", "a+b", "a/b", "a%2Fb", "a?b&c=d#e", "Zoë", "..");
		keys.forEach((key) -> assertThat(commit(key, 0)).isInstanceOf(Outcome.Committed.class));
		keys.forEach((key) -> assertThat(this.platform.read("t", key).block(LIMIT)).map(Row::key).hasValue(key));
		assertThat(this.platform.scan("t", "a", "", 100).block(LIMIT)).extracting(Row::key)
			.containsExactly("a b", "a%2Fb", "a+b", "a/b", "a?b&c=d#e");
		assertThat(this.platform.read("t", "none").block(LIMIT)).isEmpty();
	}

	@Test
	void shouldLetOneWinWhenManyCommitOnOneVersion() {
		List<Outcome> outcomes = Flux.range(0, 40)
			.flatMap((_) -> this.platform.commit(transaction("k", 0)))
			.collectList()
			.block(LIMIT);
		long version = this.platform.read("t", "k").block(LIMIT).orElseThrow().version();
		assertThat(outcomes).containsOnlyOnce(new Outcome.Committed(List.of(version)));
		assertThat(outcomes).filteredOn((outcome) -> outcome instanceof Outcome.Conflict)
			.hasSize(39)
			.containsOnly(new Outcome.Conflict(List.of(new Condition("t", "k", version))));
	}

	// -- faults

	@ParameterizedTest(name = "{0}: {1}, written {2}")
	@CsvSource(delimiter = ';', textBlock = """
			{"kind": "outage"}; not-run; false
			{"kind": "outage", "mode": "hang"}; may-have-run; false
			{"kind": "lost-answer", "table": "t"}; may-have-run; true
			{"kind": "lost-answer", "mode": "hang"}; may-have-run; true
			{"kind": "slow", "delayMillis": 600000}; may-have-run; false
			""")
	void shouldGiveVerdictThatHoldsWhenCommitMeetsFault(String fault, String verdict, boolean written) {
		assertThat(commit("before", 0)).isInstanceOf(Outcome.Committed.class);
		assertThat(send("POST", "/standin/v1/faults", fault)).isEqualTo(204);
		PlatformException failure = catchThrowableOfType(PlatformException.class, () -> commit("k", 0));
		assertThat(failure).isNotNull().returns(verdict, (each) -> each.verdict().code());
		assertThat(send("DELETE", "/standin/v1/faults", "")).isEqualTo(204);
		assertThat(this.platform.read("t", "k").block(LIMIT).isPresent()).isEqualTo(written);
		assertThat(commit("after", 0)).isInstanceOf(Outcome.Committed.class);
	}

	@ParameterizedTest
	@CsvSource(delimiter = ';', textBlock = """
			/tables/v1/commit; {"conditions"
			/tables/v1/commit; []
			/tables/v1/commit; {"conditions": [], "writes": [{"table": "t", "key": "k"}]}
			/tables/v1/commit; {"conditions": [{"table": "t", "key": "k", "version": "1"}], "writes": []}
			/cloud/v1/vms; {"clientToken": "x", "pool": "p", "zone": "a", "machineClass": "c", "market": "cheap"}
			/standin/v1/faults; {"kind": "storm"}
			/standin/v1/faults; {"kind": "slow", "probability": 2}
			/standin/v1/slots; {"address": "x", "role": "king", "zone": "a", "machineClass": "c"}
			/standin/v1/reclaims; {"noticeMillis": 5}
			""")
	void shouldSayMalformedWhenDocumentIsWrong(String path, String body) {
		assertThat(send("POST", path, body)).isEqualTo(400);
		assertThat(commit("k", 0)).isInstanceOf(Outcome.Committed.class);
	}

	// -- cloud

	@Test
	void shouldBootAndHaltMachineWhenVmIsBoughtAndReclaimed() throws InterruptedException {
		List<String> posts = new CopyOnWriteArrayList<>();
		DisposableServer machine = machine(posts);
		String address = "127.0.0.1:" + machine.port();
		assertThat(send("POST", "/standin/v1/slots",
				"{\"address\": \"" + address + "\", \"role\": \"service\", \"zone\": \"a\", \"machineClass\": \"c\"}"))
			.isEqualTo(204);
		Vm vm = this.platform.buy(new Purchase("token", "pool", "a", "c", Market.RECLAIMABLE)).block(LIMIT);
		await(() -> vms().equals(List.of(VmState.RUNNING)));
		assertThat(posts).containsExactly("/standin/v1/boot {\"vm\":\"" + vm.id() + "\",\"pool\":\"pool\"}");
		assertThat(this.platform.vmList().block(LIMIT))
			.containsExactly(new Listed(vm.id(), "service", "pool", "a", address, false));
		assertThat(send("POST", "/standin/v1/reclaims", "{\"share\": 1.0, \"noticeMillis\": 300}")).isEqualTo(200);
		assertThat(this.platform.notices(0).block(LIMIT)).extracting(Notice::vm).containsExactly(vm.id());
		await(() -> posts.size() == 2);
		assertThat(posts).last().isEqualTo("/standin/v1/halt {\"vm\":\"" + vm.id() + "\"}");
		await(() -> vms().equals(List.of(VmState.GONE)));
		this.platform.release(vm.id()).block(LIMIT);
		this.platform.release(new VmId("unknown")).block(LIMIT);
		machine.disposeNow();
	}

	// -- help

	private static void await(Supplier<Boolean> condition) throws InterruptedException {
		long end = System.nanoTime() + LIMIT.toNanos();
		while (!condition.get()) {
			assertThat(System.nanoTime()).as("waited for too long").isLessThan(end);
			Thread.sleep(POLL_MILLIS);
		}
	}

	private Outcome commit(String key, long version) {
		return this.platform.commit(transaction(key, version)).block(LIMIT);
	}

	private static DisposableServer machine(List<String> posts) {
		return HttpServer.create()
			.host("127.0.0.1")
			.port(0)
			.handle((request, response) -> request.receive()
				.aggregate()
				.asString()
				.doOnNext((body) -> posts.add(request.uri() + " " + body))
				.then(Mono.from(response.status(204).send())))
			.bindNow();
	}

	private int send(String method, String path, String body) {
		try (HttpClient http = HttpClient.newHttpClient()) {
			HttpRequest request = HttpRequest.newBuilder(URI.create(this.server.url() + path))
				.method(method, HttpRequest.BodyPublishers.ofString(body))
				.build();
			return http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
		}
		catch (IOException | InterruptedException ex) {
			throw new AssertionError(ex);
		}
	}

	private static Transaction transaction(String key, long version) {
		return new Transaction(List.of(new Condition("t", key, version)),
				List.of(new Write("t", key, Optional.of(LongNode.valueOf(1)))));
	}

	private List<VmState> vms() {
		return this.platform.vms().block(LIMIT).stream().map(Vm::state).toList();
	}

}
