package org.rosemaryfront.ctl;

/**
 * How a command shows its result.
 */
enum OutputFormat {

	/** Aligned columns for a person. */
	TABLE,

	/** The server's JSON document. */
	JSON

}
