package org.rosemaryfront.routes;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class TrafficConfigurationTests {

	private static final ServiceSpec BOOKING = new ServiceSpec("booking", 10, Optional.empty(), Optional.empty());

	private static final Organisation SFAX = new Organisation("sfax", List.of("key-1", "key-2"), OptionalInt.empty(), 0,
			0, Organisation.QuotaUnit.REQUESTS, 1);

	private final TrafficConfiguration configuration = TrafficConfiguration.of(7,
			List.of(route("all", "a.example", "/"), route("visits", "a.example", "/visits/"),
					route("sheets", "a.example", "/visits/sheets/"), route("other", "b.example", "/visits/")),
			List.of(BOOKING), List.of(SFAX), CallerLimits.INITIAL);

	@ParameterizedTest
	@CsvSource({ "a.example, /visits/sheets/1, sheets", "a.example, /visits/1, visits", "a.example, /visits, all",
			"a.example, /x, all", "b.example, /visits/1, other" })
	void shouldChooseLongestPrefixWhenSeveralRoutesMatch(String host, String path, String name) {
		assertThat(this.configuration.route(host, path).map(Route::name)).contains(name);
	}

	@ParameterizedTest
	@CsvSource({ "c.example, /visits/1", "b.example, /x" })
	void shouldFindNoRouteWhenNothingMatches(String host, String path) {
		assertThat(this.configuration.route(host, path)).isEmpty();
	}

	@Test
	void shouldReturnRoutesOfAllHosts() {
		List<Route> routes = List.of(route("r1", "a.example", "/"), route("r2", "a.example", "/b/"),
				route("r3", "b.example", "/"));
		assertThat(TrafficConfiguration.of(8, routes, List.of(BOOKING), List.of(), CallerLimits.INITIAL).routes())
			.containsExactlyInAnyOrderElementsOf(routes);
	}

	@Test
	void shouldFindOrganisationWhenKeyIsOneOfItsKeys() {
		assertThat(this.configuration.organisation("key-2")).contains(SFAX);
		assertThat(this.configuration.organisation("key-3")).isEmpty();
	}

	// If an operator misspells a service, every call of the route would fail with an
	// internal error; the previous configuration must stay in force instead.
	@Test
	void shouldRejectRouteWhenServiceIsNotDeclared() {
		assertThatIllegalArgumentException()
			.isThrownBy(() -> TrafficConfiguration.of(8, List.of(route("r", "a.example", "/")), List.of(), List.of(),
					CallerLimits.INITIAL))
			.withMessageContaining("booking");
	}

	@ParameterizedTest
	@CsvSource({ "0, a", "0.89, a", "0.9, b", "0.999, b" })
	void shouldSelectServiceByWeight(double draw, String service) {
		Route route = new Route("r", "h", "/", CallKind.STREAMING, 1_000, 500, 0,
				List.of(new Route.Target("a", 90), new Route.Target("b", 10)), 1, false, false);
		assertThat(route.selectService(draw)).isEqualTo(service);
	}

	@ParameterizedTest
	@CsvSource({ "IDEMPOTENT, false, true", "NON_IDEMPOTENT, false, false", "NON_IDEMPOTENT, true, false",
			"STREAMING, false, false", "STREAMING, true, true" })
	void shouldBeRetryableWhenCallMayRunTwice(CallKind kind, boolean resumable, boolean repeatable) {
		Route route = new Route("r", "h", "/", kind, 1_000, 500, 0, List.of(new Route.Target("a", 1)), 2, false,
				resumable);
		assertThat(route.retryable()).isEqualTo(repeatable);
	}

	private static Route route(String name, String host, String prefix) {
		return new Route(name, host, prefix, CallKind.IDEMPOTENT, 1_000, 500, 0,
				List.of(new Route.Target("booking", 1)), 1, false, false);
	}

}
