package org.rosemaryfront.platform;

import java.util.Objects;

/**
 * Where the platform is and how long a call to it may take.
 *
 * @param url the base URL, such as {@code http://127.0.0.1:8080}
 * @param timeoutMillis the longest time of one call, in milliseconds; 0 takes
 * {@link #DEFAULT_TIMEOUT_MILLIS}
 */
public record PlatformSettings(String url, long timeoutMillis) {

	/**
	 * The longest time of one call when the settings name none, in milliseconds: several
	 * times an answer within one region, and short enough for several tries in a lease.
	 */
	public static final long DEFAULT_TIMEOUT_MILLIS = 1000;

	public PlatformSettings {
		Objects.requireNonNull(url, "url is null");
		if (timeoutMillis < 0) {
			throw new IllegalArgumentException("timeoutMillis is " + timeoutMillis + ", must be 0 or more");
		}
		if (timeoutMillis == 0) {
			timeoutMillis = DEFAULT_TIMEOUT_MILLIS;
		}
	}

}
