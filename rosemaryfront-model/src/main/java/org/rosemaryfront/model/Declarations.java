package org.rosemaryfront.model;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Validates a change as a whole against the configuration to which it applies.
 *
 * <p>
 * Fields are checked on the changed resources only. References are checked on the whole
 * resulting configuration, so that a deletion cannot leave a dangling reference.
 *
 * <pre>
 * List&lt;String&gt; errors = Declarations.validate(configuration, List.of(pool), List.of());
 * // Pool/assistant spec.models[0]: Model/plaster is not declared; declared are: none
 * </pre>
 */
public final class Declarations {

	/** The maximum number of servers in a pool and of slots on a server. */
	public static final int MAX_POOL_SIZE = 10_000;

	/** The maximum latency of a latency target: one day, in milliseconds. */
	public static final int MAX_LATENCY_MILLIS = 86_400_000;

	/** The maximum size of a set of weights: ten terabytes, in megabytes. */
	public static final int MAX_WEIGHT_MEGABYTES = 10_000_000;

	/** The maximum of an organisation's share and of a weight in recovery decisions. */
	public static final double MAX_FACTOR = 1_000_000;

	private static final Pattern NAME = Pattern.compile("[a-z0-9-]{1,63}");

	private static final Pattern VERSION = Pattern.compile("[A-Za-z0-9._-]{1,63}");

	private static final Pattern KEY_HASH = Pattern.compile("[0-9a-f]{64}");

	private static final Pattern PATH = Pattern.compile("[!-.0-~][!-~]{0,199}");

	private final Configuration result;

	private final List<String> errors = new ArrayList<>();

	private Declarations(Configuration result) {
		this.result = result;
	}

	/**
	 * Validates a change.
	 * @param base the configuration before the change
	 * @param changed the resources to create or replace
	 * @param deleted the resources to delete
	 * @return one message for each violated rule, with the path of the field and the
	 * allowed values; empty if the change is valid
	 */
	public static List<String> validate(Configuration base, Collection<? extends Resource> changed,
			Collection<ResourceKey> deleted) {
		Objects.requireNonNull(base, "base is null");
		Objects.requireNonNull(changed, "changed is null");
		Objects.requireNonNull(deleted, "deleted is null");
		Declarations check = new Declarations(base.with(base.revision() + 1, changed, deleted));
		check.requireUniqueKeys(changed, deleted);
		changed.forEach(check::checkFields);
		check.result.resources().values().forEach((versioned) -> check.checkReferences(versioned.resource()));
		check.checkUniqueness();
		return List.copyOf(check.errors);
	}

	// -- field checks

	private void checkFields(Resource resource) {
		require(NAME.matcher(resource.name()).matches(), resource.key() + " name",
				"allowed are 1 to 63 lower case letters, digits and hyphens");
		switch (resource) {
			case Resource.Pool pool -> checkPool(pool);
			case Resource.Model model -> checkWeights(model.key(), model.version(), model.weightMegabytes());
			case Resource.Adapter adapter -> checkWeights(adapter.key(), adapter.version(), adapter.weightMegabytes());
			case Resource.Organisation organisation -> checkOrganisation(organisation);
			case Resource.LatencyTarget target -> checkTarget(target);
		}
	}

	private void checkOrganisation(Resource.Organisation organisation) {
		requireFactor(organisation.key(), "share", organisation.share());
		require(organisation.share() > 0, fieldPath(organisation.key(), "share"), "allowed is a number above 0");
		requireEach(organisation.key(), "keyHashes", organisation.keyHashes(), KEY_HASH,
				"allowed is a SHA-256 as 64 lower case hexadecimal digits");
	}

	private void checkPool(Resource.Pool pool) {
		ResourceKey key = pool.key();
		boolean service = pool.serves() == Resource.Serves.SERVICE;
		require(service == pool.models().isEmpty(), fieldPath(key, "models"), service
				? "a pool of plain services must list no models" : "a pool of model engines must list at least one");
		requireNotEmpty(key, "zones", pool.zones());
		requireNotEmpty(key, "machineClasses", pool.machineClasses());
		requireEach(key, "zones", pool.zones(), NAME, "allowed are 1 to 63 lower case letters, digits and hyphens");
		requireEach(key, "machineClasses", pool.machineClasses(), VERSION,
				"allowed are 1 to 63 letters, digits, dots, hyphens and underscores");
		requireRange(key, "maximum", pool.maximum(), 1, MAX_POOL_SIZE);
		requireRange(key, "minimum", pool.minimum(), 0, Math.max(0, pool.maximum()));
		requireRange(key, "slotsPerServer", pool.slotsPerServer(), 1, MAX_POOL_SIZE);
		requireFactor(key, "recomputedTokenWeight", pool.recomputedTokenWeight());
		requireFactor(key, "latenessWeight", pool.latenessWeight());
		require(service || pool.idempotentPaths().isEmpty(), fieldPath(key, "idempotentPaths"),
				"only a pool of plain services may have them");
		requireEach(key, "idempotentPaths", pool.idempotentPaths(), PATH,
				"allowed are 1 to 200 visible characters without a leading slash");
	}

	private void checkTarget(Resource.LatencyTarget target) {
		requireRange(target.key(), "firstTokenMillis", target.firstTokenMillis(), 1, MAX_LATENCY_MILLIS);
		requireRange(target.key(), "betweenTokensMillis", target.betweenTokensMillis(), 1, MAX_LATENCY_MILLIS);
		requireRange(target.key(), "answerMillis", target.answerMillis(), 1, MAX_LATENCY_MILLIS);
	}

