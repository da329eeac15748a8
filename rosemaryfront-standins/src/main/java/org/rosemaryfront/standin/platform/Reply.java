package org.rosemaryfront.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;

import org.rosemaryfront.platform.PlatformCodec;

/**
 * An answer of the stand-in platform.
 *
 * @param status the HTTP status
 * @param type the content type
 * @param body the body
 */
record Reply(int status, String type, byte[] body) {

	static Reply bytes(byte[] content) {
		return new Reply(200, "application/octet-stream", content);
	}

	static Reply done() {
		return new Reply(204, "", new byte[0]);
	}

	static Reply json(int status, JsonNode document) {
		return new Reply(status, "application/json", PlatformCodec.bytes(document));
	}

	static Reply missing() {
		return json(404, PlatformCodec.object().put("code", "not-found"));
	}

	/**
	 * An answer to a call that had no effect.
	 * @param status the HTTP status
	 * @param code the code of the reason
	 * @param detail the reason
	 * @return the answer
	 */
	static Reply notApplied(int status, String code, String detail) {
		return json(status, PlatformCodec.object().put("applied", false).put("code", code).put("detail", detail));
	}

}
