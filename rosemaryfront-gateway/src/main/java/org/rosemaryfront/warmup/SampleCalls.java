package org.rosemaryfront.warmup;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.stream.IntStream;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.ports.CallCodec;
import org.rosemaryfront.ports.CallMetadata;
import org.rosemaryfront.ports.CallMetadata.Prompt;
import org.rosemaryfront.ports.CallMetadata.Segment;
import org.rosemaryfront.routes.CallKind;
import org.rosemaryfront.routes.CallerLimits;
import org.rosemaryfront.routes.Organisation;
import org.rosemaryfront.routes.Organisation.QuotaUnit;
import org.rosemaryfront.routes.Route;
import org.rosemaryfront.routes.ServiceSpec;
import org.rosemaryfront.routes.ServiceSpec.EngineSpec;
import org.rosemaryfront.routes.TrafficConfiguration;

/** Made-up calls, with the configuration and the servers that they need. */
public final class SampleCalls {

	private static final String SERVICE = "warm-up";

	private static final String HOST = "warm-up.invalid";

	private static final String KEY = "warm-up";

	private static final String STREAM_PATH = "/stream/";

	private static final String PLAIN_PATH = "/plain/";

	private static final String BODY = "{}";

	private static final int TIMEOUT_MILLIS = 5_000;

	private static final int SERVERS = 4;

	private static final int SERVER_SLOTS = 16;

	/** Never used up by a warm-up. */
	private static final double QUOTA = 1e9;

	private SampleCalls() {
	}

	/**
	 * Returns the configuration that the calls need.
	 * @return a configuration with a route for each kind of call
	 */
	public static TrafficConfiguration configuration() {
		EngineSpec engine = new EngineSpec(SERVER_SLOTS, 1_000_000, 1, 1_000);
		return TrafficConfiguration.of(1,
				List.of(route("plain", PLAIN_PATH, CallKind.IDEMPOTENT),
						route("stream", STREAM_PATH, CallKind.STREAMING)),
				List.of(new ServiceSpec(SERVICE, SERVERS * SERVER_SLOTS, Optional.of(engine), Optional.empty())),
				List.of(new Organisation(SERVICE, List.of(KEY), OptionalInt.empty(), QUOTA, QUOTA, QuotaUnit.TOKENS,
						1)),
				CallerLimits.INITIAL);
	}

	private static Route route(String name, String prefix, CallKind kind) {
		return new Route(name, HOST, prefix, kind, TIMEOUT_MILLIS, TIMEOUT_MILLIS, 0,
				List.of(new Route.Target(SERVICE, 1)), 1, false, kind == CallKind.STREAMING);
	}

	/**
	 * Returns the servers that the calls go to, all at one address.
	 * @param address the address
	 * @param zone the availability zone of the servers
	 * @return the servers
	 */
	public static List<BackendServer> servers(InetSocketAddress address, String zone) {
		return IntStream.range(0, SERVERS)
			.mapToObj((i) -> new BackendServer(SERVICE + "-" + i, 1, SERVICE, "1",
					address.getAddress().getHostAddress() + ":" + address.getPort(), zone, SERVER_SLOTS, false, false,
					1))
			.toList();
	}

	/**
	 * Returns a request as a caller sends it; every other one begins a stream.
	 * @param number the number of the call
	 * @param codec writes the headers
	 * @return the bytes of the request, which asks for the connection to be closed
	 */
	static String request(int number, CallCodec codec) {
		boolean stream = number % 2 == 1;
		HttpHeaders headers = new DefaultHttpHeaders();
		codec.toCallerRequest(headers, new CallMetadata("warm-up-" + number, OptionalLong.of(TIMEOUT_MILLIS),
				Optional.of(KEY), stream ? Optional.of(prompt(number)) : Optional.empty(), Optional.empty()));
		StringBuilder request = new StringBuilder().append("POST ")
			.append(stream ? STREAM_PATH : PLAIN_PATH)
			.append(" HTTP/1.1\r\nHost: " + HOST + "\r\nConnection: close\r\nContent-Length: " + BODY.length()
					+ "\r\n");
		headers
			.forEach((header) -> request.append(header.getKey()).append(": ").append(header.getValue()).append("\r\n"));
		return request.append("\r\n").append(BODY).toString();
	}

	private static Prompt prompt(int number) {
		return new Prompt(1_400, 80, List.of(new Segment("shared", 800), new Segment("group-" + number % SERVERS, 400),
				new Segment("own-" + number, 200)));
	}

	static boolean isStream(String uri) {
		return uri.startsWith(STREAM_PATH);
	}

}
