package org.rosemaryfront.controller;

import java.time.Duration;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.netty.http.client.HttpClient;

import org.rosemaryfront.engine.EngineClient;
import org.rosemaryfront.platform.CloudClient;
import org.rosemaryfront.standin.engine.OrderOutcome;
import org.rosemaryfront.standin.platform.InMemoryPlatform;
import org.rosemaryfront.tls.TlsSettings;

import static org.assertj.core.api.Assertions.assertThat;

/** Whole controllers before the stand-in platform and engines of the same process. */
class ControllerTests {

	private static final Duration LIMIT = Duration.ofSeconds(60);

	private final InMemoryPlatform platform = Fixtures.platform();

	// The bill shows two VMs for a pool of one: a holder wrote its intent and crashed
	// around the purchase. Its successor finds the intent and can't tell whether the
	// purchase arrived; it repeats it under the same token.
	@ParameterizedTest(name = "purchase arrived: {0}")
	@ValueSource(booleans = { true, false })
	void shouldBuyOneVmWhenHolderCrashesAtPurchase(boolean purchaseArrives) {
		InProcessEngines engines = InProcessEngines.of(true);
		CrashingPlatform crashing = new CrashingPlatform(this.platform, purchaseArrives);
		try (Controller first = Controller.start(Fixtures.parts("entry-1", crashing, crashing, engines), 1)) {
			first.configurationApplied(Fixtures.configuration("1", true));
			await("the crash", crashing::isCrashed);
			try (Controller second = start("entry-2", engines, 2)) {
				second.configurationApplied(Fixtures.configuration("1", true));
				await("the declared state", () -> isServing(engines, "m@1") && intents() == 0);
				assertThat(this.platform.vms().block()).singleElement()
					.extracting(CloudClient.Vm::clientToken)
					.isEqualTo(crashing.purchases().iterator().next());
				assertThat(second.status().join().fence()).isEqualTo(2);
			}
		}
	}

	// A model of the version before answers long after an update: an order of the holder
	// before was under way while a successor took over and updated the engine. An engine
	// that checks the fencing number refuses it; one that ignores it takes it, and the
	// successor sees the wrong state and orders again.
	@ParameterizedTest(name = "fencing checked: {0}")
	@ValueSource(booleans = { true, false })
	void shouldKeepDeclaredStateWhenStaleOrderArrives(boolean checked) {
		InProcessEngines engines = InProcessEngines.of(checked);
		try (Controller first = start("entry-1", engines, 1)) {
			first.configurationApplied(Fixtures.configuration("1", checked));
			await("version 1", () -> isServing(engines, "m@1"));
		}
		InProcessEngines.Sent old = engines.orders().getFirst();
		try (Controller second = start("entry-2", engines, 2)) {
			second.configurationApplied(Fixtures.configuration("2", checked));
			await("version 2", () -> isServing(engines, "m@2"));
			int before = engines.orders().size();
			OrderOutcome outcome = engines.deliver(old.address(), old.order());
			if (checked) {
				assertThat(outcome).isEqualTo(OrderOutcome.FENCED);
				assertThat(engines.models(old.address())).containsExactly("m@2");
			}
			else {
				assertThat(outcome).isEqualTo(OrderOutcome.TAKEN);
				assertThat(engines.models(old.address())).doesNotContain("m@2");
				await("the repair", () -> isServing(engines, "m@2"));
				List<EngineClient.EngineOrder> repairs = engines.orders()
					.stream()
					.skip(before)
					.map(InProcessEngines.Sent::order)
					.toList();
				assertThat(repairs).isNotEmpty().allMatch((order) -> order.fence() == 2);
			}
		}
	}

	@Test
	void shouldShowStateWhenStatusIsAsked() {
		InProcessEngines engines = InProcessEngines.of(true);
		boolean[] ready = new boolean[1];
		try (Controller controller = start("entry-1", engines, 1);
				StatusServer server = StatusServer.start(
						new ControllerSettings.Listener("127.0.0.1", 0, TlsSettings.none()), UnaryOperator.identity(),
						controller, () -> ready[0])) {
			assertThat(get(server, "/healthz")).startsWith("200 ");
			assertThat(get(server, "/readyz")).startsWith("503 ");
			ready[0] = true;
			assertThat(get(server, "/readyz")).startsWith("200 ");
			controller.configurationApplied(Fixtures.configuration("1", true));
			await("the declared state", () -> isServing(engines, "m@1"));
			await("the status", () -> get(server, "/status").contains("\"models\":[\"m@1\"]"));
			assertThat(get(server, "/status")).contains("\"holder\":\"entry-1\"", "\"held\":true", "load-first");
			assertThat(get(server, "/metrics")).contains("lease.held", "invariants.broken", "controller.tick");
		}
	}

	// -- shared

	private Controller start(String vm, InProcessEngines engines, long seed) {
		return Controller.start(Fixtures.parts(vm, this.platform, this.platform, engines), seed);
	}

	private boolean isServing(InProcessEngines engines, String model) {
		List<CloudClient.Vm> vms = this.platform.vms().block();
		return vms.size() == 1 && vms.getFirst().state() == CloudClient.VmState.RUNNING
				&& engines.models(vms.getFirst().address()).equals(List.of(model));
	}

	private int intents() {
		return IntentTable.of(this.platform).all().block().size();
	}

	private void await(String what, BooleanSupplier condition) {
		long end = System.nanoTime() + LIMIT.toNanos();
		while (!condition.getAsBoolean()) {
			assertThat(System.nanoTime()).as("no " + what + " within " + LIMIT).isLessThan(end);
			this.platform.tick();
			try {
				Thread.sleep(20);
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		}
	}

	private static String get(StatusServer server, String path) {
		return HttpClient.create()
			.get()
			.uri("http://" + server.address() + path)
			.responseSingle((response, body) -> body.asString().map((text) -> response.status().code() + " " + text))
			.block(LIMIT);
	}

}
