package org.rosemaryfront.model;

import java.util.Objects;

/**
 * Identifies a VM.
 *
 * @param value the text form
 */
public record VmId(String value) implements Comparable<VmId> {

	public VmId {
		Objects.requireNonNull(value, "value is null");
	}

	@Override
	public int compareTo(VmId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
