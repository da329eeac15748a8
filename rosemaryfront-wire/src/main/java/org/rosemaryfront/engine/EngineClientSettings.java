package org.rosemaryfront.engine;

/**
 * Time limits towards engines.
 *
 * @param connectTimeoutMillis the time within which a connection must be made, in
 * milliseconds
 * @param silenceMillis the greatest time without any byte on a stream or an answer, in
 * milliseconds; engines send heartbeats every 250 ms
 */
public record EngineClientSettings(int connectTimeoutMillis, int silenceMillis) {

	private static final int CONNECT_TIMEOUT_MILLIS = 500;

	private static final int SILENCE_MILLIS = 1_000;

	public EngineClientSettings {
		if (connectTimeoutMillis <= 0 || silenceMillis <= 0) {
			throw new IllegalArgumentException("time limits must be positive");
		}
	}

	// -- factories

	/**
	 * Half a second to connect, four heartbeats of silence.
	 * @return the settings
	 */
	public static EngineClientSettings standard() {
		return new EngineClientSettings(CONNECT_TIMEOUT_MILLIS, SILENCE_MILLIS);
	}

}
