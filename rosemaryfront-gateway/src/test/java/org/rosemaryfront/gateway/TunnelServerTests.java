package org.rosemaryfront.gateway;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;

import com.google.protobuf.ByteString;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.rosemaryfront.gateway.proto.TunnelFrame;
import org.rosemaryfront.gateway.proto.TunnelFrame.ContentCase;
import org.rosemaryfront.gateway.proto.TunnelOpen;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests a gateway that carries calls, with frames as another gateway sends them. */
class TunnelServerTests {

	private static final int READ_MILLIS = 5_000;

	private static final int UNREAD_TUNNELS = 40;

	/** The time in which the server writes more than the sockets hold. */
	private static final int UNREAD_MILLIS = 1_500;

	/** For 40 tunnels, each with two reads from its socket. */
	private static final long MAX_HELD_BYTES = 6_291_456;

	private static final String REQUEST = "GET /sheets/ HTTP/1.1\r\nHost: x\r\nCall: c1\r\n\r\n";

	private static final int CHUNK_BYTES = 65_536;

	private static final long STALLED_MILLIS = 200;

	private final AtomicLong written = new AtomicLong();

	private final CountDownLatch stopped = new CountDownLatch(1);

	private final MemoryRowStore store = new MemoryRowStore();

	private List<GatewayHarness> fleet = List.of();

	private ScriptedServer server;

	@BeforeEach
	void start() throws IOException {
		this.server = ScriptedServer.start((request, exchange) -> {
			if (request.call().equals("held")) {
				exchange.hold();
			}
			else if (request.call().equals("unread")) {
				awaitStalled();
				exchange.socket().shutdownOutput();
				awaitStop();
			}
			else if (request.call().equals("endless")) {
				writeEndlessly(exchange);
			}
			else {
				exchange.ok(request, "x");
			}
		});
		this.fleet = GatewayHarness.startFleet(this.store, 2, 8_000);
		this.fleet.getFirst().declare();
		for (GatewayHarness gateway : this.fleet) {
			gateway.register("s1", this.server).ready();
			GatewayHarness.await(() -> gateway.liveGateways() == this.fleet.size());
		}
	}

	@AfterEach
	void stop() {
		this.fleet.forEach(GatewayHarness::close);
		this.server.close();
	}

	@Test
	void shouldPassBytesBothWaysWhenCallBegan() throws Exception {
		try (Socket tunnel = connect()) {
			assertThat(ask(tunnel, open("s1")).getContentCase()).isEqualTo(ContentCase.OPENED);
			assertThat(ask(tunnel, call("c1")).getContentCase()).isEqualTo(ContentCase.OPENED);
			TunnelFrame answer = ask(tunnel, data(REQUEST));
			assertThat(answer.getData().toStringUtf8()).startsWith("HTTP/1.1 200").endsWith("x");
			assertThat(this.fleet.getFirst().metric("counters", "calls.carried")).isEqualTo(1);
		}
	}

	// Guards against a call that reaches a server after its gateway learned that the
	// server leaves.
	@Test
	void shouldRefuseCallWhenServerIsLeaving() throws Exception {
		try (Socket tunnel = connect()) {
			ask(tunnel, open("s1"));
			this.store.put(GatewayHarness.SERVERS, "s1", "app " + this.server.address() + " leaving");
			GatewayHarness.await(() -> refuses(open("s1")));
			assertThat(ask(tunnel, call("c1")).getContentCase()).isEqualTo(ContentCase.REFUSED);
			assertThat(this.server.requests()).isEmpty();
		}
	}

	// Guards against work for a caller who has left the other gateway.
	@Test
	void shouldEndCallAtServerWhenTunnelIsClosed() throws Exception {
		try (Socket tunnel = connect()) {
			ask(tunnel, open("s1"));
			ask(tunnel, call("held"));
			data(REQUEST.replace("c1", "held")).writeDelimitedTo(tunnel.getOutputStream());
			GatewayHarness.await(() -> this.server.requests().size() == 1);
		}
		assertThat(this.server.awaitDisconnect()).isTrue();
	}

	// Guards against an answer that seems whole because the other gateway cannot see that
	// its server has not read the request.
	@Test
	void shouldTellThatRequestWasNotSentWhenServerClosesBefore() throws Exception {
		try (Socket tunnel = connect()) {
			ask(tunnel, open("s1"));
			ask(tunnel, call("unread"));
			data(REQUEST.replace("c1", "unread")).writeDelimitedTo(tunnel.getOutputStream());
			Thread.ofVirtual().start(() -> writeEndlessly(tunnel));
			TunnelFrame last = TunnelFrame.parseDelimitedFrom(tunnel.getInputStream());
			assertThat(last.getContentCase()).isEqualTo(ContentCase.CLOSED);
			assertThat(last.getClosed()).isFalse();
		}
		finally {
			this.stopped.countDown();
		}
	}