	private void checkWeights(ResourceKey key, String version, int weightMegabytes) {
		require(VERSION.matcher(version).matches(), fieldPath(key, "version"),
				"allowed are 1 to 63 letters, digits, dots, hyphens and underscores");
		requireRange(key, "weightMegabytes", weightMegabytes, 1, MAX_WEIGHT_MEGABYTES);
	}

	// -- reference and uniqueness checks

	private void checkUniqueness() {
		Map<String, String> keyOwners = new HashMap<>();
		Map<String, String> standardTargets = new HashMap<>();
		Map<String, String> poolsByModel = new HashMap<>();
		this.result.all(Resource.Organisation.class)
			.forEach((organisation) -> organisation.keyHashes()
				.forEach((hash) -> requireSingleOwner(keyOwners, hash, organisation.name(),
						fieldPath(organisation.key(), "keyHashes"),
						"a key of this organisation belongs to organisation")));
		this.result.all(Resource.LatencyTarget.class)
			.filter(Resource.LatencyTarget::standard)
			.forEach((target) -> requireSingleOwner(standardTargets, target.pool(), target.name(),
					fieldPath(target.key(), "standard"),
					"pool '" + target.pool() + "' has the standard latency target"));
		this.result.all(Resource.Pool.class)
			.forEach((pool) -> pool.models()
				.forEach((model) -> requireSingleOwner(poolsByModel, model, pool.name(),
						fieldPath(pool.key(), "models"), "model '" + model + "' is served by pool")));
		this.result.all(Resource.Adapter.class)
			.forEach((adapter) -> require(this.result.find(Resource.Model.class, adapter.name()).isEmpty(),
					adapter.key() + " name", "a model has the same name; names of models and adapters must differ"));
	}

	private void checkReferences(Resource resource) {
		switch (resource) {
			case Resource.Pool pool -> requireDeclared(pool.key(), "models", pool.models(), Resource.Model.class);
			case Resource.Model _ -> {
			}
			case Resource.Adapter adapter ->
				requireDeclared(adapter.key(), "model", adapter.model(), Resource.Model.class);
			case Resource.Organisation organisation ->
				requireDeclared(organisation.key(), "pools", organisation.pools(), Resource.Pool.class);
			case Resource.LatencyTarget target ->
				requireDeclared(target.key(), "pool", target.pool(), Resource.Pool.class);
		}
	}

	private <T extends Resource> void requireDeclared(ResourceKey key, String field, List<String> names,
			Class<T> type) {
		requireDistinct(key, field, names);
		for (int i = 0; i < names.size(); i++) {
			requireDeclared(key, field + "[" + i + "]", names.get(i), type);
		}
	}

	private <T extends Resource> void requireDeclared(ResourceKey key, String field, String name, Class<T> type) {
		if (this.result.find(type, name).isEmpty()) {
			List<String> declared = this.result.all(type).map(Resource::name).toList();
			this.errors.add(fieldPath(key, field) + ": " + type.getSimpleName() + "/" + name
					+ " is not declared; declared are: " + (declared.isEmpty() ? "none" : String.join(", ", declared)));
		}
	}

	private static String fieldPath(ResourceKey key, String field) {
		return key + " spec." + field;
	}

	private void require(boolean condition, String path, String constraint) {
		if (!condition) {
			this.errors.add(path + ": " + constraint);
		}
	}

	private void requireDistinct(ResourceKey key, String field, List<String> values) {
		Set<String> seen = new HashSet<>();
		for (int i = 0; i < values.size(); i++) {
			require(seen.add(values.get(i)), fieldPath(key, field + "[" + i + "]"),
					"'" + values.get(i) + "' is listed twice; only one entry is allowed");
		}
	}

	private void requireEach(ResourceKey key, String field, List<String> values, Pattern pattern, String constraint) {
		for (int i = 0; i < values.size(); i++) {
			require(pattern.matcher(values.get(i)).matches(), fieldPath(key, field + "[" + i + "]"), constraint);
		}
		requireDistinct(key, field, values);
	}

	private void requireFactor(ResourceKey key, String field, double value) {
		require(Double.isFinite(value) && value >= 0 && value <= MAX_FACTOR, fieldPath(key, field),
				value + " is out of range; allowed is 0 to " + (long) MAX_FACTOR);
	}

	private void requireSingleOwner(Map<String, String> owners, String value, String owner, String path,
			String detail) {
		String other = owners.putIfAbsent(value, owner);
		require(other == null || other.equals(owner), path, detail + " '" + other + "' already; only one is allowed");
	}

	private void requireUniqueKeys(Collection<? extends Resource> changed, Collection<ResourceKey> deleted) {
		Set<ResourceKey> seen = new HashSet<>();
		changed.forEach((resource) -> require(seen.add(resource.key()), resource.key().toString(),
				"is listed twice in the change; only one entry is allowed"));
		deleted.forEach((key) -> require(seen.add(key), key.toString(),
				"is listed twice in the change; only one entry is allowed"));
	}

	private void requireRange(ResourceKey key, String field, int value, int min, int max) {
		require(value >= min && value <= max, fieldPath(key, field),
				value + " is out of range; allowed is " + min + " to " + max);
	}

	private void requireNotEmpty(ResourceKey key, String field, List<String> values) {
		require(!values.isEmpty(), fieldPath(key, field), "allowed is a list of at least one name");
	}

}
