package org.rosemaryfront.admission;

import java.util.List;
import java.util.Map;
import java.util.OptionalInt;

import org.junit.jupiter.api.Test;

import org.rosemaryfront.routes.CallKind;
import org.rosemaryfront.routes.Organisation;
import org.rosemaryfront.routes.Organisation.QuotaUnit;
import org.rosemaryfront.routes.Route;

import static org.assertj.core.api.Assertions.assertThat;

class AdmissionInputsTests {

	@Test
	void shouldWeightDemandByQuotaInTokens() {
		List<Organisation> organisations = List.of(organisation("sfax", 2_000, QuotaUnit.TOKENS, OptionalInt.empty()),
				organisation("bizerte", 5, QuotaUnit.REQUESTS, OptionalInt.empty()),
				organisation("idle", 0, QuotaUnit.TOKENS, OptionalInt.empty()));
		assertThat(OrganisationDemand.of(organisations, Map.of("sfax", 500.0, "bizerte", 3.0, "unknown", 9.0)))
			.isEqualTo(Map.of("sfax", new OrganisationDemand(500, 2_000), "bizerte",
					new OrganisationDemand(1_200, 2_000)));
	}

	@Test
	void shouldWeightDemandAlikeWhenAnOrganisationHasNoQuota() {
		List<Organisation> organisations = List.of(organisation("sfax", 2_000, QuotaUnit.TOKENS, OptionalInt.empty()),
				organisation("bizerte", 0, QuotaUnit.TOKENS, OptionalInt.empty()));
		assertThat(OrganisationDemand.of(organisations, Map.of("sfax", 500.0, "bizerte", 70.0)))
			.isEqualTo(Map.of("sfax", new OrganisationDemand(500, 1), "bizerte", new OrganisationDemand(70, 1)));
	}

	@Test
	void shouldUseShortestTargetOfMostUrgentRoutes() {
		List<Route> routes = List.of(route(1, 300, "a"), route(0, 900, "a"), route(0, 800, "a"), route(2, 4_000, "b"));
		assertThat(UrgentTarget.byService(routes, List.of()))
			.isEqualTo(Map.of("a", new UrgentTarget(0, 800), "b", new UrgentTarget(2, 4_000)));
	}

	@Test
	void shouldUseShortestTargetWhenOrganisationOverridesPriority() {
		List<Route> routes = List.of(route(1, 300, "a"), route(1, 900, "a"));
		List<Organisation> organisations = List.of(organisation("sfax", 0, QuotaUnit.TOKENS, OptionalInt.of(0)));
		assertThat(UrgentTarget.byService(routes, organisations)).containsEntry("a", new UrgentTarget(0, 300));
	}

	private static Organisation organisation(String name, double perSecond, QuotaUnit unit, OptionalInt priority) {
		return new Organisation(name, List.of(name), priority, perSecond, 50, unit, 400);
	}

	private static Route route(int priority, long targetMillis, String service) {
		return new Route("r", "h", "/", CallKind.STREAMING, 10_000, targetMillis, priority,
				List.of(new Route.Target(service, 1)), 1, false, false);
	}

}
