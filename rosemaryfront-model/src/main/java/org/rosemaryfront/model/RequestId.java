package org.rosemaryfront.model;

import java.util.Objects;

/**
 * Identifies a caller's request.
 *
 * @param value the text form
 */
public record RequestId(String value) implements Comparable<RequestId> {

	public RequestId {
		Objects.requireNonNull(value, "value is null");
	}

	@Override
	public int compareTo(RequestId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
