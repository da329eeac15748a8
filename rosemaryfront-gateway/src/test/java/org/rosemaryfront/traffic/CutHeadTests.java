package org.rosemaryfront.traffic;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import com.google.protobuf.ByteString;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.gateway.proto.TunnelFrame;
import org.rosemaryfront.paths.Carrier;

import static org.assertj.core.api.Assertions.assertThat;

/** Heads of responses that end before they are whole, on both kinds of connections. */
class CutHeadTests {

	private static final BackendServer SERVER = new BackendServer("s1", 5, "app", "v1", "127.0.0.1:9", "a", 8, false,
			false, 0);

	private static final List<String> HEADS = List.of("HTTP/1.1 200 OK\r\nCall: c1\r\nContent-Length: 100\r\n\r\n",
			"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nCall: c1\r\n\r\n",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nCall: c1\r\n\r\n",
			"HTTP/1.1 200 OK\r\nCall: c1\r\nContent-Type: text/event-stream\r\n\r\n",
			"HTTP/1.0 200 OK\nCall: c1\nContent-Length: 10\n\n", "HTTP/1.1 204 None\r\nCall: c1\r\n\r\n",
			"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nCall: c1\r\n\r\n");

	private final List<String> events = new ArrayList<>();

	// Guards against a head that was broken off and is taken for that of an empty or
	// short response.
	@ParameterizedTest
	@MethodSource("ends")
	void shouldFailCallWhenHeadEndsAtAnyByte(Way way, End end, String head) {
		for (int cut = 0; cut < head.length(); cut++) {
			for (int split = 0; split <= Math.min(cut, 1); split++) {
				this.events.clear();
				EmbeddedChannel channel = start(way);
				receive(channel, way, head.substring(0, cut * split / 2));
				receive(channel, way, head.substring(cut * split / 2, cut));
				if (channel.isActive()) {
					end.end(channel, way);
				}
				channel.runPendingTasks();
				assertThat(this.events).as("cut behind %s bytes", cut).containsExactly("failed");
				assertThat(channel.isActive()).isFalse();
			}
		}
	}

	static Stream<Arguments> ends() {
		return Stream.of(Way.values())
			.flatMap((way) -> Stream.of(End.values())
				.flatMap((end) -> HEADS.stream().map((head) -> Arguments.of(way, end, head))));
	}

	private EmbeddedChannel start(Way way) {
		EmbeddedChannel channel = new EmbeddedChannel();
		ConnectionPool pool = new ConnectionPool(channel.eventLoop(), new NoHeaders(), "a", (_) -> {
		});
		ServerConnection connection = connect(way, channel, pool);
		connection.startCall("c1", new RecordedResponse(this.events));
		connection.write(new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
		connection.write(LastHttpContent.EMPTY_LAST_CONTENT);
		return channel;
	}

	private static ServerConnection connect(Way way, EmbeddedChannel channel, ConnectionPool pool) {
		if (way == Way.DIRECT) {
			ServerConnection connection = ServerConnection.direct(pool, new NoHeaders());
			connection.addTo(channel.pipeline());
			return connection;
		}
		TunnelClient client = new TunnelClient(new Carrier("gateway-2", "127.0.0.1:9", "a", 0), SERVER, new NoAnswer());
		ServerConnection connection = ServerConnection.tunnelled(pool, new NoHeaders(), client);
		channel.pipeline().addLast(client);
		connection.addTo(channel.pipeline());
		channel.pipeline().fireChannelActive();
		channel.writeInbound(TunnelPipeline.OPENED);
		return connection;
	}

	private static void receive(EmbeddedChannel channel, Way way, String text) {
		// A head that is invalid so far has ended the connection.
		if (text.isEmpty() || !channel.isActive()) {
			return;
		}
		if (way == Way.DIRECT) {
			channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
		}
		else {
			channel.writeInbound(TunnelFrame.newBuilder().setData(ByteString.copyFromUtf8(text)).build());
		}
	}

	/** How the server is connected. */
	private enum Way {

		DIRECT, TUNNEL

	}

	/** How the connection ends. */
	private enum End {

		/** The server closed it or its side of it. */
		CLOSED {
			@Override
			void end(EmbeddedChannel channel, Way way) {
				if (way == Way.DIRECT) {
					channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
				}
				else {
					channel.writeInbound(TunnelPipeline.CLOSED);
				}
			}
		},

		/** It was reset. */
		RESET {
			@Override
			void end(EmbeddedChannel channel, Way way) {
				if (way == Way.DIRECT) {
					channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
				}
				else {
					channel.writeInbound(TunnelPipeline.failure("Connection reset"));
				}
			}
		},

		/** It ended here, or with the gateway that carries. */
		CLOSED_HERE {
			@Override
			void end(EmbeddedChannel channel, Way way) {
				channel.close();
			}
		};

		abstract void end(EmbeddedChannel channel, Way way);

	}

	private static final class NoAnswer implements TunnelClient.Answer {

		@Override
		public void opened() {
		}

		@Override
		public void refused(String cause, boolean unreachable) {
		}

		@Override
		public void noAnswer(String cause) {
		}

	}

}
