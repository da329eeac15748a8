package org.rosemaryfront.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Answers each request without a body with the same bytes, after which it closes the
 * connection.
 */
final class RespondingServer implements AutoCloseable {

	private final ServerSocket listener;

	private final byte[] response;

	private RespondingServer(ServerSocket listener, byte[] response) {
		this.listener = listener;
		this.response = response;
	}

	/**
	 * Starts a server.
	 * @param response the bytes of each response, as characters up to 255
	 * @return the server
	 */
	static RespondingServer start(String response) {
		try {
			RespondingServer server = new RespondingServer(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()),
					response.getBytes(StandardCharsets.ISO_8859_1));
			Thread.ofVirtual().start(server::serveAll);
			return server;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	InetSocketAddress address() {
		return (InetSocketAddress) this.listener.getLocalSocketAddress();
	}

	private void serveAll() {
		try {
			while (true) {
				Socket socket = this.listener.accept();
				Thread.ofVirtual().start(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			// The test is over.
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			StringBuilder request = new StringBuilder();
			InputStream in = socket.getInputStream();
			while (request.indexOf("\r\n\r\n") < 0) {
				request.append((char) in.read());
			}
			socket.getOutputStream().write(this.response);
		}
		catch (IOException ex) {
			// The client closed the connection.
		}
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

}
