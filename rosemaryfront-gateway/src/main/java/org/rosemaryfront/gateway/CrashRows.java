package org.rosemaryfront.gateway;

import java.util.Locale;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.core.type.TypeReference;

import org.rosemaryfront.crashes.Crash;
import org.rosemaryfront.crashes.Evidence;
import org.rosemaryfront.crashes.Evidence.State;
import org.rosemaryfront.crashes.RequestDigest;
import org.rosemaryfront.dispatch.BackendServer.Start;

/**
 * The rows about requests under which backend servers crash: one for each request and
 * server, and one for the trial of a request.
 */
final class CrashRows {

	static final String TABLE = "crashes";

	private static final String TRIAL = "trial";

	private static final TypeReference<CrashRow> CRASH_ROW = new TypeReference<>() {
	};

	private static final TypeReference<TrialRow> TRIAL_ROW = new TypeReference<>() {
	};

	private CrashRows() {
	}

	// The server's name can be as long as a key may be: its hash is in the key.
	static String key(Crash crash) {
		long server = Hashing.wyhashFinal4()
			.hashCharsToLong(crash.server().id() + '@' + crash.server().startedMillis());
		return crash.request().toString() + '/' + String.format(Locale.ROOT, "%016x", server);
	}

	static String trialKey(RequestDigest request) {
		return request.toString() + '/' + TRIAL;
	}

	static boolean isTrial(String key) {
		return key.endsWith('/' + TRIAL);
	}

	/**
	 * The request that a row is about.
	 * @param key the key of the row
	 * @return the request
	 * @throws IllegalArgumentException when the key names none
	 */
	static RequestDigest request(String key) {
		return RequestDigest.parse(key.substring(0, Math.max(0, key.indexOf('/'))));
	}

	static byte[] write(Evidence evidence, String gateway) {
		Start server = evidence.crash().server();
		return RowJson.write(new CrashRow(server.id(), server.startedMillis(), evidence.atMillis(),
				evidence.state() == State.CLEARED, gateway));
	}

	static byte[] writeTrial(String process) {
		return RowJson.write(new TrialRow(process));
	}

	/**
	 * Reads the row about the trial of a request.
	 * @param value its value
	 * @return the start of the gateway that has the trial
	 * @throws IllegalStateException when the value cannot be read
	 */
	static String readTrial(byte[] value) {
		return RowJson.read(value, TRIAL_ROW, "the row of a trial").gateway();
	}

	/**
	 * Reads a row about a crash.
	 * @param key the key of the row
	 * @param value its value
	 * @return the evidence
	 * @throws IllegalArgumentException when the key names no request
	 * @throws IllegalStateException when the value cannot be read
	 */
	static Evidence read(String key, byte[] value) {
		CrashRow row = RowJson.read(value, CRASH_ROW, "the row of a crash");
		Crash crash = new Crash(request(key), new Start(row.server(), row.startedMillis()));
		return new Evidence(crash, row.cleared() ? State.CLEARED : State.CONFIRMED, row.atMillis());
	}

	/**
	 * The value of a row.
	 *
	 * @param server the server that crashed
	 * @param startedMillis which start of it
	 * @param atMillis when its connection broke, in milliseconds since 1970
	 * @param cleared whether it does not speak against the request any more
	 * @param gateway who wrote the row
	 */
	private record CrashRow(String server, long startedMillis, long atMillis, boolean cleared, String gateway) {
	}

	/**
	 * The value of a row about a trial.
	 *
	 * @param gateway which start of a gateway has it
	 */
	private record TrialRow(String gateway) {
	}

}
