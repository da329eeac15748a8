package org.rosemaryfront.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.OptionalInt;

/** A caller that writes raw bytes to a gateway and reads its responses. */
final class RawCaller implements AutoCloseable {

	private static final int READ_MILLIS = 8_000;

	private final Socket socket = new Socket();

	RawCaller(InetSocketAddress gateway) throws IOException {
		this.socket.setSoTimeout(READ_MILLIS);
		this.socket.connect(gateway, READ_MILLIS);
	}

	static String get(String call, String path) {
		return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\nCall: " + call + "\r\nKey: key-1\r\n\r\n";
	}

	static String post(String call, String path, String body) {
		return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nCall: " + call + "\r\nKey: key-1\r\nContent-Length: "
				+ body.length() + "\r\n\r\n" + body;
	}

	/**
	 * Returns a request to a model.
	 * @param call the id of the call
	 * @param path the path
	 * @param prompt the segments of the prompt, as in {@link PlainCodecs}
	 * @return the bytes
	 */
	static String prompt(String call, String path, String prompt) {
		return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nCall: " + call + "\r\nKey: key-1\r\nPrompt: " + prompt
				+ "\r\nContent-Length: " + prompt.length() + "\r\n\r\n" + prompt;
	}

	RawCaller send(String bytes) throws IOException {
		return send(bytes.getBytes(StandardCharsets.UTF_8));
	}

	RawCaller send(byte[] bytes) throws IOException {
		this.socket.getOutputStream().write(bytes);
		return this;
	}

	/**
	 * Reads one response.
	 * @return the response; {@code whole} is false if the connection ended within it
	 */
	Response read() throws IOException {
		InputStream in = this.socket.getInputStream();
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = in.read();
			if (next < 0) {
				return new Response(head.toString(), "", false);
			}
			head.append((char) next);
		}
		String lower = head.toString().toLowerCase(Locale.ROOT);
		if (lower.contains("transfer-encoding: chunked")) {
			return chunks(head.toString(), in);
		}
		int length = contentLength(head.toString()).orElse(0);
		byte[] body = in.readNBytes(length);
		return new Response(head.toString(), new String(body, StandardCharsets.UTF_8), body.length == length);
	}

	/**
	 * Reads one response up to the end of the connection.
	 * @return the response; {@code complete} is false if the connection was reset or the
	 * body is shorter than the head states
	 */
	Response readToEnd() throws IOException {
		InputStream in = this.socket.getInputStream();
		StringBuilder received = new StringBuilder();
		boolean reset = false;
		try {
			for (int next = in.read(); next >= 0; next = in.read()) {
				received.append((char) next);
			}
		}
		catch (IOException ex) {
			reset = true;
		}
		int body = received.indexOf("\r\n\r\n") + 4;
		if (body < 4) {
			return new Response(received.toString(), "", false);
		}
		String head = received.substring(0, body);
		int length = contentLength(head).orElse(received.length() - body);
		return new Response(head, received.substring(body), !reset && received.length() - body == length);
	}

	private static OptionalInt contentLength(String head) {
		String lower = head.toLowerCase(Locale.ROOT);
		int at = lower.indexOf("content-length:");
		return (at < 0) ? OptionalInt.empty()
				: OptionalInt.of(Integer.parseInt(lower.substring(at + 15, lower.indexOf("\r\n", at)).trim()));
	}

	private static Response chunks(String head, InputStream in) throws IOException {
		StringBuilder body = new StringBuilder();
		while (true) {
			String line = line(in);
			if (line.isEmpty()) {
				return new Response(head, body.toString(), false);
			}
			int size = Integer.parseInt(line, 16);
			byte[] chunk = in.readNBytes(size);
			body.append(new String(chunk, StandardCharsets.UTF_8));
			if (chunk.length < size) {
				return new Response(head, body.toString(), false);
			}
			line(in);
			if (size == 0) {
				return new Response(head, body.toString(), true);
			}
		}
	}

	private static String line(InputStream in) throws IOException {
		StringBuilder line = new StringBuilder();
		while (true) {
			int next = readOrEnd(in);
			if (next < 0 || next == '\n') {
				return line.toString().trim();
			}
			line.append((char) next);
		}
	}

	private static int readOrEnd(InputStream in) {
		try {
			return in.read();
		}
		catch (IOException ex) {
			return -1;
		}
	}

	/**
	 * Reads until a complete event has arrived.
	 * @return the text read so far
	 */
	String readEvent() throws IOException {
		StringBuilder bytes = new StringBuilder();
		while (bytes.indexOf("\n\n") < 0) {
			int next = this.socket.getInputStream().read();
			if (next < 0) {
				throw new IOException("connection ended after: " + bytes);
			}
			bytes.append((char) next);
		}
		return bytes.toString();
	}

	/**
	 * Returns whether the gateway closed the connection.
	 * @return true at the end of the connection, false if data arrived
	 */
	boolean isClosed() {
		return readOrEnd(inputOrEnd()) < 0;
	}

	private InputStream inputOrEnd() {
		try {
			return this.socket.getInputStream();
		}
		catch (IOException ex) {
			return InputStream.nullInputStream();
		}
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

	/**
	 * A response.
	 *
	 * @param head the status line and the headers
	 * @param body the body
	 * @param complete whether the response is complete
	 */
	record Response(String head, String body, boolean complete) {

		int status() {
			return this.head.isEmpty() ? 0 : Integer.parseInt(this.head.split(" ")[1]);
		}

		/**
		 * Returns when the caller may return.
		 * @return the time in seconds, 0 if the response does not say
		 */
		double retryAfterSeconds() {
			return this.head.lines()
				.filter((line) -> line.toLowerCase(Locale.ROOT).startsWith("retry-after:"))
				.mapToDouble((line) -> Double.parseDouble(line.substring("retry-after:".length()).trim()))
				.findFirst()
				.orElse(0);
		}

		boolean hasHeader(String header) {
			return this.head.toLowerCase(Locale.ROOT).contains(header + ":");
		}

	}

}
