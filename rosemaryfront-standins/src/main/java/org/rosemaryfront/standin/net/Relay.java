package org.rosemaryfront.standin.net;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Stands between two processes of a test and damages their TCP connections.
 *
 * <p>
 * {@link #silence} is the failure in which something between the two ends has lost track
 * of the open connections: they stay open and carry nothing for good, while new ones
 * work. {@link #partition} is a network partition, which also affects new connections and
 * ends with {@link #heal}.
 *
 * <pre>
 * try (Relay relay = Relay.start("127.0.0.1:4000")) {
 *     relay.silence();
 * }
 * </pre>
 */
public final class Relay implements AutoCloseable {

	private static final int BUFFER_BYTES = 16 * 1024;

	private static final int BACKLOG = 128;

	private static final int CONNECT_MILLIS = 2_000;

	/** How long a port that another process uses is awaited. */
	private static final long BIND_NANOS = TimeUnit.SECONDS.toNanos(10);

	private static final long BIND_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	/** A connection attempt that takes longer found the accept queue full. */
	private static final int FULL_QUEUE_MILLIS = 100;

	private final String target;

	private final int port = FreePorts.one();

	private final Set<Pair> pairs = ConcurrentHashMap.newKeySet();

	/** The connections that fill the accept queue, so that no other one is accepted. */
	private final List<Socket> queued = new ArrayList<>();

	private volatile ServerSocket listener;

	/** Keeps the port while connections are refused. */
	private Optional<Socket> reservation = Optional.empty();

	/** The thread that accepts connections, unless none are accepted. */
	private Optional<Thread> accepting = Optional.empty();

	private volatile boolean cut;

	/** The partition in progress; guarded by this object. */
	private Optional<Partition> partition = Optional.empty();

	private Relay(String target) {
		this.target = target;
	}

	// -- factories

	/**
	 * Starts a relay on a free port.
	 * @param target {@code host:port} to pass connections on to
	 * @return the running relay
	 */
	public static Relay start(String target) {
		Relay relay = new Relay(target);
		relay.listen();
		return relay;
	}

	// -- queries

	/**
	 * Where it listens.
	 * @return {@code host:port}
	 */
	public String address() {
		return "127.0.0.1:" + this.port;
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

	/** Lets every open connection carry nothing from now on; new ones work. */
	public void silence() {
		this.pairs.forEach((pair) -> pair.silent = true);
	}

	/**
	 * Starts a partition.
	 * @param kind how it shows
	 */
	public synchronized void partition(Partition kind) {
		heal();
		this.partition = Optional.of(kind);
		closeListener();
		if (kind == Partition.HANG || kind == Partition.ONE_WAY) {
			listenWithoutAccepting();
		}
		else {
			reserve();
		}
		if (kind == Partition.RESET) {
			this.pairs.forEach(Pair::reset);
		}
	}

	/** Ends a cut or a partition: bytes that were held up are passed on. */
	public synchronized void heal() {
		this.cut = false;
		if (this.partition.isPresent()) {
			this.partition = Optional.empty();
			closeListener();
			this.queued.forEach(Relay::closeQuietly);
			this.queued.clear();
			listen();
			notifyAll();
		}
	}

	@Override
	public synchronized void close() {
		cut();
		closeListener();
		this.queued.forEach(Relay::closeQuietly);
		notifyAll();
	}

	// -- new connections

	private void listen() {
		ServerSocket bound = bind(BACKLOG);
		this.accepting = Optional.of(Thread.ofVirtual().start(() -> acceptAll(bound)));
	}

	// Once the accept queue is full, the system drops the packets that open a connection.
	private void listenWithoutAccepting() {
		bind(1);
		while (true) {
			Socket filler = new Socket();
			this.queued.add(filler);
			try {
				filler.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), this.port), FULL_QUEUE_MILLIS);
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	// A bound socket that does not listen refuses connections.
	private void reserve() {
		Socket bound = new Socket();
		try {
			bound.setReuseAddress(true);
			bound.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), this.port));
			this.reservation = Optional.of(bound);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private ServerSocket bind(int backlog) {
		this.reservation.ifPresent(Relay::closeQuietly);
		this.reservation = Optional.empty();
		long until = System.nanoTime() + BIND_NANOS;
		while (true) {
			try {
				this.listener = new ServerSocket(this.port, backlog, InetAddress.getLoopbackAddress());
				return this.listener;
			}
			catch (BindException ex) {
				// A connection of another process may have the port for a moment.
				if (System.nanoTime() - until > 0) {
					throw new UncheckedIOException(ex);
				}
				LockSupport.parkNanos(BIND_RETRY_NANOS);
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}
	}

	// The port is free only once the thread that accepts has ended.
	private void closeListener() {
		try {
			this.listener.close();
			if (this.accepting.isPresent()) {
				this.accepting.get().join();
				this.accepting = Optional.empty();
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void acceptAll(ServerSocket bound) {
		while (!bound.isClosed()) {
			try {
				connect(bound.accept());
			}
			catch (IOException ex) {
				if (bound.isClosed()) {
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
					Integer.parseInt(this.target.substring(colon + 1))), CONNECT_MILLIS);
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

	// -- open connections

	private void pump(Pair pair, Socket from, Socket to) {
		byte[] buffer = new byte[BUFFER_BYTES];
		try {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
				awaitPassage(pair, from == pair.far);
				if (!pair.silent) {
					out.write(buffer, 0, count);
				}
			}
			awaitPassage(pair, from == pair.far);
		}
		catch (IOException ex) {
			// One end closed; both are closed below.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		if (!pair.silent) {
			this.pairs.remove(pair);
			pair.close();
		}
	}

	private synchronized void awaitPassage(Pair pair, boolean towardsClient) throws InterruptedException {
		while (!pair.closed && this.partition.filter((kind) -> kind.holdsUp(towardsClient)).isPresent()) {
			wait();
		}
	}

	private static void closeQuietly(Socket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			// The socket is of no further use either way.
		}
	}

	/** How a partition shows at the client. */
	public enum Partition {

		/** Open connections carry nothing, and attempts to open one get no answer. */
		HANG,

		/** Bytes of the client arrive, but none reach it, those of new ones neither. */
		ONE_WAY,

		/** Open connections are reset, and new ones are refused. */
		RESET,

		/** Open connections go on, and new ones are refused. */
		REFUSE;

		private boolean holdsUp(boolean towardsClient) {
			return this == HANG || this == ONE_WAY && towardsClient;
		}

	}

	private static final class Pair {

		private final Socket near;

		private final Socket far;

		private volatile boolean silent;

		private volatile boolean closed;

		private Pair(Socket near, Socket far) {
			this.near = near;
			this.far = far;
		}

		private void close() {
			this.closed = true;
			closeQuietly(this.near);
			closeQuietly(this.far);
		}

		private void reset() {
			try {
				this.near.setSoLinger(true, 0);
				this.far.setSoLinger(true, 0);
			}
			catch (IOException ex) {
				// The socket is closed already.
			}
			close();
		}

	}

}
