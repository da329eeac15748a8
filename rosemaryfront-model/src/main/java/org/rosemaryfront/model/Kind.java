package org.rosemaryfront.model;

import java.util.Arrays;
import java.util.Optional;

/**
 * The kinds of resource that operators declare.
 */
public enum Kind {

	/** A group of backend servers that serve the same thing. */
	POOL("Pool"),

	/** A language model with its version. */
	MODEL("Model"),

	/** A fine-tuned addition to a model. */
	ADAPTER("Adapter"),

	/** A customer with its keys and share. */
	ORGANISATION("Organisation"),

	/** The latency that answers of one sort must keep. */
	LATENCY_TARGET("LatencyTarget");

	private final String label;

	Kind(String label) {
		this.label = label;
	}

	/**
	 * The name of the kind in declarations.
	 * @return the name, such as {@code LatencyTarget}
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Finds the kind with a name.
	 * @param label the name in a declaration
	 * @return the kind, empty when no kind has the name
	 */
	public static Optional<Kind> ofLabel(String label) {
		return Arrays.stream(values()).filter((kind) -> kind.label.equals(label)).findFirst();
	}

}
