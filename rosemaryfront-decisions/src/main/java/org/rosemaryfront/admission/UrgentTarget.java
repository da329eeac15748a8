package org.rosemaryfront.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.function.BinaryOperator;

import org.rosemaryfront.routes.Organisation;
import org.rosemaryfront.routes.Route;

/**
 * The target of the most urgent calls of a service.
 *
 * @param priority their priority
 * @param millis the latency target, in milliseconds
 */
public record UrgentTarget(int priority, long millis) {

	private static final Comparator<UrgentTarget> BY_URGENCY = Comparator.comparingInt(UrgentTarget::priority)
		.thenComparingLong(UrgentTarget::millis);

	/**
	 * Returns the targets of services. An organisation whose priority overrides that of
	 * routes may call each of them.
	 * @param routes the routes
	 * @param organisations the organisations
	 * @return the targets by service
	 */
	public static Map<String, UrgentTarget> byService(List<Route> routes, List<Organisation> organisations) {
		OptionalInt overriding = organisations.stream()
			.flatMapToInt((organisation) -> organisation.priority().stream())
			.min();
		Map<String, UrgentTarget> targets = new HashMap<>();
		for (Route route : routes) {
			int priority = Math.min(route.priority(), overriding.orElse(route.priority()));
			UrgentTarget target = new UrgentTarget(priority, route.targetMillis());
			route.targets()
				.forEach((service) -> targets.merge(service.service(), target, BinaryOperator.minBy(BY_URGENCY)));
		}
		return targets;
	}

}
