package org.rosemaryfront.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/** A backend server out of reach: new connections to it are never established. */
final class SilentServer implements AutoCloseable {

	/** More connections than the shortest queue of a listener holds. */
	private static final int QUEUED_CONNECTIONS = 4;

	private final ServerSocket listener;

	private final List<SocketChannel> queued = new ArrayList<>();

	private SilentServer(ServerSocket listener) {
		this.listener = listener;
	}

	static SilentServer start() throws IOException {
		SilentServer server = new SilentServer(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
		for (int i = 0; i < QUEUED_CONNECTIONS; i++) {
			SocketChannel connection = SocketChannel.open();
			connection.configureBlocking(false);
			connection.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), server.listener.getLocalPort()));
			server.queued.add(connection);
		}
		return server;
	}

	String address() {
		return "127.0.0.1:" + this.listener.getLocalPort();
	}

	@Override
	public void close() throws IOException {
		for (SocketChannel connection : this.queued) {
			connection.close();
		}
		this.listener.close();
	}

}
