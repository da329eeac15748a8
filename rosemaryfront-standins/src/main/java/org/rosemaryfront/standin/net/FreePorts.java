package org.rosemaryfront.standin.net;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
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
		if (!CHOSEN.add(port)) {
			return false;
		}
		try (ServerSocket _ = new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
				DatagramSocket _ = new DatagramSocket(port, InetAddress.getLoopbackAddress())) {
			return true;
		}
		catch (IOException ex) {
			return false;
		}
	}

}
