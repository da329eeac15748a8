package org.rosemaryfront.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against renamed metrics, which dashboards no longer find. */
class MetricNamesTests {

	private static final List<String> NAMES = List.of("gauges/bytes.held", "gauges/callers.connections",
			"gauges/callers.turned.away", "gauges/warm.up.calls", "gauges/calls.waiting",
			"gauges/configuration.proven.millis", "gauges/control.lag.millis", "gauges/log.dropped",
			"gauges/requests.held", "gauges/segments.held", "gauges/servers.backoff", "gauges/servers.connections",
			"gauges/servers.connections.opened", "gauges/servers.limited", "gauges/servers.out.of.reach",
			"gauges/servers.proven.millis", "gauges/servers.reads.paced", "gauges/servers.stated.leaving",
			"gauges/admission.refused.LATE", "gauges/admission.refused.LESS_URGENT",
			"gauges/admission.refused.OVER_SHARE", "gauges/speeds.invalid", "gauges/store.generation",
			"gauges/streams.origins", "gauges/streams.origins.evicted", "gauges/streams.origins.known.millis",
			"gauges/tunnels.open", "counters/calls.answered.200", "counters/calls.refused.404",
			"counters/platform.calls.feed", "counters/platform.calls.check", "counters/platform.calls.range",
			"counters/platform.calls.point-read", "counters/platform.calls.lease-write",
			"counters/platform.calls.usage-write", "counters/platform.calls.directory-write",
			"counters/platform.calls.crash-write", "counters/platform.calls.rollout-write",
			"counters/platform.calls.other-write", "counters/platform.calls.usage-report",
			"counters/platform.calls.order", "counters/platform.calls.ok", "counters/platform.calls.condition-failed",
			"counters/platform.calls.refused", "counters/platform.calls.turned-away",
			"counters/platform.calls.no-answer", "counters/servers.responses.framed.length",
			"counters/servers.unreadable", "histograms/calls.answer.millis.IDEMPOTENT",
			"histograms/calls.first.millis.IDEMPOTENT");

	@Test
	void shouldKeepNamesOfMetricsWhenCallsAreAnsweredAndRefused() throws IOException {
		try (GatewayHarness gateway = GatewayHarness.start();
				ScriptedServer _ = gateway.startServer((request, exchange) -> exchange.ok(request, "x"))) {
			gateway.store.put(GatewayHarness.SERVERS, "s9", "unreadable");
			assertThat(gateway.send(RawCaller.get("c1", "/sheets/")).status()).isEqualTo(200);
			assertThat(gateway.send(RawCaller.get("c2", "/nowhere/")).status()).isEqualTo(404);
			GatewayHarness.await(() -> names(gateway).size() >= NAMES.size());
			assertThat(names(gateway)).containsExactlyInAnyOrderElementsOf(NAMES);
		}
	}

	private static List<String> names(GatewayHarness gateway) {
		try {
			JsonNode metrics = gateway.metrics();
			List<String> names = new ArrayList<>();
			metrics.properties()
				.forEach((kind) -> kind.getValue()
					.fieldNames()
					.forEachRemaining((name) -> names.add(kind.getKey() + '/' + name)));
			return names;
		}
		catch (IOException ex) {
			return List.of();
		}
	}

}