	private void writeEndlessly(Socket tunnel) {
		try {
			while (true) {
				data("x".repeat(CHUNK_BYTES)).writeDelimitedTo(tunnel.getOutputStream());
				this.written.incrementAndGet();
			}
		}
		catch (IOException ex) {
			// The tunnel has ended.
		}
	}

	// Waits until nothing more is taken from the other gateway.
	private void awaitStalled() {
		long before = 0;
		while (before == 0 || this.written.get() > before) {
			before = this.written.get();
			sleep(STALLED_MILLIS);
		}
	}

	private void awaitStop() {
		while (this.stopped.getCount() > 0) {
			sleep(STALLED_MILLIS);
		}
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// Guards against answers without end that other gateways do not take: the memory of
	// the gateway that carries them is bounded over all tunnels.
	@Test
	void shouldHoldLittleWhenOtherGatewayDoesNotReadAnswersWithoutEnd() throws Exception {
		List<Socket> tunnels = new ArrayList<>();
		try {
			for (int i = 0; i < UNREAD_TUNNELS; i++) {
				Socket tunnel = connect();
				tunnels.add(tunnel);
				ask(tunnel, open("s1"));
				ask(tunnel, call("endless"));
				data(REQUEST.replace("c1", "endless")).writeDelimitedTo(tunnel.getOutputStream());
			}
			GatewayHarness.await(() -> this.server.requests().size() == UNREAD_TUNNELS);
			Thread.sleep(UNREAD_MILLIS);
			assertThat(this.fleet.getFirst().metric("gauges", "bytes.held")).isBetween(1L, MAX_HELD_BYTES);
		}
		finally {
			for (Socket tunnel : tunnels) {
				tunnel.close();
			}
		}
	}

	private static void writeEndlessly(ScriptedServer.Exchange exchange) throws IOException {
		exchange.write("HTTP/1.1 200 OK\r\nCall: endless\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n");
		String chunks = "10\r\n0123456789abcdef\r\n".repeat(1_000);
		while (true) {
			exchange.write(chunks);
		}
	}

	// Guards against use as an open proxy, and against bytes that are no frames.
	@Test
	void shouldRefuseWhatIsNoTunnelToKnownServer() throws Exception {
		try (Socket tunnel = connect()) {
			TunnelFrame answer = ask(tunnel, open("127.0.0.1:80"));
			assertThat(answer.getContentCase()).isEqualTo(ContentCase.REFUSED);
			assertThat(answer.getRefused().getUnreachable()).isFalse();
		}
		try (Socket tunnel = connect()) {
			tunnel.getOutputStream().write(REQUEST.getBytes());
			assertThat(tunnel.getInputStream().read()).isEqualTo(-1);
		}
		try (Socket tunnel = connect()) {
			ask(tunnel, open("s1"));
			data(REQUEST).writeDelimitedTo(tunnel.getOutputStream());
			assertThat(tunnel.getInputStream().read()).isEqualTo(-1);
		}
		assertThat(this.server.requests()).isEmpty();
	}

	// Guards against strangers that use the servers without a key.
	@Test
	void shouldCloseConnectionWhenPeerIsNoGateway() throws Exception {
		try (GatewayHarness alone = GatewayHarness.start();
				Socket stranger = new Socket(alone.settings.tunnels().getAddress(),
						alone.settings.tunnels().getPort())) {
			stranger.setSoTimeout(READ_MILLIS);
			assertThat(stranger.getInputStream().read()).isEqualTo(-1);
		}
	}

	private Socket connect() throws IOException {
		Socket tunnel = new Socket(this.fleet.getFirst().settings.tunnels().getAddress(),
				this.fleet.getFirst().settings.tunnels().getPort());
		tunnel.setSoTimeout(READ_MILLIS);
		return tunnel;
	}

	private boolean refuses(TunnelFrame frame) {
		try (Socket tunnel = connect()) {
			return ask(tunnel, frame).getContentCase() == ContentCase.REFUSED;
		}
		catch (IOException ex) {
			return false;
		}
	}

	private static TunnelFrame ask(Socket tunnel, TunnelFrame frame) throws IOException {
		frame.writeDelimitedTo(tunnel.getOutputStream());
		return TunnelFrame.parseDelimitedFrom(tunnel.getInputStream());
	}

	private static TunnelFrame open(String server) {
		return TunnelFrame.newBuilder().setOpen(TunnelOpen.newBuilder().setServer(server)).build();
	}

	private static TunnelFrame call(String id) {
		return TunnelFrame.newBuilder().setCall(id).build();
	}

	private static TunnelFrame data(String text) {
		return TunnelFrame.newBuilder().setData(ByteString.copyFromUtf8(text)).build();
	}

}
