package org.rosemaryfront.settings;

/**
 * Thrown if a settings file cannot be used. The message names the location and what is
 * allowed there.
 */
public final class SettingsException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	SettingsException(String message) {
		super(message);
	}

}
