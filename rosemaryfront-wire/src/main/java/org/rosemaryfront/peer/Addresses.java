package org.rosemaryfront.peer;

import java.net.InetAddress;
import java.net.InetSocketAddress;

import io.netty.util.NetUtil;

/**
 * Turns {@code host:port} into socket addresses and back. Hosts are IP numbers: an
 * address that a datagram names must never make the control thread wait for a name
 * service.
 */
public final class Addresses {

	private Addresses() {
	}

	/**
	 * Reads an address.
	 * @param address {@code host:port}, the host an IP number
	 * @return the socket address
	 * @throws IllegalArgumentException when it is none
	 */
	public static InetSocketAddress parse(String address) {
		int colon = address.lastIndexOf(':');
		if (colon <= 0) {
			throw new IllegalArgumentException("'" + address + "' is no host:port");
		}
		String host = address.substring(0, colon).replace("[", "").replace("]", "");
		InetAddress ip = NetUtil.createInetAddressFromIpAddressString(host);
		if (ip == null) {
			throw new IllegalArgumentException("'" + address + "' has no IP number");
		}
		return new InetSocketAddress(ip, Integer.parseInt(address.substring(colon + 1)));
	}

	/**
	 * Reads an address that connections are opened to.
	 * @param address {@code host:port}, the host an IP number
	 * @return the socket address
	 * @throws IllegalArgumentException when it is none, or its port is 0
	 */
	public static InetSocketAddress parseRemote(String address) {
		InetSocketAddress parsed = parse(address);
		if (parsed.getPort() == 0) {
			throw new IllegalArgumentException("'" + address + "' has port 0");
		}
		return parsed;
	}

	/**
	 * Writes an address.
	 * @param address a socket address with an IP number
	 * @return {@code host:port}
	 */
	public static String format(InetSocketAddress address) {
		String host = address.getAddress().getHostAddress();
		return ((host.indexOf(':') >= 0) ? "[" + host + "]" : host) + ":" + address.getPort();
	}

}
