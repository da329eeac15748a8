package org.rosemaryfront.warmup;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.rosemaryfront.ports.CallCodec;

/** Sends {@link SampleCalls} to a gateway, each over a connection of its own. */
public final class WarmUpCaller {

	/** How long a response may pause, in milliseconds. */
	private static final int READ_TIMEOUT_MILLIS = 2_000;

	private static final String SUCCESS = "HTTP/1.1 200 ";

	private final InetSocketAddress gateway;

	private final CallCodec codec;

	private WarmUpCaller(InetSocketAddress gateway, CallCodec codec) {
		this.gateway = gateway;
		this.codec = codec;
	}

	/**
	 * Creates a caller.
	 * @param gateway the address of the gateway
	 * @param codec writes the headers of requests
	 * @return the caller
	 */
	public static WarmUpCaller of(InetSocketAddress gateway, CallCodec codec) {
		return new WarmUpCaller(gateway, codec);
	}

	/**
	 * Sends a call and reads its response.
	 * @param number the number of the call, from 0 on
	 * @throws IOException if the response is no success, or pauses for too long
	 */
	public void call(int number) throws IOException {
		try (Socket socket = new Socket()) {
			socket.setSoTimeout(READ_TIMEOUT_MILLIS);
			socket.connect(this.gateway, READ_TIMEOUT_MILLIS);
			socket.getOutputStream().write(SampleCalls.request(number, this.codec).getBytes(StandardCharsets.UTF_8));
			String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
			if (!response.startsWith(SUCCESS)) {
				throw new IOException(
						"response to call " + number + ": " + response.lines().findFirst().orElse("none"));
			}
		}
	}

}
