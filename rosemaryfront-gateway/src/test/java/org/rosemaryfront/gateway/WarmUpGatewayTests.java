package org.rosemaryfront.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.rosemaryfront.routes.CallerLimits;

import static org.assertj.core.api.Assertions.assertThat;

class WarmUpGatewayTests {

	private static final List<String> COUNTED = List.of("calls.", "servers.responses", "streams.told", "quota");

	// Guards against a warm-up whose calls no server answers, so that nothing gets warm.
	@ParameterizedTest
	@ValueSource(ints = { 2, 40 })
	void shouldAnswerCallsOfEachKind(int calls) throws IOException {
		try (WarmUpGateway path = WarmUpGateway.open(GatewayHarness.settings(), new PlainCodecs())) {
			for (int i = 0; i < calls; i++) {
				path.call(i);
			}
		}
	}

	// Guards against made-up calls that reach a backend server, the store, usage reports
	// or a count.
	@Test
	void shouldReachNothingOutsideWhenGatewayWarmsUp() throws IOException {
		try (GatewayHarness gateway = GatewayHarness.startFirst();
				ScriptedServer server = ScriptedServer.start((request, socket) -> {
				})) {
			gateway.declare(GatewayHarness.configuration(1, CallerLimits.INITIAL, GatewayHarness.organisation(0)))
				.register("s1", server)
				.ready();
			assertThat(gateway.metric("gauges", "warm.up.calls")).isPositive();
			assertThat(server.connections()).isZero();
			assertThat(counters(gateway)).noneMatch((name) -> COUNTED.stream().anyMatch(name::startsWith));
			assertThat(gateway.metric("gauges", "callers.connections")).isZero();
			assertThat(gateway.metric("gauges", "servers.connections.opened")).isZero();
			assertThat(gateway.duties.usages()).noneMatch((usage) -> usage.counts().containsKey("warm-up"));
			assertThat(gateway.store.rows(GatewayDirectory.TABLE)).containsOnlyKeys("gateway-1");
			assertThat(gateway.store.rows(CrashRows.TABLE)).isEmpty();
		}
	}

	private static List<String> counters(GatewayHarness gateway) throws IOException {
		JsonNode counters = gateway.metrics().path("counters");
		List<String> names = new ArrayList<>();
		counters.fieldNames().forEachRemaining(names::add);
		return names;
	}

}
