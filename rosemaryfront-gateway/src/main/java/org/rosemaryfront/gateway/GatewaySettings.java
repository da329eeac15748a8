package org.rosemaryfront.gateway;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;

/**
 * What a gateway process is told by the machine that it runs on.
 *
 * @param name the name of this process's VM
 * @param zone its availability zone
 * @param zones all availability zones
 * @param callers where callers connect
 * @param readiness where the balancer asks whether callers may come
 * @param readinessPath the path of that question
 * @param metrics where metrics are served
 * @param peers where datagrams of other gateways arrive
 * @param bounds the times and shares that its users count on
 */
public record GatewaySettings(String name, String zone, List<String> zones, InetSocketAddress callers,
		InetSocketAddress readiness, String readinessPath, InetSocketAddress metrics, InetSocketAddress peers,
		Bounds bounds) {

	public GatewaySettings {
		Objects.requireNonNull(name, "name is null");
		zones = List.copyOf(zones);
	}

	/**
	 * The bounds.
	 *
	 * @param drainMillis the time from a stop signal to the kill, in milliseconds
	 * @param balancerMillis how long callers may still come after the stop signal: the
	 * balancer takes a process out after some misses of its question, in milliseconds
	 * @param retryShare the calls that may be sent again, as a share of all
	 * @param retryFixed the calls that may be sent again beside the share, in a window,
	 * by all processes together
	 * @param retryWindowMillis that window, in milliseconds
	 * @param quotaWindowMillis the window of quotas, in milliseconds
	 * @param quotaSlack what an organisation may use beside its quota in a window, in
	 * units
	 * @param usageWindowMillis the window of usage reports, in milliseconds
	 * @param changeMillis within which a server that leaves gets no more calls, and a new
	 * configuration is in force, in milliseconds
	 * @param heartbeatMillis the time between two heartbeats of a server's registration,
	 * in milliseconds
	 * @param exposureShare the part of a service's calls that a bad version of its
	 * servers may get
	 */
	public record Bounds(long drainMillis, long balancerMillis, double retryShare, double retryFixed,
			long retryWindowMillis, long quotaWindowMillis, double quotaSlack, long usageWindowMillis,
			long changeMillis, long heartbeatMillis, double exposureShare) {
	}

}
