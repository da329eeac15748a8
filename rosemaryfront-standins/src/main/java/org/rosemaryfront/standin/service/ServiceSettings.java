package org.rosemaryfront.standin.service;

import java.util.Objects;

import org.rosemaryfront.standin.http.StandInServer.ListenSettings;

/**
 * The settings of a stand-in booking service; the schema {@code standin-service.json}
 * describes them.
 *
 * @param listen where it listens
 * @param platform the base URL of the platform, empty to boot at once without one
 * @param zone its availability zone
 * @param machineClass its machine class
 * @param delayMillis the time that a booking takes, in milliseconds
 */
public record ServiceSettings(ListenSettings listen, String platform, String zone, String machineClass,
		long delayMillis) {

	public ServiceSettings {
		Objects.requireNonNull(listen, "listen is null");
		Objects.requireNonNull(zone, "zone is null");
		platform = Objects.requireNonNullElse(platform, "");
		machineClass = Objects.requireNonNullElse(machineClass, "service");
	}

	/**
	 * A service on any free port that boots at once, for tests.
	 * @param delayMillis the time that a booking takes, in milliseconds
	 * @return the settings
	 */
	public static ServiceSettings local(long delayMillis) {
		return new ServiceSettings(new ListenSettings("127.0.0.1", 0), "", "zone-a", null, delayMillis);
	}

}
