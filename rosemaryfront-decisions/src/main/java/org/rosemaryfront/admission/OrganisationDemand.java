package org.rosemaryfront.admission;

/**
 * What the callers of an organisation ask at all gateways.
 *
 * @param tokensPerSecond the tokens asked within the last second, refused calls included
 * @param weight the weight of the organisation, relative to the others
 */
public record OrganisationDemand(double tokensPerSecond, double weight) {

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
