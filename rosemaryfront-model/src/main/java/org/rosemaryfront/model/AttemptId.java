package org.rosemaryfront.model;

import java.util.Objects;

/**
 * Identifies an attempt to run a request on one backend server.
 *
 * @param value the text form
 */
public record AttemptId(String value) implements Comparable<AttemptId> {

	public AttemptId {
		Objects.requireNonNull(value, "value is null");
	}

	@Override
	public int compareTo(AttemptId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
