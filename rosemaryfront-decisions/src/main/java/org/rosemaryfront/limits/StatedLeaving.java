package org.rosemaryfront.limits;

import java.util.List;

/** Whether a backend server states in a response that it is leaving. */
public enum StatedLeaving {

	/** It states nothing. */
	NOT_STATED,

	/** It is leaving and takes no new requests. */
	LEAVING,

	/** It states something that cannot be parsed. */
	UNREADABLE;

	private static final String TRUE = "1";

	/**
	 * Parses the values of a header.
	 * @param values the values
	 * @return leaving if any value says so
	 */
	public static StatedLeaving parse(List<String> values) {
		if (values.isEmpty()) {
			return NOT_STATED;
		}
		return values.stream().map(String::trim).anyMatch(TRUE::equals) ? LEAVING : UNREADABLE;
	}

}
