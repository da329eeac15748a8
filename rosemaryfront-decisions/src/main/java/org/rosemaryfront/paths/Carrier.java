package org.rosemaryfront.paths;

/**
 * Another gateway that can carry calls to backend servers.
 *
 * @param gateway its name
 * @param address the address at which it accepts tunnels, {@code host:port}
 * @param zone its availability zone, empty while it is unknown
 * @param serversOutOfReach the number of servers that it does not reach itself
 */
public record Carrier(String gateway, String address, String zone, int serversOutOfReach) {
}
