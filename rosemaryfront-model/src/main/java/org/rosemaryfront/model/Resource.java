package org.rosemaryfront.model;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Something that operators declare.
 *
 * <pre>
 * {"kind": "Model", "name": "plaster", "spec": {"version": "1", "weightMegabytes": 800}}
 * </pre>
 */
public sealed interface Resource {

	/**
	 * The name, unique within the kind.
	 * @return the name
	 */
	String name();

	/**
	 * The identity of this resource.
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

	// -- variants

	/**
	 * A group of backend servers that serve the same thing.
	 *
	 * @param name the name
	 * @param serves what its backend servers are
	 * @param models names of the models it serves; empty for plain services
	 * @param zones the availability zones it may use, in no order
	 * @param machineClasses the machine classes it may use
	 * @param minimum the least number of backend servers in service
	 * @param maximum the greatest number of backend servers
	 * @param fencing whether its backend servers refuse orders with an old fencing number
	 * @param slotsPerServer streams or calls that one backend server runs at a time
	 * @param recomputedTokenWeight what a recomputed token costs in a recovery decision
	 * @param latenessWeight what a second of lateness costs in a recovery decision
	 * @param idempotentPaths for plain services: path prefixes whose POST calls may be
	 * repeated
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
	 * A fine-tuned addition to a model; callers name it in place of the model.
	 *
	 * @param name the name callers use
	 * @param model the name of the model it is for
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
	 * @param keyHashes SHA-256 of each bearer key, in lower case hexadecimal
	 * @param share its weight when organisations compete for the same backend servers
	 * @param pools names of the pools it may use
	 */
	record Organisation(String name, List<String> keyHashes, double share, List<String> pools) implements Resource {

		public Organisation {
			Objects.requireNonNull(name, "name is null");
			keyHashes = List.copyOf(keyHashes);
			pools = List.copyOf(pools);
		}

	}

	/**
	 * The latency that answers of one sort must keep; callers choose it by the field
	 * {@code service_tier}.
	 *
	 * @param name the name
	 * @param pool the name of the pool it holds for
	 * @param priority which requests go first
	 * @param firstTokenMillis the time to the first token, in milliseconds
	 * @param betweenTokensMillis the time between tokens, in milliseconds
	 * @param answerMillis the time to the whole answer, in milliseconds
	 * @param standard whether it holds for requests that name no target
	 */
	record LatencyTarget(String name, String pool, Priority priority, int firstTokenMillis, int betweenTokensMillis,
			int answerMillis, boolean standard) implements Resource {

		public LatencyTarget {
			Objects.requireNonNull(name, "name is null");
			Objects.requireNonNull(pool, "pool is null");
			Objects.requireNonNull(priority, "priority is null");
		}

	}

	/** What the backend servers of a pool are. */
	enum Serves {

		/** Model engines. */
		MODELS,

		/** Plain services, such as booking. */
		SERVICE

	}

	/** Whether backend servers check the fencing number of an order. */
	enum Fencing {

		/** They refuse an order that carries an old number. */
		CHECKED,

		/** They take any order. */
		IGNORED

	}

	/** Which requests go first. */
	enum Priority {

		/** A person waits for each token. */
		CHAT,

		/** The answer may take its time. */
		SUMMARY

	}

	/**
	 * A resource together with the version of its last change.
	 *
	 * @param resource the resource
	 * @param version the configuration revision that last changed it
	 */
	record Versioned(Resource resource, long version) {

		public Versioned {
			Objects.requireNonNull(resource, "resource is null");
		}

		/**
		 * The resource when it is of the given type.
		 * @param <T> the type
		 * @param type the class of the type
		 * @return the resource, empty when it is of another type
		 */
		public <T extends Resource> Optional<T> as(Class<T> type) {
			return type.isInstance(this.resource) ? Optional.of(type.cast(this.resource)) : Optional.empty();
		}

	}

}
