package org.rosemaryfront.gateway;

import java.util.Locale;
import java.util.Objects;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.core.type.TypeReference;

import org.rosemaryfront.crashes.Crash;
import org.rosemaryfront.crashes.CrashSuspect;
import org.rosemaryfront.crashes.Evidence;
import org.rosemaryfront.crashes.Evidence.State;
import org.rosemaryfront.crashes.PromptSegment;
import org.rosemaryfront.crashes.RequestDigest;
import org.rosemaryfront.crashes.SegmentSuspect;
import org.rosemaryfront.dispatch.BackendServer.Incarnation;

/**
 * Keys and values of the rows about requests and segments of prompts under which backend
 * servers crash: one row for each of them and each server, and one for the probe of a
 * request.
 */
final class CrashRows {

	static final String TABLE = "crashes";

	private static final String PROBE = "trial";

	private static final String SEGMENT = "segment-";

	private static final TypeReference<CrashRow> CRASH_ROW = new TypeReference<>() {
	};

	private static final TypeReference<SegmentCrashRow> SEGMENT_CRASH_ROW = new TypeReference<>() {
	};

	private static final TypeReference<TrialRow> PROBE_ROW = new TypeReference<>() {
	};

	/** The latest time of a crash: the end of the year 2199. */
	private static final long MAX_AT_MILLIS = 7_258_118_400_000L;

	private CrashRows() {
	}

	// The server's name alone can be as long as the longest key allowed, so the key
	// contains its hash.
	static String key(Crash crash) {
		long server = Hashing.wyhashFinal4()
			.hashCharsToLong(crash.server().id() + '@' + crash.server().startedMillis());
		return suspect(crash.suspect()) + '/' + String.format(Locale.ROOT, "%016x", server);
	}

	private static String suspect(CrashSuspect suspect) {
		return switch (suspect) {
			case RequestDigest request -> request.toString();
			case SegmentSuspect segment -> SEGMENT + segment.segment().digest();
		};
	}

	static String probeKey(RequestDigest request) {
		return request.toString() + '/' + PROBE;
	}

	static boolean isProbe(String key) {
		return key.endsWith('/' + PROBE);
	}

	/**
	 * Returns the request that a row is about.
	 * @param key the key of the row
	 * @return the digest of the request
	 * @throws IllegalArgumentException if the key does not contain a digest
	 */
	static RequestDigest request(String key) {
		return RequestDigest.parse(key.substring(0, Math.max(0, key.indexOf('/'))));
	}

	static byte[] write(Evidence evidence, String gateway) {
		Incarnation server = evidence.crash().server();
		CrashRow row = new CrashRow(server.id(), server.startedMillis(), evidence.atMillis(),
				evidence.state() == State.CLEARED, gateway);
		return switch (evidence.crash().suspect()) {
			case RequestDigest _ -> RowJson.write(row);
			case SegmentSuspect suspect -> RowJson.write(new SegmentCrashRow(row, suspect.segment().service(),
					suspect.segment().id(), suspect.version(), evidence.request().toString()));
		};
	}

	static byte[] writeProbe(String process) {
		return RowJson.write(new TrialRow(process));
	}

	/**
	 * Reads the row of a request's probe.
	 * @param value the value of the row
	 * @return the gateway process that has the probe
	 * @throws IllegalStateException if the value cannot be parsed
	 */
	static String readProbe(byte[] value) {
		return RowJson.read(value, PROBE_ROW, "probe row").gateway();
	}

	/**
	 * Reads the row of a crash.
	 * @param key the key of the row
	 * @param value the value of the row
	 * @return the evidence
	 * @throws IllegalArgumentException if the key does not contain a digest
	 * @throws IllegalStateException if the value cannot be parsed
	 */
	static Evidence read(String key, byte[] value) {
		if (key.startsWith(SEGMENT)) {
			SegmentCrashRow row = RowJson.read(value, SEGMENT_CRASH_ROW, "crash row");
			return evidence(row.crash(),
					new SegmentSuspect(PromptSegment.of(row.service(), row.segment()), row.version()),
					RequestDigest.parse(row.request()));
		}
		RequestDigest request = request(key);
		return evidence(RowJson.read(value, CRASH_ROW, "crash row"), request, request);
	}

	private static Evidence evidence(CrashRow row, CrashSuspect suspect, RequestDigest request) {
		Crash crash = new Crash(suspect, new Incarnation(row.server(), row.startedMillis()));
		return new Evidence(crash, row.cleared() ? State.CLEARED : State.CONFIRMED, row.atMillis(), request);
	}

	/**
	 * The value of the row of a crash.
	 *
	 * @param server the identifier of the server that crashed
	 * @param startedMillis when that server process started, in milliseconds since 1970
	 * @param atMillis when its connection broke, in milliseconds since 1970
	 * @param cleared whether the crash no longer counts against the request
	 * @param gateway the gateway process that wrote the row
	 */
	private record CrashRow(String server, long startedMillis, long atMillis, boolean cleared, String gateway) {

		private CrashRow {
			Objects.requireNonNull(server, "server is null");
			if (startedMillis < 0 || atMillis < 0 || atMillis > MAX_AT_MILLIS) {
				throw new IllegalArgumentException("a time is out of range");
			}
		}

	}

	/**
	 * The value of the row of a crash under a segment.
	 *
	 * @param crash the crash
	 * @param service the service of the prompts
	 * @param segment the segment
	 * @param version the software version of the server
	 * @param request the digest of the request that had the segment
	 */
	private record SegmentCrashRow(CrashRow crash, String service, String segment, String version, String request) {

		private SegmentCrashRow {
			Objects.requireNonNull(crash, "crash is null");
			Objects.requireNonNull(service, "service is null");
			Objects.requireNonNull(segment, "segment is null");
			Objects.requireNonNull(version, "version is null");
			Objects.requireNonNull(request, "request is null");
		}

	}

	/**
	 * The value of the row of a probe.
	 *
	 * @param gateway the gateway process that has the probe
	 */
	private record TrialRow(String gateway) {

		private TrialRow {
			Objects.requireNonNull(gateway, "gateway is null");
		}

	}

}
