package org.rosemaryfront.model;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * A resource that operators declare.
 *
 * <pre>
 * {"kind": "Model", "name": "plaster", "spec": {"version": "1", "weightMegabytes": 800}}
 * </pre>
 */
public sealed interface Resource {

	/**
	 * Returns the name of this resource.
	 * @return the name, unique within the kind
	 */
	String name();

	/**
	 * Returns the key of this resource.
	 * @return the kind and the name
	 */
	default ResourceKey key() {
		Kind kind = switch (this) {
			case Pool _ -> Kind.POOL;
			case Model _ -> Kind.MODEL;
			case Adapter _ -> Kind.ADAPTER;
			case Organisation _ -> Kind.ORGANISATION;
			case LatencyTarget _ -> Kind.LATENCY_TARGET;
		};
		return new ResourceKey(kind, name());
	}

	/**
	 * A group of backend servers that serve the same models or the same service.
	 *
	 * @param name the name
	 * @param serves whether its backend servers are model engines or plain services
	 * @param models the names of the models it serves; empty for plain services
	 * @param zones the availability zones it may use, in no particular order
	 * @param machineClasses the machine classes it may use
	 * @param minimum the minimum number of backend servers in service
	 * @param maximum the maximum number of backend servers
	 * @param fencing whether its backend servers reject orders with an outdated fencing
	 * number
	 * @param slotsPerServer the number of streams or calls that one backend server runs
	 * concurrently
	 * @param recomputedTokenWeight the cost of a recomputed token in a recovery decision
	 * @param latenessWeight the cost of a second of lateness in a recovery decision
	 * @param idempotentPaths for plain services: the path prefixes whose POST calls may
	 * be retried
	 */
	record Pool(String name, Serves serves, List<String> models, List<String> zones, List<String> machineClasses,
			int minimum, int maximum, Fencing fencing, int slotsPerServer, double recomputedTokenWeight,
			double latenessWeight, List<String> idempotentPaths) implements Resource {

		public Pool {
			Objects.requireNonNull(name, "name is null");
			Objects.requireNonNull(serves, "serves is null");
			Objects.requireNonNull(fencing, "fencing is null");
			models = List.copyOf(models);
			zones = List.copyOf(zones);
			machineClasses = List.copyOf(machineClasses);
			idempotentPaths = List.copyOf(idempotentPaths);
		}

	}

	/**
	 * A language model.
	 *
	 * @param name the name callers use
	 * @param version the version of the weights
	 * @param weightMegabytes the size of the weights, in megabytes
	 */
	record Model(String name, String version, int weightMegabytes) implements Resource {

		public Model {
			Objects.requireNonNull(name, "name is null");
			Objects.requireNonNull(version, "version is null");
		}

	}

	/**
	 * A fine-tuned adapter for a model; callers request it by name in place of the model.
	 *
	 * @param name the name callers use
	 * @param model the name of the model that it adapts
	 * @param version the version of its weights
	 * @param weightMegabytes the size of its weights, in megabytes
	 */
	record Adapter(String name, String model, String version, int weightMegabytes) implements Resource {

		public Adapter {
			Objects.requireNonNull(name, "name is null");
			Objects.requireNonNull(model, "model is null");
			Objects.requireNonNull(version, "version is null");
		}

	}

	/**
	 * A customer.
	 *
	 * @param name the name
	 * @param keyHashes the SHA-256 of each bearer key, in lower case hexadecimal
	 * @param share its weight when organisations compete for the same backend servers
	 * @param pools the names of the pools it may use
	 */
	record Organisation(String name, List<String> keyHashes, double share, List<String> pools) implements Resource {

		public Organisation {
			Objects.requireNonNull(name, "name is null");
			keyHashes = List.copyOf(keyHashes);
			pools = List.copyOf(pools);
		}

	}

	/**
	 * The latency limits for one class of requests; callers select it with the field
	 * {@code service_tier}.
	 *
	 * @param name the name
	 * @param pool the name of the pool it applies to
	 * @param priority the scheduling priority of the requests
	 * @param firstTokenMillis the time to the first token, in milliseconds
	 * @param betweenTokensMillis the time between tokens, in milliseconds
	 * @param answerMillis the time to the complete response, in milliseconds
	 * @param standard whether it applies to requests that select no target
	 */
	record LatencyTarget(String name, String pool, Priority priority, int firstTokenMillis, int betweenTokensMillis,
			int answerMillis, boolean standard) implements Resource {

		public LatencyTarget {
			Objects.requireNonNull(name, "name is null");
			Objects.requireNonNull(pool, "pool is null");
			Objects.requireNonNull(priority, "priority is null");
		}

	}

	/** The type of the backend servers of a pool. */
	enum Serves {

		/** Model engines. */
		MODELS,

		/** Plain services, such as booking. */
		SERVICE

	}

	/** Whether backend servers check the fencing number of an order. */
	enum Fencing {

		/** They reject an order with an outdated fencing number. */
		CHECKED,

		/** They accept any order. */
		IGNORED

	}

	/** The scheduling priority of requests. */
	enum Priority {

		/** Interactive: a person waits for each token. */
		CHAT,

		/** Not interactive: the response may be delayed. */
		SUMMARY

	}

	/**
	 * A resource with the version of its last change.
	 *
	 * @param resource the resource
	 * @param version the configuration revision that last changed it
	 */
	record Versioned(Resource resource, long version) {

		public Versioned {
			Objects.requireNonNull(resource, "resource is null");
		}

		/**
		 * Returns the resource if it is of the given type.
		 * @param <T> the type
		 * @param type the class of the type
		 * @return the resource, or empty if it is of another type
		 */
		public <T extends Resource> Optional<T> as(Class<T> type) {
			return type.isInstance(this.resource) ? Optional.of(type.cast(this.resource)) : Optional.empty();
		}

	}

}
