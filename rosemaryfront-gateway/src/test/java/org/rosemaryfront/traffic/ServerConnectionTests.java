package org.rosemaryfront.traffic;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class ServerConnectionTests {

	private final List<String> events = new ArrayList<>();

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final ServerConnection connection = ServerConnection
		.direct(new ConnectionPool(this.channel.eventLoop(), new NoHeaders(), "a", (_) -> {
		}), new NoHeaders());

	ServerConnectionTests() {
		this.connection.addTo(this.channel.pipeline());
	}

	// Guards against a response without length that seems complete when the connection
	// ended for another reason than that the server had closed it, as after a failed
	// write.
	@ParameterizedTest
	@CsvSource({ "CLOSED_BY_SERVER, complete", "CLOSED_HERE, failed", "RESET, failed" })
	void shouldCompleteResponseWithoutLengthOnlyWhenServerClosed(String end, String expected) {
		startCall();
		receive("HTTP/1.1 200 OK\r\n\r\nbody");
		switch (end) {
			case "CLOSED_BY_SERVER" ->
				this.channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
			case "RESET" -> this.channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
			default -> this.channel.close();
		}
		this.channel.runPendingTasks();
		assertThat(this.events).containsExactly("body", expected);
		assertThat(this.channel.isActive()).isFalse();
	}

	// Guards against a part of a response that seems whole: a server that leaves while it
	// is sent a request closes its side before the connection is reset.
	@ParameterizedTest
	@CsvSource({ "HTTP/1.1 200 OK||body, failed", "HTTP/1.1 206 X||body, failed",
			"HTTP/1.1 200 OK|Content-Length: 4||body, complete",
			"HTTP/1.1 200 OK|Transfer-Encoding: chunked||4|body|0||, complete", "HTTP/1.1 413 X||body, complete",
			"HTTP/1.1 500 X||body, complete" })
	void shouldNotCompleteSuccessWithoutLengthWhenRequestWasNotSent(String response, String expected) {
		this.connection.startCall("c1", new RecordedResponse(this.events));
		this.connection.write(new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/"));
		receive(response.replace("|", "\r\n"));
		this.channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
		this.channel.runPendingTasks();
		assertThat(this.events).containsExactly("body", expected);
		assertThat(this.channel.isActive()).isFalse();
	}

	// Guards against a connection that stays open here when the server has closed it.
	@ParameterizedTest
	@CsvSource({ "HTTP/1.1 200 OK|Content-Length: 9||body, failed", "HTTP/1.1 200 OK|Content-Length: 4||body, complete",
			"HTTP/1.1 200 OK|Transfer-Encoding: chunked||4|body|, failed" })
	void shouldCloseConnectionWhenServerClosedIt(String response, String expected) {
		startCall();
		receive(response.replace("|", "\r\n"));
		this.channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
		this.channel.runPendingTasks();
		assertThat(this.events).containsExactly("body", expected);
		assertThat(this.channel.isActive()).isFalse();
	}

	private void startCall() {
		this.connection.startCall("c1", new RecordedResponse(this.events));
		this.connection.write(new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
		this.connection.write(LastHttpContent.EMPTY_LAST_CONTENT);
	}

	private void receive(String text) {
		this.channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
	}

}
