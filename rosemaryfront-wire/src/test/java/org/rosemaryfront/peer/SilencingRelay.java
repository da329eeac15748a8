package org.rosemaryfront.peer;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A TCP relay whose open connections can go silent for good: bytes are taken and never
 * passed on, and no end is told, while new connections work.
 */
final class SilencingRelay implements AutoCloseable {

	private final ServerSocket listener;

	private final String target;

	private final List<AtomicBoolean> silent = new CopyOnWriteArrayList<>();

	private final List<Socket> sockets = new CopyOnWriteArrayList<>();

	private SilencingRelay(ServerSocket listener, String target) {
		this.listener = listener;
		this.target = target;
	}

	static SilencingRelay to(String target) throws IOException {
		SilencingRelay relay = new SilencingRelay(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()), target);
		Thread.ofVirtual().start(relay::accept);
		return relay;
	}

	String address() {
		return "127.0.0.1:" + this.listener.getLocalPort();
	}

	int accepted() {
		return this.silent.size();
	}

	void silenceOpenConnections() {
		this.silent.forEach((connection) -> connection.set(true));
	}

	private void accept() {
		try {
			while (true) {
				Socket from = this.listener.accept();
				Socket to = new Socket("127.0.0.1", Integer.parseInt(this.target.split(":")[1]));
				AtomicBoolean silenced = new AtomicBoolean();
				this.sockets.addAll(List.of(from, to));
				this.silent.add(silenced);
				Thread.ofVirtual().start(() -> copy(from, to, silenced));
				Thread.ofVirtual().start(() -> copy(to, from, silenced));
			}
		}
		catch (IOException ex) {
			// The listener was closed.
		}
	}

	private static void copy(Socket from, Socket to, AtomicBoolean silenced) {
		byte[] buffer = new byte[8192];
		try {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
				if (!silenced.get()) {
					out.write(buffer, 0, read);
				}
			}
		}
		catch (IOException ex) {
			// One of the ends was closed.
		}
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
		for (Socket socket : this.sockets) {
			socket.close();
		}
	}

}
