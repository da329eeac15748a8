package org.rosemaryfront.traffic;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
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
 * a complete one, whole or broken off. A response is accepted only if it is known to
 * belong to the current call, see {@link CarriedCalls}. Bytes received while no call is
 * in progress close the connection.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {

	static final int MAX_HEADER_BYTES = 65_536;

	/**
	 * The maximum number of bytes before the head of the response, such as interim
	 * responses and a late one to an earlier call.
	 */
	private static final long MAX_SKIPPED_BYTES = 1_048_576;

	private final ConnectionPool pool;

	private final CallCodec codec;

	private final Optional<TunnelClient> tunnel;

	private final InputEnd inputEnd;

	private final PacedReading reading;

	private final ServerResponseDecoder decoder = ServerResponseDecoder.of(
			new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES).setMaxInitialLineLength(MAX_HEADER_BYTES),
			this::answersHeadRequest, this::isRequestTaken);

	private final CarriedCalls calls = CarriedCalls.none();

	private Channel channel;

	private ResponseListener listener;

	/**
	 * Whether the response being received is interim or belongs to an earlier call.
	 */
	private boolean skippingResponse;

	private boolean headReceived;

	/** Whether the response names the current call, for the log. */
	private String naming = "none";

	/** The memory that the head of the response takes. */
	private long headMemory;

	/** The bytes received on this connection before the current call. */
	private long bytesBefore;

	private boolean requestWritten;

	private boolean reusable = true;

	/** Whether the current call is a HEAD request. */
	private boolean headRequest;

	/** When the current call was started. */
	private long startedNanos;

	private long idleSinceNanos;

	private long idleLimitNanos = IdleLimit.DEFAULT_NANOS;

	private ServerConnection(ConnectionPool pool, CallCodec codec, Optional<TunnelClient> tunnel) {
		this.pool = pool;
		this.codec = codec;
		this.tunnel = tunnel;
		this.reading = new PacedReading(pool.pacing());
		this.inputEnd = new InputEnd(pool::bytesArrived, (nanos) -> this.reading.readProcessed(this.channel, nanos));
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
		pipeline.addLast(this.inputEnd, this.decoder, new HttpRequestEncoder(), this);
	}

	// -- call

	/**
	 * Starts a call on an idle connection.
	 * @param callId the identifier of the call
	 * @param responseListener receives the response
	 */
	void startCall(String callId, ResponseListener responseListener) {
		this.listener = responseListener;
		this.calls.begin(callId);
		this.skippingResponse = false;
		this.headReceived = false;
		this.naming = "none";
		this.bytesBefore = this.inputEnd.bytes();
		this.requestWritten = false;
		this.headRequest = false;
		this.startedNanos = System.nanoTime();
	}

	/**
	 * Returns whether the current call is not the first one on this connection.
	 * @return false for a connection that was opened for the call
	 */
	boolean isReused() {
		return this.calls.count() > 1;
	}

	/**
	 * Describes the current call for the log: what was sent on this connection before it,
	 * and whether its response names it.
	 * @return the connection, the number of the call on it and the name in the response
	 */
	String describe() {
		return this.channel.id() + "/" + this.calls.count() + "/" + this.naming;
	}

	/**
	 * Sends a part of the request.
	 * @param part the head or a chunk of the body
	 */
	void write(HttpObject part) {
		if (part instanceof HttpRequest request && request.method().equals(HttpMethod.HEAD)) {
			this.headRequest = true;
			// The bodies of late responses to it could not be told from those of others.
			this.reusable = false;
		}
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
		this.reading.wanted(this.channel, enabled);
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

	/**
	 * Returns the memory that is held for the current call.
	 * @return the number of bytes of the head of its response, and of its request as far
	 * as the server has not taken it
	 */
	long heldBytes() {
		long head = this.headReceived ? this.headMemory : HeadMemory.ofPart(this.inputEnd.bytes() - this.bytesBefore);
		return head + Outbound.pendingBytes(this.channel);
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

	/**
	 * Returns whether a call can be sent on a connection without one.
	 * @return false if it is closed or received a part of a response
	 */
	boolean isReady() {
		return isActive() && !this.decoder.isInsideHead();
	}

	/**
	 * Returns whether a response to a call could be told from those to earlier ones.
	 * @param callId the identifier of the call
	 * @return whether the connection may carry the call
	 */
	boolean mayCarry(String callId) {
		return this.calls.mayCarry(callId);
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
		this.reading.partReceived();
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
		Optional<String> fault = ServerResponseDecoder.fault(head, !isReused());
		if (fault.isPresent()) {
			fail(fault.get());
			return;
		}
		if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
			this.skippingResponse = true;
			return;
		}
		ResponseMetadata terms = metadata(head);
		if (!this.calls.isCurrent(terms.requestId())) {
			skip(head, terms.requestId());
			return;
		}
		this.calls.answered(terms.requestId());
		this.skippingResponse = false;
		this.headReceived = true;
		this.headMemory = HeadMemory.of(head.headers());
		this.naming = terms.requestId().isEmpty() ? "unnamed" : "named";
		this.tunnel.ifPresent((client) -> client.stated(terms.statements()));
		recordKeepAlive(head);
		this.listener.responseHead(head, terms);
	}

	private ResponseMetadata metadata(HttpResponse head) {
		return this.codec.responseMetadata(head.status().code(), head.headers());
	}

	private boolean answersHeadRequest(HttpResponse head) {
		return this.headRequest && this.calls.isCurrent(metadata(head).requestId());
	}

	private boolean isRequestTaken() {
		boolean takenByCarrier = this.tunnel.map(TunnelClient::isRequestTaken).orElse(true);
		return this.requestWritten && Outbound.pendingBytes(this.channel) == 0 && takenByCarrier;
	}

	// Behind a response that ends with the connection, that to the current call cannot
	// be received.
	private void skip(HttpResponse head, String named) {
		ResponseFraming framing = ResponseFraming.of(head);
		logStray(named.isEmpty() ? "unnamed" : named, String.valueOf(head.status().code()), framing.name());
		this.skippingResponse = true;
		this.reusable = false;
		if (framing == ResponseFraming.CONNECTION && !isWithoutBody(head.status())) {
			fail("a response to another call ends with the connection");
		}
	}

	private static boolean isWithoutBody(HttpResponseStatus status) {
		return status.equals(HttpResponseStatus.NO_CONTENT) || status.equals(HttpResponseStatus.NOT_MODIFIED);
	}

	private void content(HttpContent content) {
		Optional<String> fault = ServerResponseDecoder.fault(content, this.skippingResponse, !isReused());
		if (fault.isPresent()) {
			fail(fault.get());
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
		this.reusable &= this.requestWritten && this.channel.isActive() && this.calls.mayCarryMore();
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
		if (this.decoder.isInsideHead()) {
			closeAfterStrayBytes("bytes received while no call is in progress");
		}
		else if (this.channel.isActive() && this.reusable) {
			this.idleSinceNanos = System.nanoTime();
			setReading(true);
			this.tunnel.ifPresent(TunnelClient::callEnded);
			this.pool.release(this);
		}
	}

	private void recordKeepAlive(HttpResponse head) {
		if (!HttpUtil.isKeepAlive(head)) {
			this.reusable = false;
		}
		IdleLimit.stated(head).ifPresent((nanos) -> this.idleLimitNanos = nanos);
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
		EventLog.warn(TrafficEvents.STRAY_ANSWER, "request", this.calls.current(), "answers", answers, "status", status,
				"framing", framing, "server", this.pool.serverText(this), "connection", this.channel.id(), "call",
				this.calls.count(), "callMillis", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startedNanos));
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
