package org.rosemaryfront.ctl;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What a server answered.
 *
 * @param server the base URL of the server
 * @param status the HTTP status
 * @param body the JSON document, a missing node when there was none
 */
record Answer(String server, int status, JsonNode body) {

	private static final int OK = 200;

	private static final int UNAUTHORISED = 401;

	private static final int CONFLICT = 409;

	private static final int SERVER_ERROR = 500;

	/**
	 * The document of a call that succeeded.
	 * @return the document
	 * @throws CtlException when the server answered with an error
	 */
	JsonNode document() {
		if (this.status == OK) {
			return this.body;
		}
		throw CtlException.of((this.status == CONFLICT) ? ExitCode.CONFLICT : ExitCode.FAILED, message());
	}

	/**
	 * Whether another server may answer better.
	 * @return true for a failure of this server or of what is behind it
	 */
	boolean retryable() {
		return this.status >= SERVER_ERROR;
	}

	/**
	 * The error as a sentence for a person.
	 * @return the detail with what changed, or the status
	 */
	String message() {
		StringBuilder message = new StringBuilder(this.body.path("detail").asText("HTTP status " + this.status));
		for (JsonNode changed : this.body.path("changed")) {
			message.append("\n  ")
				.append(changed.path("kind").asText())
				.append('/')
				.append(changed.path("name").asText())
				.append(": expected version ")
				.append(changed.path("expected").asLong())
				.append(", found ")
				.append(changed.path("found").asLong());
		}
		if (this.status == UNAUTHORISED) {
			message.append("; give it by --key-file, --key or ROSEMARYFRONT_OPERATOR_KEY");
		}
		return message.toString();
	}

}
