package org.rosemaryfront.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.rosemaryfront.routes.Organisation;

/**
 * What the callers of an organisation ask at all gateways.
 *
 * @param tokensPerSecond the tokens asked within the last second, refused calls included
 * @param weight the weight of the organisation, relative to the others
 */
public record OrganisationDemand(double tokensPerSecond, double weight) {

	/**
	 * Returns the demand of organisations, weighted by their quotas, or alike if not all
	 * of them have one.
	 * @param organisations the organisations
	 * @param requestedUnits the units requested within the last second by organisation
	 * @return the demand by organisation, without those that requested nothing
	 */
	public static Map<String, OrganisationDemand> of(List<Organisation> organisations,
			Map<String, Double> requestedUnits) {
		List<Organisation> asking = organisations.stream()
			.filter((organisation) -> requestedUnits.getOrDefault(organisation.name(), 0.0) != 0)
			.toList();
		boolean weighted = asking.stream().allMatch((organisation) -> organisation.unitsPerSecond() > 0);
		Map<String, OrganisationDemand> demands = new HashMap<>();
		asking.forEach((organisation) -> {
			double tokens = tokensPerUnit(organisation);
			demands.put(organisation.name(), new OrganisationDemand(requestedUnits.get(organisation.name()) * tokens,
					weighted ? organisation.unitsPerSecond() * tokens : 1));
		});
		return demands;
	}

	private static double tokensPerUnit(Organisation organisation) {
		return switch (organisation.quotaUnit()) {
			case TOKENS -> 1;
			case REQUESTS -> Math.max(1, organisation.defaultTokens());
		};
	}

	/**
	 * Returns whether both values can be used.
	 * @return false if one is out of range
	 */
	boolean isValid() {
		return Double.isFinite(this.tokensPerSecond) && this.tokensPerSecond >= 0 && Double.isFinite(this.weight)
				&& this.weight > 0;
	}

	double perWeight() {
		return this.tokensPerSecond / this.weight;
	}

}
