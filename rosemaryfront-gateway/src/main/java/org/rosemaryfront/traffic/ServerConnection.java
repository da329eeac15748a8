package org.rosemaryfront.traffic;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.ports.CallCodec;
import org.rosemaryfront.ports.ResponseMetadata;

/**
 * A connection to a backend server with at most one call at a time.
 *
 * <p>
 * A faulty server can send bytes that belong to no call, such as a second response after
 * a complete one or a response to an earlier call. A response is accepted only if it does
 * not name another call than the current one. Bytes received while no call is in progress
 * close the connection.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {

	/**
	 * How long before the server's own idle limit a connection is no longer used, in
	 * milliseconds. After that limit the server resets the connection, and a call sent
	 * then may have run.
	 */
	private static final long IDLE_MARGIN_MILLIS = 1_200;

	/** The idle limit for servers that announce none, in milliseconds. */
	private static final long DEFAULT_IDLE_LIMIT_MILLIS = 20_000;

	private static final int MAX_HEADER_BYTES = 65_536;

	/**
	 * The maximum number of bytes before the head of the response, such as interim
	 * responses and a late one to an earlier call.
	 */
	private static final long MAX_SKIPPED_BYTES = 1_048_576;

	private final ConnectionPool pool;

	private final CallCodec codec;

	private final Optional<TunnelClient> tunnel;

	private final InputEnd inputEnd = new InputEnd();

	private Channel channel;

	private ResponseListener listener;

	private String requestId = "";

	/**
	 * Whether the response being received is interim or belongs to an earlier call.
	 */
	private boolean skippingResponse;

	private boolean headReceived;

	/** Whether the response names the current call, for the log. */
	private String naming = "none";

	/** The bytes received on this connection before the current call. */
	private long bytesBefore;

	private boolean requestWritten;

	private boolean reusable = true;

	/** The number of calls that were started on this connection. */
	private int callCount;

	/** When the current call was started. */
	private long startedNanos;

	private long idleSinceNanos;

	private long idleLimitNanos = TimeUnit.MILLISECONDS.toNanos(DEFAULT_IDLE_LIMIT_MILLIS);

	private ServerConnection(ConnectionPool pool, CallCodec codec, Optional<TunnelClient> tunnel) {
		this.pool = pool;
		this.codec = codec;
		this.tunnel = tunnel;
	}

	/**
	 * Creates the handler of a connection over the own links.
	 * @param pool the pool that it belongs to
	 * @param codec the codec of headers
	 * @return the handler
	 */
	static ServerConnection direct(ConnectionPool pool, CallCodec codec) {
		return new ServerConnection(pool, codec, Optional.empty());
	}

	/**
	 * Creates the handler of a connection through another gateway.
	 * @param pool the pool that it belongs to
	 * @param codec the codec of headers
	 * @param tunnel the tunnel
	 * @return the handler
	 */
	static ServerConnection tunnelled(ConnectionPool pool, CallCodec codec, TunnelClient tunnel) {
		return new ServerConnection(pool, codec, Optional.of(tunnel));
	}

	/**
	 * Adds the handlers of this connection.
	 * @param pipeline the pipeline, whose bytes are those to and from the server
	 */
	void addTo(ChannelPipeline pipeline) {
		HttpDecoderConfig limits = new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES)
			.setMaxInitialLineLength(MAX_HEADER_BYTES);
		pipeline.addLast(this.inputEnd, new HttpClientCodec(limits, false, false), this);
	}

	// -- call

	/**
	 * Starts a call on an idle connection.
	 * @param callId the identifier of the call
	 * @param responseListener receives the response
	 */
	void startCall(String callId, ResponseListener responseListener) {
		this.listener = responseListener;
		this.requestId = callId;
		this.skippingResponse = false;
		this.headReceived = false;
		this.naming = "none";
		this.bytesBefore = this.inputEnd.bytes();
		this.requestWritten = false;
		this.callCount++;
		this.startedNanos = System.nanoTime();
	}

	/**
	 * Returns whether the current call is not the first one on this connection.
	 * @return false for a connection that was opened for the call
	 */
	boolean isReused() {
		return this.callCount > 1;
	}

	/**
	 * Describes the current call for the log: what was sent on this connection before it,
	 * and whether its response names it.
	 * @return the connection, the number of the call on it and the name in the response
	 */
	String describe() {
		return this.channel.id() + "/" + this.callCount + "/" + this.naming;
	}

	/**
	 * Sends a part of the request.
	 * @param part the head or a chunk of the body
	 */
	void write(HttpObject part) {
		if (part instanceof LastHttpContent) {
			this.requestWritten = true;
			this.channel.writeAndFlush(part);
		}
		else {
			this.channel.write(part);
		}
	}

	void flush() {
		this.channel.flush();
	}

	boolean isActive() {
		return this.channel != null && this.channel.isActive();
	}

	boolean isWritable() {
		return this.channel.isWritable();
	}

	void setReading(boolean enabled) {
		this.channel.config().setAutoRead(enabled);
	}

	/** Ends the call and closes the connection. */
	void abort() {
		this.listener = null;
		this.reusable = false;
		this.channel.close();
	}

	/**
	 * Returns whether a call is in progress that was started in a time.
	 * @param fromNanos the start of the time
	 * @param untilNanos its end
	 * @return false if no call is in progress or it was started at another time
	 */
	boolean hasCallStartedWithin(long fromNanos, long untilNanos) {
		return this.listener != null && this.startedNanos - fromNanos >= 0 && this.startedNanos - untilNanos <= 0;
	}

	/** Tells the current call that this connection carries nothing any more. */
	void pathLost() {
		if (this.listener != null) {
			this.listener.pathLost();
		}
	}

	// -- pool

	Optional<TunnelClient> tunnel() {
		return this.tunnel;
	}

	/**
	 * Returns the gateway that carries the calls of this connection.
	 * @return the name, empty for a connection over the own links
	 */
	Optional<String> carrier() {
		return this.tunnel.map((client) -> client.carrier().gateway());
	}

	boolean isStale(long nowNanos) {
		return nowNanos - this.idleSinceNanos >= this.idleLimitNanos;
	}

	void close() {
		this.channel.close();
	}

	Channel channel() {
		return this.channel;
	}

	// -- channel events

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.channel = context.channel();
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		this.pool.bytesReceived(this);
		try {
			if (!this.channel.isActive()) {
				return;
			}
			if (this.listener == null) {
				closeAfterStrayBytes("bytes received while no call is in progress");
				return;
			}
			if (message instanceof HttpResponse head) {
				head(head);
			}
			if (message instanceof HttpContent content && this.listener != null) {
				content(content);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void head(HttpResponse head) {
		if (head.decoderResult().isFailure()) {
			fail("the response is not valid HTTP: " + head.decoderResult().cause().getMessage());
			return;
		}
		if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL
				&& head.status().code() != HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
			this.skippingResponse = true;
			return;
		}
		ResponseMetadata terms = this.codec.responseMetadata(head.status().code(), head.headers());
		if (!terms.requestId().isEmpty() && !terms.requestId().equals(this.requestId)) {
			logStray(terms.requestId(), String.valueOf(head.status().code()), ResponseFraming.of(head).name());
			this.skippingResponse = true;
			this.reusable = false;
			return;
		}
		this.skippingResponse = false;
		this.headReceived = true;
		this.naming = terms.requestId().isEmpty() ? "unnamed" : "named";
		this.tunnel.ifPresent((client) -> client.stated(terms.statements()));
		recordKeepAlive(head);
		this.listener.responseHead(head, terms);
	}

	private void content(HttpContent content) {
		if (content.decoderResult().isFailure()) {
			fail("the response is not valid HTTP: " + content.decoderResult().cause().getMessage());
			return;
		}
		if (!this.skippingResponse && this.headReceived) {
			ByteBuf bytes = content.content();
			if (bytes.isReadable()) {
				this.listener.responseBytes(bytes.retain());
			}
			if (content instanceof LastHttpContent && this.listener != null && !this.inputEnd.isFailure()) {
				responseComplete();
			}
		}
	}

	private void responseComplete() {
		ResponseListener completed = this.listener;
		this.listener = null;
		this.reusable &= this.requestWritten && this.channel.isActive();
		if (!this.reusable) {
			this.channel.close();
		}
		else {
			// Deferred, because the bytes being read may contain a second response.
			this.channel.eventLoop().execute(this::release);
		}
		completed.responseComplete();
	}

	/** Returns the connection to the pool for the next call. */
	void release() {
		if (this.channel.isActive() && this.reusable) {
			this.idleSinceNanos = System.nanoTime();
			this.channel.config().setAutoRead(true);
			this.tunnel.ifPresent(TunnelClient::callEnded);
			this.pool.release(this);
		}
	}

	private void recordKeepAlive(HttpResponse head) {
		if (!HttpUtil.isKeepAlive(head)) {
			this.reusable = false;
		}
		String value = head.headers().get("Keep-Alive", "");
		int index = value.indexOf("timeout=");
		if (index >= 0) {
			String digits = value.substring(index + "timeout=".length()).split("[^0-9]", 2)[0];
			if (!digits.isEmpty() && digits.length() < 7) {
				long millis = Math.max(200, Long.parseLong(digits) * 1_000 - IDLE_MARGIN_MILLIS);
				this.idleLimitNanos = TimeUnit.MILLISECONDS.toNanos(millis);
			}
		}
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext context) {
		boolean skipsTooMuch = this.inputEnd.bytes() - this.bytesBefore > MAX_SKIPPED_BYTES;
		if (this.listener != null && !this.headReceived && skipsTooMuch) {
			fail("no response within " + MAX_SKIPPED_BYTES + " bytes");
		}
		if (this.listener != null) {
			this.listener.responseReadComplete();
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		if (this.listener != null && this.channel.isWritable()) {
			this.listener.requestWritable();
		}
	}

	// The decoder has completed a response without length by now.
	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event instanceof ChannelInputShutdownEvent) {
			fail("closed");
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.pool.connectionClosed(this);
		fail("closed here");
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		fail(String.valueOf(cause.getMessage()));
	}

	private void closeAfterStrayBytes(String description) {
		this.reusable = false;
		logStray(description, "none", "none");
		this.channel.close();
	}

	private void logStray(String answers, String status, String framing) {
		EventLog.warn(TrafficEvents.STRAY_ANSWER, "request", this.requestId, "answers", answers, "status", status,
				"framing", framing, "server", this.pool.serverText(this), "connection", this.channel.id(), "call",
				this.callCount, "callMillis", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startedNanos));
	}

	private void fail(String cause) {
		ResponseListener notified = this.listener;
		this.listener = null;
		this.reusable = false;
		this.channel.close();
		if (notified != null) {
			notified.responseFailed(cause);
		}
	}

}
