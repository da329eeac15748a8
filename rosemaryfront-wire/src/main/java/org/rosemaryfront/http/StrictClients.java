package org.rosemaryfront.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.LastHttpContent;
import reactor.netty.NettyPipeline;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/**
 * Creates HTTP/1.1 clients that read responses with {@link StrictResponseDecoder}. A call
 * that gets an invalid response fails with an exception.
 */
public final class StrictClients {

	private StrictClients() {
	}

	/**
	 * Creates a client.
	 * @param connections the pool of its connections
	 * @return the client
	 */
	public static HttpClient pooled(ConnectionProvider connections) {
		return strict(HttpClient.create(connections));
	}

	/**
	 * Creates a client with the pool of connections that the process has for all of them.
	 * @return the client
	 */
	public static HttpClient pooled() {
		return strict(HttpClient.create());
	}

	/**
	 * Creates a client that opens a connection for each call.
	 * @return the client
	 */
	public static HttpClient withoutReuse() {
		return strict(HttpClient.newConnection());
	}

	private static HttpClient strict(HttpClient client) {
		return client.doOnChannelInit((_, channel, _) -> replaceCodec(channel));
	}

	private static void replaceCodec(Channel channel) {
		channel.pipeline().replace(NettyPipeline.HttpCodec, NettyPipeline.HttpCodec, new Codec());
	}

	/** The codec of a connection, which has one call at a time. */
	private static final class Codec extends CombinedChannelDuplexHandler<Codec.Decoder, HttpRequestEncoder> {

		/** Whether the current call is a HEAD request. */
		private boolean headRequest;

		/** Whether the whole of the current request was sent. */
		private boolean requestTaken;

		private Codec() {
			init(new Decoder(), new HttpRequestEncoder());
		}

		@Override
		public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
			ChannelPromise written = promise.unvoid();
			if (message instanceof HttpRequest request) {
				this.headRequest = request.method().equals(HttpMethod.HEAD);
				this.requestTaken = false;
			}
			if (message instanceof LastHttpContent) {
				written.addListener((_) -> this.requestTaken = written.isSuccess());
			}
			super.write(context, message, written);
		}

		private final class Decoder extends StrictResponseDecoder {

			private Decoder() {
				super(new HttpDecoderConfig(), (_) -> Codec.this.headRequest, () -> Codec.this.requestTaken);
			}

		}

	}

}
