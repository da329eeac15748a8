package org.rosemaryfront.standin.net;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Stands between two processes of a test and damages their TCP connections.
 *
 * <p>
 * {@link #silence} is the failure in which something between the two ends has lost track
 * of the open connections: they stay open and carry nothing for good, while new ones
 * work.
 *
 * <pre>
 * try (Relay relay = Relay.start("127.0.0.1:4000")) {
 *     relay.silence();
 * }
 * </pre>
 */
public final class Relay implements AutoCloseable {

	private static final int BUFFER_BYTES = 16 * 1024;

	private final String target;

	private final ServerSocket server;

	private final Set<Pair> pairs = ConcurrentHashMap.newKeySet();

	private volatile boolean cut;

	private Relay(String target, ServerSocket server) {
		this.target = target;
		this.server = server;
	}

	// -- factories

	/**
	 * Starts a relay on a port that the system chooses.
	 * @param target {@code host:port} to pass connections on to
	 * @return the running relay
	 */
	public static Relay start(String target) {
		try {
			Relay relay = new Relay(target, new ServerSocket(0, 128, InetAddress.getLoopbackAddress()));
			Thread.ofVirtual().start(relay::acceptAll);
			return relay;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	// -- queries

	/**
	 * Where it listens.
	 * @return {@code host:port}
	 */
	public String address() {
		return "127.0.0.1:" + this.server.getLocalPort();
	}

	/**
	 * How many connections pass through it now.
	 * @return the number of connections that are neither closed nor silenced
	 */
	public long open() {
		return this.pairs.stream().filter((pair) -> !pair.silent).count();
	}

	// -- faults

	/** Closes all connections and accepts no new ones. */
	public void cut() {
		this.cut = true;
		this.pairs.forEach(Pair::close);
	}

	/** Accepts connections again. */
	public void heal() {
		this.cut = false;
	}

	/** Lets every open connection carry nothing from now on; new ones work. */
	public void silence() {
		this.pairs.forEach((pair) -> pair.silent = true);
	}

	@Override
	public void close() {
		cut();
		try {
			this.server.close();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private void acceptAll() {
		while (!this.server.isClosed()) {
			try {
				connect(this.server.accept());
			}
			catch (IOException ex) {
				if (this.server.isClosed()) {
					return;
				}
			}
		}
	}

	private void connect(Socket near) throws IOException {
		if (this.cut) {
			near.close();
			return;
		}
		Socket far = new Socket();
		try {
			int colon = this.target.lastIndexOf(':');
			far.connect(new InetSocketAddress(this.target.substring(0, colon),
					Integer.parseInt(this.target.substring(colon + 1))), 2000);
		}
		catch (IOException ex) {
			near.close();
			far.close();
			return;
		}
		Pair pair = new Pair(near, far);
		this.pairs.add(pair);
		Thread.ofVirtual().start(() -> pump(pair, near, far));
		Thread.ofVirtual().start(() -> pump(pair, far, near));
	}

	private void pump(Pair pair, Socket from, Socket to) {
		byte[] buffer = new byte[BUFFER_BYTES];
		try {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
				if (!pair.silent) {
					out.write(buffer, 0, count);
				}
			}
		}
		catch (IOException ex) {
			// One end closed; both are closed below.
		}
		if (!pair.silent) {
			this.pairs.remove(pair);
			pair.close();
		}
	}

	private static final class Pair {

		private final Socket near;

		private final Socket far;

		private volatile boolean silent;

		private Pair(Socket near, Socket far) {
			this.near = near;
			this.far = far;
		}

		private void close() {
			closeQuietly(this.near);
			closeQuietly(this.far);
		}

		private static void closeQuietly(Socket socket) {
			try {
				socket.close();
			}
			catch (IOException ex) {
				// The socket is of no further use either way.
			}
		}

	}

}
