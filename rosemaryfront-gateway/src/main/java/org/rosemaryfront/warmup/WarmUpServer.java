package org.rosemaryfront.warmup;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

import org.rosemaryfront.ports.CallCodec;

/**
 * A backend server inside the process, which answers {@link SampleCalls}. It listens on
 * the loopback interface, and ends with its event loop.
 */
public final class WarmUpServer {

	private static final int EVENTS = 8;

	private static final byte[] PLAIN_BODY = "{}".getBytes(StandardCharsets.UTF_8);

	private final Channel listener;

	private WarmUpServer(Channel listener) {
		this.listener = listener;
	}

	/**
	 * Starts a server.
	 * @param loop the event loop of its sockets
	 * @param codec writes the headers of responses
	 * @return the running server
	 */
	public static WarmUpServer open(EventLoop loop, CallCodec codec) {
		Channel listener = new ServerBootstrap().group(loop, loop)
			.channel(NioServerSocketChannel.class)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					channel.pipeline().addLast(new HttpServerCodec()).addLast(new Responder(codec));
				}
			})
			.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
			.syncUninterruptibly()
			.channel();
		return new WarmUpServer(listener);
	}

	/**
	 * Returns the address of the server.
	 * @return the address
	 */
	public InetSocketAddress address() {
		return (InetSocketAddress) this.listener.localAddress();
	}

	/** Answers the requests of one connection. */
	private static final class Responder extends ChannelInboundHandlerAdapter {

		private final CallCodec codec;

		private String requestId = "";

		private boolean stream;

		private Responder(CallCodec codec) {
			this.codec = codec;
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			if (message instanceof HttpRequest head) {
				this.requestId = this.codec.callMetadata(head.headers()).requestId();
				this.stream = SampleCalls.isStream(head.uri());
			}
			if (message instanceof LastHttpContent) {
				respond(context);
			}
			ReferenceCountUtil.release(message);
		}

		private void respond(ChannelHandlerContext context) {
			if (this.stream) {
				HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
				head.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
				head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
				setHeaders(head.headers());
				context.write(head);
				sendEvent(context, 1);
			}
			else {
				ByteBuf body = Unpooled.wrappedBuffer(PLAIN_BODY);
				HttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, body);
				response.headers().set(HttpHeaderNames.CONTENT_LENGTH, PLAIN_BODY.length);
				setHeaders(response.headers());
				context.writeAndFlush(response);
			}
		}

		private void setHeaders(HttpHeaders headers) {
			this.codec.toServerResponse(headers, this.requestId);
		}

		// Each event is a task of its own, so that events arrive one by one as those of a
		// model do.
		private void sendEvent(ChannelHandlerContext context, int number) {
			String event = "id: " + number + "\ndata: x\n\n";
			context.writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer(event, StandardCharsets.UTF_8)));
			if (number == EVENTS) {
				context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
			}
			else {
				context.executor().execute(() -> sendEvent(context, number + 1));
			}
		}

	}

}
