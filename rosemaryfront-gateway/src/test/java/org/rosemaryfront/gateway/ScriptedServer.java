package org.rosemaryfront.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * A backend server whose script determines the response to each request, down to the
 * bytes and how the connection is closed.
 */
final class ScriptedServer implements AutoCloseable {

	private final ServerSocket listener;

	private final Script script;

	private final List<Request> requests = new CopyOnWriteArrayList<>();

	private final List<Socket> sockets = new CopyOnWriteArrayList<>();

	private final CountDownLatch disconnected = new CountDownLatch(1);

	private Thread accepting;

	private ScriptedServer(ServerSocket listener, Script script) {
		this.listener = listener;
		this.script = script;
	}

	static ScriptedServer start(Script script) {
		try {
			ScriptedServer server = new ScriptedServer(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()),
					script);
			server.accepting = Thread.ofVirtual().start(server::acceptAll);
			return server;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	String address() {
		return "127.0.0.1:" + this.listener.getLocalPort();
	}

	/**
	 * Returns the complete requests received.
	 * @return the requests in order
	 */
	List<Request> requests() {
		return this.requests;
	}

	int connections() {
		return this.sockets.size();
	}

	/**
	 * Waits until the peer closes a connection.
	 * @return whether it did within five seconds
	 */
	boolean awaitDisconnect() throws InterruptedException {
		return this.disconnected.await(5, TimeUnit.SECONDS);
	}

	@Override
	public void close() {
		try {
			this.listener.close();
			// Until this thread has ended, the listener accepts connections that are
			// never served.
			this.accepting.join();
			for (Socket socket : this.sockets) {
				socket.close();
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void acceptAll() {
		try {
			while (true) {
				Socket socket = this.listener.accept();
				this.sockets.add(socket);
				Thread.ofVirtual().start(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			// The test is over.
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			InputStream in = socket.getInputStream();
			while (true) {
				Request request = read(in);
				if (request == null) {
					break;
				}
				this.requests.add(request);
				this.script.answer(request, new Exchange(socket));
				if (socket.isClosed()) {
					return;
				}
			}
		}
		catch (IOException ex) {
			// The peer closed the connection, as some tests expect.
		}
		finally {
			this.disconnected.countDown();
		}
	}

	private static Request read(InputStream in) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = in.read();
			if (next < 0) {
				return null;
			}
			head.append((char) next);
		}
		Request request = new Request(head.toString(), "");
		int length = request.header("content-length").isEmpty() ? 0
				: Integer.parseInt(request.header("content-length"));
		String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
		return new Request(head.toString(), body);
	}

	/** Handles a request on its connection. */
	interface Script {

		void answer(Request request, Exchange exchange) throws IOException;

	}

	/**
	 * A request as received.
	 *
	 * @param head the request line and the headers
	 * @param body the body
	 */
	record Request(String head, String body) {

		String line() {
			return this.head.substring(0, this.head.indexOf("\r\n"));
		}

		String header(String name) {
			for (String line : this.head.split("\r\n")) {
				if (line.toLowerCase(Locale.ROOT).startsWith(name + ":")) {
					return line.substring(name.length() + 1).trim();
				}
			}
			return "";
		}

		String call() {
			return header("call");
		}

	}

	/**
	 * The connection of a request.
	 *
	 * @param socket the socket
	 */
	record Exchange(Socket socket) {

		void write(String bytes) throws IOException {
			OutputStream out = this.socket.getOutputStream();
			out.write(bytes.getBytes(StandardCharsets.UTF_8));
			out.flush();
		}

		/**
		 * Writes a valid response.
		 * @param request the request
		 * @param body the body
		 */
		void ok(Request request, String body) throws IOException {
			write("HTTP/1.1 200 OK\r\nCall: " + request.call() + "\r\nSignature: s\r\nContent-Length: " + body.length()
					+ "\r\n\r\n" + body);
		}

		void status(Request request, int status, String more) throws IOException {
			write("HTTP/1.1 " + status + " X\r\nCall: " + request.call() + "\r\n" + more + "Content-Length: 0\r\n\r\n");
		}

		void reset() throws IOException {
			this.socket.setSoLinger(true, 0);
			this.socket.close();
		}

		void hold() {
			try {
				// Reads until the peer closes the connection.
				int next = this.socket.getInputStream().read();
				if (next >= 0) {
					throw new IllegalStateException("received a request on a connection in use");
				}
				this.socket.close();
			}
			catch (SocketException ex) {
				// The peer reset the connection.
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}

	}

}
