package org.rosemaryfront.bench;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

import org.rosemaryfront.serving.ServingDecisions;
import org.rosemaryfront.serving.ServingFeature;
import org.rosemaryfront.serving.ServingParameters;

/**
 * A named choice of the policy's parts.
 *
 * @param name the name
 * @param features the parts that are on
 */
record Policy(String name, Set<ServingFeature> features) {

	static final Policy BASELINE = new Policy("baseline", Set.of());

	static final Policy CANDIDATE = new Policy("candidate", EnumSet.allOf(ServingFeature.class));

	// Every name: the baseline, the candidate, each part together with those before it,
	// and the candidate without each part.
	static List<Policy> all() {
		List<Policy> policies = new ArrayList<>(List.of(BASELINE, CANDIDATE));
		Set<ServingFeature> sofar = EnumSet.noneOf(ServingFeature.class);
		for (ServingFeature feature : ServingFeature.values()) {
			sofar.add(feature);
			policies.add(new Policy("upto-" + word(feature), EnumSet.copyOf(sofar)));
			Set<ServingFeature> others = EnumSet.allOf(ServingFeature.class);
			others.remove(feature);
			policies.add(new Policy("without-" + word(feature), others));
		}
		return policies;
	}

	private static String word(ServingFeature feature) {
		return feature.name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	ServingDecisions decisions(ServingParameters parameters, long seed) {
		return this.features.isEmpty() ? ServingDecisions.baseline(parameters, seed)
				: ServingDecisions.of(parameters.withFeatures(this.features), seed);
	}

}
