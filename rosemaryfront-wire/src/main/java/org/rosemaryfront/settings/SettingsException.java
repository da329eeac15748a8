package org.rosemaryfront.settings;

/**
 * A settings file that cannot be used; the message names the place and what is allowed.
 */
public final class SettingsException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	SettingsException(String message) {
		super(message);
	}

}
