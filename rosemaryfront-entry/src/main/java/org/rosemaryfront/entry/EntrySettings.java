package org.rosemaryfront.entry;

import java.util.List;
import java.util.Objects;

import org.rosemaryfront.model.VmId;
import org.rosemaryfront.platform.PlatformSettings;
import org.rosemaryfront.services.ServiceCallSettings;
import org.rosemaryfront.tls.TlsSettings;

/**
 * The settings of an entry process. The schema {@code /schema/entry.json} describes each
 * of them with unit, default and reason.
 *
 * @param vm the VM it runs on
 * @param region the region
 * @param zone the availability zone
 * @param platform the platform's service
 * @param callers the callers' listener
 * @param operators the operators' listener
 * @param peers the peers' listener
 * @param limits limits on callers
 * @param streams how answers are kept and read
 * @param watch how backend servers are watched
 * @param engines the connections to engines
 * @param services the calls to plain services
 * @param stop the graceful stop
 */
public record EntrySettings(String vm, String region, String zone, Platform platform, Listener callers,
		Operators operators, Listener peers, Limits limits, Streams streams, Watch watch, Engines engines,
		Services services, Stop stop) {

	public EntrySettings {
		Objects.requireNonNull(vm, "vm is null");
		Objects.requireNonNull(region, "region is null");
		Objects.requireNonNull(zone, "zone is null");
		Objects.requireNonNull(platform, "platform is null");
		Objects.requireNonNull(callers, "callers is null");
		Objects.requireNonNull(operators, "operators is null");
		Objects.requireNonNull(peers, "peers is null");
		limits = Objects.requireNonNullElse(limits, new Limits(0, 0, 0, 0, 0));
		streams = Objects.requireNonNullElse(streams, new Streams(0, 0, 0, 0, 0));
		watch = Objects.requireNonNullElse(watch, new Watch(0, 0, 0, 0, 0, 0));
		engines = Objects.requireNonNullElse(engines, new Engines(0, 0));
		services = Objects.requireNonNullElse(services, new Services(0, 0, 0, 0, null, 0, 0, null, 0, null));
		stop = Objects.requireNonNullElse(stop, new Stop(null, 0, 0, 0, 0));
	}

	private static int or(int value, int standard) {
		return (value > 0) ? value : standard;
	}

	/**
	 * The platform's service.
	 *
	 * @param url the base URL
	 * @param timeoutMillis the limit of a call, in milliseconds
	 */
	public record Platform(String url, int timeoutMillis) {

		public Platform {
			timeoutMillis = or(timeoutMillis, (int) PlatformSettings.DEFAULT_TIMEOUT_MILLIS);
		}

	}

	/**
	 * A listener.
	 *
	 * @param host the address to listen on, an IP number
	 * @param port the port, 0 to let the system choose
	 * @param tls the TLS of the listener
	 */
	public record Listener(String host, int port, TlsSettings tls) {

		public Listener {
			tls = Objects.requireNonNullElse(tls, TlsSettings.none());
		}

	}

	/**
	 * The operators' listener.
	 *
	 * @param host the address to listen on, an IP number
	 * @param port the port, 0 to let the system choose
	 * @param keyHashes SHA-256 of each operator key, in lower case hexadecimal
	 * @param tls the TLS of the listener
	 */
	public record Operators(String host, int port, List<String> keyHashes, TlsSettings tls) {

		public Operators {
			tls = Objects.requireNonNullElse(tls, TlsSettings.none());
			keyHashes = (keyHashes != null) ? List.copyOf(keyHashes) : List.of();
		}

	}

	/**
	 * Limits on callers.
	 *
	 * @param bodyBytes the greatest request body, in bytes
	 * @param headerBytes the greatest request head, in bytes
	 * @param bodyMillis the time for a request body to arrive, in milliseconds
	 * @param openRequests the greatest number of open requests
	 * @param connections the greatest number of connections
	 */
	public record Limits(int bodyBytes, int headerBytes, int bodyMillis, int openRequests, int connections) {

		public Limits {
			bodyBytes = or(bodyBytes, 1024 * 1024);
			headerBytes = or(headerBytes, 16 * 1024);
			bodyMillis = or(bodyMillis, 10_000);
			openRequests = or(openRequests, 1_000);
			connections = or(connections, 2_000);
		}

	}

	/**
	 * How answers are kept and read.
	 *
	 * @param graceMillis how long a request goes on without a caller, in milliseconds
	 * @param retentionMillis how long an ended answer stays, in milliseconds
	 * @param retentionBytes the memory of all ended answers, in bytes
	 * @param heartbeatMillis the time without a token until a heartbeat, in milliseconds
	 * @param stallMillis how long a caller may take nothing, in milliseconds
	 */
	public record Streams(int graceMillis, int retentionMillis, int retentionBytes, int heartbeatMillis,
			int stallMillis) {

		public Streams {
			graceMillis = or(graceMillis, 15_000);
			retentionMillis = or(retentionMillis, 60_000);
			retentionBytes = or(retentionBytes, 8 * 1024 * 1024);
			heartbeatMillis = or(heartbeatMillis, 1_000);
			stallMillis = or(stallMillis, 30_000);
		}

	}

	/**
	 * How backend servers are watched.
	 *
	 * @param vmListMillis the time between two reads of the VM list, in milliseconds
	 * @param noticesMillis the time between two reads of notices, in milliseconds
	 * @param fleetPollsPerSecond how often all entries together poll each of the two
	 * @param loadPollsPerSecond load reports read a second
	 * @param cachePollsPerSecond reads of cache events a second
	 * @param pollTimeoutMillis the limit of a poll, in milliseconds
	 */
	public record Watch(int vmListMillis, int noticesMillis, int fleetPollsPerSecond, int loadPollsPerSecond,
			int cachePollsPerSecond, int pollTimeoutMillis) {

		public Watch {
			vmListMillis = or(vmListMillis, 1_000);
			noticesMillis = or(noticesMillis, 500);
			fleetPollsPerSecond = or(fleetPollsPerSecond, 20);
			loadPollsPerSecond = or(loadPollsPerSecond, 4);
			cachePollsPerSecond = or(cachePollsPerSecond, 2);
			pollTimeoutMillis = or(pollTimeoutMillis, 2_000);
		}

	}

	/**
	 * The connections to engines.
	 *
	 * @param connectTimeoutMillis the limit of making a connection, in milliseconds
	 * @param silenceMillis how long a stream may carry nothing, in milliseconds
	 */
	public record Engines(int connectTimeoutMillis, int silenceMillis) {

		public Engines {
			connectTimeoutMillis = or(connectTimeoutMillis, 500);
			silenceMillis = or(silenceMillis, 1_000);
		}

	}

	/**
	 * The calls to plain services.
	 *
	 * @param callMillis the time from the arrival of a call to its final answer, in
	 * milliseconds
	 * @param storeMillis the part of it kept for storing the outcome, in milliseconds
	 * @param connectMillis the time to open a connection, in milliseconds
	 * @param waitMillis how long a repeat waits for the running call, in milliseconds
	 * @param groupMillis how long a claim write waits for others to share its
	 * transaction, in milliseconds; 0 sends each alone
	 * @param requestBytes the largest body of a call, in bytes
	 * @param answerBytes the largest answer of a call that is not idempotent, in bytes
	 * @param outcomeBytes the largest answer kept for repeats, in bytes
	 * @param openCalls the greatest number of open calls that are not idempotent
	 * @param retriesPerCall the greatest number of further backend servers tried
	 */
	public record Services(int callMillis, int storeMillis, int connectMillis, int waitMillis, Integer groupMillis,
			int requestBytes, int answerBytes, Integer outcomeBytes, int openCalls, Integer retriesPerCall) {

		public Services {
			callMillis = or(callMillis, 20_000);
			storeMillis = or(storeMillis, 2_000);
			connectMillis = or(connectMillis, 1_000);
			waitMillis = or(waitMillis, 15_000);
			groupMillis = Objects.requireNonNullElse(groupMillis, 3);
			requestBytes = or(requestBytes, 1024 * 1024);
			answerBytes = or(answerBytes, 4 * 1024 * 1024);
			outcomeBytes = Objects.requireNonNullElse(outcomeBytes, 64 * 1024);
			openCalls = or(openCalls, 4_000);
			retriesPerCall = Objects.requireNonNullElse(retriesPerCall, 2);
			if (storeMillis >= callMillis) {
				throw new IllegalArgumentException("/services/storeMillis: must be less than callMillis");
			}
		}

		ServiceCallSettings forEntry(VmId vm, String zone) {
			return new ServiceCallSettings(vm, zone, this.callMillis, this.storeMillis, this.connectMillis,
					this.waitMillis, this.groupMillis, this.requestBytes, this.answerBytes, this.outcomeBytes,
					this.openCalls, this.retriesPerCall);
		}

	}

	/**
	 * The graceful stop.
	 *
	 * @param acceptMillis how long the listener still accepts, in milliseconds
	 * @param drainMillis how long open requests may finish here, in milliseconds
	 * @param handoverMillis the limit of handing one request to one peer, in milliseconds
	 * @param lingerMillis how long callers may take what is left, in milliseconds
	 * @param lastMillis how long hand-offs are repeated and calls to plain services
	 * waited for, in milliseconds
	 */
	public record Stop(Integer acceptMillis, int drainMillis, int handoverMillis, int lingerMillis, int lastMillis) {

		public Stop {
			acceptMillis = Objects.requireNonNullElse(acceptMillis, 2_000);
			drainMillis = or(drainMillis, 5_000);
			handoverMillis = or(handoverMillis, 2_000);
			lingerMillis = or(lingerMillis, 1_000);
			lastMillis = or(lastMillis, 20_000);
		}

	}

}
