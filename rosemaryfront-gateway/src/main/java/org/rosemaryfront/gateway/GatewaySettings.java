package org.rosemaryfront.gateway;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;

/**
 * The settings of a gateway process, supplied by the machine that it runs on.
 *
 * @param name the name of this process's VM
 * @param zone its availability zone
 * @param zones all availability zones
 * @param callers the address that accepts callers' connections
 * @param readiness the address of the load balancer's readiness probe
 * @param readinessPath the path of that probe
 * @param metrics the address that serves metrics
 * @param peers the address that receives datagrams of other gateways
 * @param tunnels the address that accepts calls of other gateways
 * @param firstStart whether the whole system starts for the first time, so that no
 * process can have held the duties before
 * @param warmUp whether the process sends calls through itself before it is ready, where
 * the whole system starts for the first time
 * @param bounds the time limits and shares that users rely on
 */
public record GatewaySettings(String name, String zone, List<String> zones, InetSocketAddress callers,
		InetSocketAddress readiness, String readinessPath, InetSocketAddress metrics, InetSocketAddress peers,
		InetSocketAddress tunnels, boolean firstStart, boolean warmUp, Bounds bounds) {

	public GatewaySettings {
		Objects.requireNonNull(name, "name is null");
		zones = List.copyOf(zones);
	}

	/**
	 * The limits that users rely on.
	 *
	 * @param drainMillis the time from a stop signal to the kill, in milliseconds
	 * @param balancerMillis how long callers may still connect after the stop signal, in
	 * milliseconds: the load balancer removes a process only after several failed
	 * readiness probes
	 * @param retryShare the maximum ratio of retried calls to all calls
	 * @param retryFixed the number of retries per window that are allowed in addition to
	 * that share, for all processes together
	 * @param retryWindowMillis the window of retries, in milliseconds
	 * @param quotaWindowMillis the window of quotas, in milliseconds
	 * @param quotaSlack how much an organisation may use above its quota in a window, in
	 * units
	 * @param usageWindowMillis the window of usage reports, in milliseconds
	 * @param changeMillis the maximum time until a leaving server receives no more calls
	 * and a new configuration is in force, in milliseconds
	 * @param heartbeatMillis the interval between heartbeats of a server's registration,
	 * in milliseconds
	 * @param exposureShare the maximum share of a service's calls that may go to a
	 * failing version of its servers
	 */
	public record Bounds(long drainMillis, long balancerMillis, double retryShare, double retryFixed,
			long retryWindowMillis, long quotaWindowMillis, double quotaSlack, long usageWindowMillis,
			long changeMillis, long heartbeatMillis, double exposureShare) {
	}

}
