package org.rosemaryfront.model;

import java.util.Arrays;
import java.util.Optional;

/**
 * The kinds of resource that operators declare.
 */
public enum Kind {

	/** A group of backend servers that serve the same models or the same service. */
	POOL("Pool"),

	/** A language model with its version. */
	MODEL("Model"),

	/** A fine-tuned adapter for a model. */
	ADAPTER("Adapter"),

	/** A customer with its bearer keys and its share of the capacity. */
	ORGANISATION("Organisation"),

	/** The latency limits for one class of requests. */
	LATENCY_TARGET("LatencyTarget");

	private final String label;

	Kind(String label) {
		this.label = label;
	}

	/**
	 * Returns the name of the kind in declarations.
	 * @return the name, such as {@code LatencyTarget}
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Finds a kind by its name in declarations.
	 * @param label the name in a declaration
	 * @return the kind, or empty if no kind has this name
	 */
	public static Optional<Kind> ofLabel(String label) {
		return Arrays.stream(values()).filter((kind) -> kind.label.equals(label)).findFirst();
	}

}
