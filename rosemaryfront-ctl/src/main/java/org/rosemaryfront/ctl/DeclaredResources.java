package org.rosemaryfront.ctl;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Reads the resources that are declared now.
 */
final class DeclaredResources {

	private DeclaredResources() {
	}

	/**
	 * Reads all resources.
	 * @param api the servers
	 * @return the document of the servers
	 * @throws CtlException when the servers can only tell what is in force, because the
	 * store cannot be reached
	 */
	static JsonNode read(OperatorApi api) {
		JsonNode document = api.get("/apis/v1/resources").document();
		if (!document.path("source").asText("declared").equals("declared")) {
			throw CtlException.of(ExitCode.FAILED,
					"the configuration store cannot be reached, so what is declared is unknown");
		}
		return document;
	}

}
