package org.rosemaryfront.standin.net;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.IntStream;

/**
 * Ports of the loopback address that a test may bind later. None of them is one that the
 * system chooses: it gives the same ones to outgoing connections of all processes, and
 * one that was free a moment ago is taken at times when it is bound.
 */
public final class FreePorts {

	private static final int FIRST = 20_000;

	/** Where the ports begin that the system gives to outgoing connections. */
	private static final int FIRST_OF_SYSTEM = 32_768;

	private static final int TRIES = 100;

	/** A port that was found free must not be found free again. */
	private static final Set<Integer> CHOSEN = ConcurrentHashMap.newKeySet();

	private FreePorts() {
	}

	/**
	 * Finds a port for connections and datagrams.
	 * @return the port
	 */
	public static int one() {
		return row(1);
	}

	/**
	 * Finds ports that follow one another.
	 * @param count how many
	 * @return the first one
	 */
	public static int row(int count) {
		for (int i = 0; i < TRIES; i++) {
			int first = ThreadLocalRandom.current().nextInt(FIRST, FIRST_OF_SYSTEM - count);
			if (IntStream.range(first, first + count).allMatch(FreePorts::isFree)) {
				return first;
			}
		}
		throw new IllegalStateException("no ports are free");
	}

	private static boolean isFree(int port) {
		return CHOSEN.add(port) && isUnbound(port);
	}

	/**
	 * Returns whether nothing is bound to a port, of any process. Sockets that allow
	 * others beside them count as well, although they do not listen.
	 * @param port the port
	 * @return whether it can be bound
	 */
	static boolean isUnbound(int port) {
		InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
		try (ServerSocket connections = new ServerSocket(); DatagramSocket _ = new DatagramSocket(address)) {
			connections.setReuseAddress(false);
			connections.bind(address, 1);
			return true;
		}
		catch (IOException ex) {
			return false;
		}
	}

}
