package org.rosemaryfront.peer;

import java.net.InetSocketAddress;

/**
 * Turns {@code host:port} into socket addresses and back; hosts are IP numbers.
 */
final class Addresses {

	private Addresses() {
	}

	static InetSocketAddress parse(String address) {
		int colon = address.lastIndexOf(':');
		if (colon <= 0) {
			throw new IllegalArgumentException("'" + address + "' is no host:port");
		}
		String host = address.substring(0, colon).replace("[", "").replace("]", "");
		return new InetSocketAddress(host, Integer.parseInt(address.substring(colon + 1)));
	}

	static String format(InetSocketAddress address) {
		String host = address.getAddress().getHostAddress();
		return ((host.indexOf(':') >= 0) ? "[" + host + "]" : host) + ":" + address.getPort();
	}

}
