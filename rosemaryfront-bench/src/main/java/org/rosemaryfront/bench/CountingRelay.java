package org.rosemaryfront.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.LongAdder;

/**
 * Passes connections on to a server and counts what they carry in both directions, in
 * bytes of TCP payload.
 *
 * <pre>
 * try (CountingRelay relay = CountingRelay.before("127.0.0.1:7000")) {
 *     client.state(relay.address()).block();
 *     long bytes = relay.bytes();
 * }
 * </pre>
 */
final class CountingRelay implements AutoCloseable {

	private static final int BUFFER_BYTES = 16_384;

	private final LongAdder bytes = new LongAdder();

	private final String host;

	private final int port;

	private final ServerSocket listener;

	private CountingRelay(String host, int port) throws IOException {
		this.host = host;
		this.port = port;
		this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		Thread.ofVirtual().start(this::accept);
	}

	// A relay before a server, host:port.
	static CountingRelay before(String server) {
		int colon = server.lastIndexOf(':');
		try {
			return new CountingRelay(server.substring(0, colon), Integer.parseInt(server.substring(colon + 1)));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	String address() {
		return "127.0.0.1:" + this.listener.getLocalPort();
	}

	long bytes() {
		return this.bytes.sum();
	}

	@Override
	public void close() {
		try {
			this.listener.close();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private void accept() {
		try {
			while (!this.listener.isClosed()) {
				Socket client = this.listener.accept();
				Socket server = new Socket(this.host, this.port);
				Thread.ofVirtual().start(() -> pass(client, server));
				Thread.ofVirtual().start(() -> pass(server, client));
			}
		}
		catch (IOException ex) {
			// The listener was closed.
		}
	}

	private void pass(Socket from, Socket to) {
		byte[] buffer = new byte[BUFFER_BYTES];
		try (from; to) {
			for (int read = from.getInputStream().read(buffer); read >= 0; read = from.getInputStream().read(buffer)) {
				this.bytes.add(read);
				to.getOutputStream().write(buffer, 0, read);
			}
		}
		catch (IOException ex) {
			// Either side closed its connection.
		}
	}

}
