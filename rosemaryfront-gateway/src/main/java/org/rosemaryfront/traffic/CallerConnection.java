package org.rosemaryfront.traffic;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.nio.AbstractNioChannel.NioUnsafe;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.ports.CallMetadata;
import org.rosemaryfront.routes.CallerLimits;
import org.rosemaryfront.routes.Organisation;
import org.rosemaryfront.routes.Route;
import org.rosemaryfront.routes.TrafficConfiguration;
import org.rosemaryfront.traffic.HeldBytes.Holding;
import org.rosemaryfront.traffic.Refusal.Cause;

/**
 * A connection of a caller, which processes one call at a time. Pipelined requests are
 * queued.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

	/**
	 * The number of queued messages of pipelined requests above which reading stops.
	 * Reading continues while a call runs, because only a read detects that the caller
	 * disconnected.
	 */
	private static final int MAX_QUEUED_MESSAGES = 64;

	/**
	 * How long a new connection may wait for its first request while the gateway stops,
	 * in milliseconds: one round trip plus the time that a busy caller takes to write.
	 */
	private static final long FIRST_REQUEST_MILLIS = 200;

	/**
	 * How long unread request bytes are still received after the last response, in
	 * milliseconds.
	 */
	private static final long LINGER_MILLIS = 300;

	/**
	 * The Retry-After while this gateway stops, in milliseconds; a retry reaches another
	 * gateway.
	 */
	private static final long STOPPING_RETRY_MILLIS = 50;

	/**
	 * The Retry-After before the first configuration was received, in milliseconds.
	 */
	private static final long NOT_READY_RETRY_MILLIS = 300;

	private final Gateway gateway;

	private final Deque<QueuedMessage> queue = new ArrayDeque<>();

	private Channel channel;

	private Optional<Call> call = Optional.empty();

	/** Whether the rest of a refused request is being read and discarded. */
	private boolean discarding;

	private boolean closeAfterResponse;

	private boolean http10;

	private boolean bodilessResponse;

	private boolean closed;

	/** When the last response ended or the connection was made. */
	private long idleSinceNanos = System.nanoTime();

	/** Whether an incomplete request head is being received. */
	private boolean receivingHead;

	private long headStartNanos;

	private long lastMessageNanos = System.nanoTime();

	CallerConnection(Gateway gateway) {
		this.gateway = gateway;
	}

	// -- requests

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.channel = context.channel();
		this.gateway.callers().add(this);
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		this.lastMessageNanos = System.nanoTime();
		if (this.closed) {
			ReferenceCountUtil.release(message);
			return;
		}
		boolean pipelined = this.call.map(Call::isRequestComplete).orElse(false);
		if (pipelined || !this.queue.isEmpty()) {
			this.queue.add(new QueuedMessage(message, System.nanoTime()));
			if (this.queue.size() > MAX_QUEUED_MESSAGES) {
				setReading(false);
			}
			return;
		}
		process(message, System.nanoTime());
	}

	private void process(Object message, long arrivedNanos) {
		try {
			if (message instanceof HttpRequest head) {
				this.receivingHead = false;
				requestHead(head, arrivedNanos);
			}
			if (message instanceof HttpContent content) {
				requestBody(content);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void requestHead(HttpRequest head, long arrivedNanos) {
		this.discarding = false;
		this.http10 = head.protocolVersion().equals(HttpVersion.HTTP_1_0);
		this.closeAfterResponse = !HttpUtil.isKeepAlive(head);
		Optional<TrafficConfiguration> configuration = this.gateway.policy().configuration();
		Optional<RequestValidator.Fault> fault = RequestValidator.validate(head, this.gateway.limits());
		if (fault.isPresent()) {
			this.closeAfterResponse = true;
			refuseRequest("", fault.get().status(), 0, fault.get().reason());
			return;
		}
		CallMetadata terms = this.gateway.codec().callMetadata(head.headers());
		if (configuration.isEmpty()) {
			refuseRequest(terms.requestId(), 503, NOT_READY_RETRY_MILLIS, "no configuration has been received");
			return;
		}
		route(head, terms, configuration.get(), arrivedNanos);
	}

	private void route(HttpRequest head, CallMetadata terms, TrafficConfiguration configuration, long arrivedNanos) {
		String path = RequestValidator.path(head.uri());
		Optional<Route> route = configuration.route(RequestValidator.host(head), path);
		if (!this.gateway.policy().acceptsNewCall(route)) {
			// The load balancer still routes callers here when most gateways of the zone
			// are stopping.
			refuseRequest(terms.requestId(), 503, STOPPING_RETRY_MILLIS, "the gateway is stopping");
			return;
		}
		if (route.isEmpty()) {
			refuseRequest(terms.requestId(), 404, 0,
					"no matching route in configuration version " + configuration.version());
			return;
		}
		Optional<Organisation> organisation = terms.key().flatMap(configuration::organisation);
		if (!configuration.organisations().isEmpty() && !route.get().keyless() && organisation.isEmpty()) {
			refuseRequest(terms.requestId(), 401, 0, "unknown key in configuration version " + configuration.version());
			return;
		}
		if (HttpUtil.is100ContinueExpected(head)) {
			this.channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
		}
		String service = route.get().selectService(Math.random());
		this.gateway.metrics().received();
		this.call = Optional
			.of(new Call(this.gateway, this, head, terms, route.get(), organisation, service, arrivedNanos));
	}

	private void requestBody(HttpContent content) {
		if (content.decoderResult().isFailure()) {
			this.closeAfterResponse = true;
			this.call.ifPresent(Call::callerDisconnected);
			if (!this.closed) {
				refuseRequest("", 400, 0,
						"the body is not valid HTTP: " + content.decoderResult().cause().getMessage());
			}
			return;
		}
		if (this.discarding || this.call.isEmpty()) {
			return;
		}
		Call currentCall = this.call.get();
		if (content.content().isReadable()) {
			long received = currentCall.receivedBytes() + content.content().readableBytes();
			if (received > this.gateway.limits().bodyBytes()) {
				this.closeAfterResponse = true;
				currentCall.callerDisconnected();
				refuseRequest(currentCall.id(), 413, 0, "the body exceeds the size limit");
				return;
			}
			currentCall.bodyBytes(content.content().retain());
		}
		if (content instanceof LastHttpContent && !currentCall.isEnded()) {
			currentCall.bodyComplete();
		}
	}

	private void refuseRequest(String requestId, int status, long retryAfterMillis, String reason) {
		EventLog.info(TrafficEvents.REQUEST_REFUSED, "request", requestId, "status", status, "reason", reason);
		this.gateway.metrics().refused(status);
		this.discarding = true;
		refuse(status, retryAfterMillis);
	}

	// -- responses

	/**
	 * Sends the head of a response.
	 * @param serverHead the server's response head
	 * @param bodiless whether the response has no body regardless of its head
	 * @param lengthKnown whether the body has the length that the head states, if any
	 */
	void startResponse(HttpResponse serverHead, boolean bodiless, boolean lengthKnown) {
		HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, serverHead.status(),
				serverHead.headers().copy());
		boolean hasLength = lengthKnown && HttpUtil.isContentLengthSet(serverHead);
		HopByHopHeaders.remove(head.headers());
		if (!hasLength) {
			head.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
		}
		this.gateway.codec().toCallerHeaders(head.headers());
		this.bodilessResponse = bodiless || serverHead.status().code() == 204 || serverHead.status().code() == 304;
		if (!hasLength && !this.bodilessResponse) {
			if (this.http10) {
				this.closeAfterResponse = true;
				resetWhenClosed(true);
			}
			else {
				head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, "chunked");
			}
		}
		setConnectionHeader(head);
		this.channel.write(head);
	}

	/**
	 * Forwards a chunk of the response body.
	 * @param bytes the bytes; released by this method
	 * @return whether the caller's connection accepts more bytes
	 */
	boolean write(ByteBuf bytes) {
		if (!bytes.isReadable() || this.bodilessResponse) {
			bytes.release();
		}
		else {
			this.channel.write(new DefaultHttpContent(bytes));
		}
		return this.channel.isWritable();
	}

	boolean isWritable() {
		return this.channel.isWritable();
	}

	void flush() {
		this.channel.flush();
	}

	void endResponse() {
		writeLast(LastHttpContent.EMPTY_LAST_CONTENT);
	}

	/**
	 * Sends a response with an empty body that the gateway creates itself.
	 * @param status the status
	 * @param retryAfterMillis the Retry-After, in milliseconds; 0 for none
	 */
	void refuse(int status, long retryAfterMillis) {
		FullHttpResponse head = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
		head.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
		if (retryAfterMillis > 0) {
			head.headers()
				.set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfterMillis / 1_000.0));
		}
		// Keeping the connection would require reading the rest of the body first.
		boolean received = this.call.map(Call::isRequestComplete).orElse(true);
		this.closeAfterResponse |= !received;
		setConnectionHeader(head);
		writeLast(head);
	}

	/**
	 * Closes the connection in the middle of a response, so that the response cannot be
	 * mistaken for a complete one.
	 */
	void abort() {
		this.closed = true;
		this.channel.close();
	}

	void callEnded(Call ended) {
		if (this.call.filter((current) -> current == ended).isPresent()) {
			this.call = Optional.empty();
			this.discarding = !ended.isRequestComplete();
			this.idleSinceNanos = System.nanoTime();
			this.gateway.loop().execute(this::processQueue);
		}
	}

	private void writeLast(Object last) {
		if (this.closeAfterResponse) {
			this.closed = true;
			this.channel.writeAndFlush(last).addListener((_) -> closeAfterLinger());
		}
		else {
			this.channel.writeAndFlush(last);
		}
		this.idleSinceNanos = System.nanoTime();
	}

	// To such a caller, the end of the connection is the end of the response. While that
	// is incomplete, any end is a reset, also that of this process.
	private void resetWhenClosed(boolean enabled) {
		if (this.channel.isActive()) {
			this.channel.config().setOption(ChannelOption.SO_LINGER, enabled ? 0 : -1);
		}
	}

	// Closing a socket with unread bytes sends a reset, which can discard the response
	// before the caller has read it.
	private void closeAfterLinger() {
		resetWhenClosed(false);
		((SocketChannel) this.channel).shutdownOutput();
		this.channel.eventLoop().schedule(() -> this.channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void setConnectionHeader(HttpResponse head) {
		this.closeAfterResponse |= this.gateway.policy().isStopping();
		if (this.closeAfterResponse) {
			head.headers().set(HttpHeaderNames.CONNECTION, "close");
		}
		else if (this.http10) {
			head.headers().set(HttpHeaderNames.CONNECTION, "keep-alive");
		}
	}

	private void processQueue() {
		while (!this.queue.isEmpty() && !this.closed
				&& this.call.map((active) -> !active.isRequestComplete()).orElse(true)) {
			QueuedMessage next = this.queue.poll();
			process(next.message(), next.arrivedNanos());
		}
		if (this.queue.size() <= MAX_QUEUED_MESSAGES) {
			setReading(true);
		}
	}

	// -- connection

	void setReading(boolean enabled) {
		this.channel.config().setAutoRead(enabled);
	}

	/**
	 * Returns whether the caller has disconnected. Reads from the socket first: when the
	 * gateway is busy, a request is processed before the end of the connection that was
	 * received right after it.
	 * @return true if the connection has ended
	 */
	boolean isDisconnected() {
		if (this.channel.config().isAutoRead() && this.channel.unsafe() instanceof NioUnsafe unsafe) {
			unsafe.read();
		}
		return !this.channel.isActive();
	}

	/**
	 * Returns what is held for this connection: responses that the caller has not read,
	 * and its call.
	 * @return the holdings
	 */
	Stream<Holding> holdings() {
		String text = this.channel.id().asShortText();
		Holding unread = Holding.response(text, Outbound.pendingBytes(this.channel), this::abort);
		return Stream.concat(Stream.of(unread), this.call.stream().flatMap((active) -> active.holdings(text)));
	}

	ByteBufAllocator allocator() {
		return this.channel.alloc();
	}

	/** Records that bytes were received, before they are decoded as HTTP. */
	void bytesArrived() {
		if (this.call.isEmpty() && !this.discarding && !this.receivingHead) {
			this.receivingHead = true;
			this.headStartNanos = System.nanoTime();
		}
	}

	/**
	 * Closes the connection if the caller exceeds a time limit.
	 * @param nowNanos the current time
	 * @param limits the limits
	 */
	void enforceTimeouts(long nowNanos, CallerLimits limits) {
		long idleLimitNanos = TimeUnit.MILLISECONDS.toNanos(limits.idleMillis());
		if (this.call.isPresent()) {
			boolean stalled = !this.call.get().isRequestComplete() && this.channel.config().isAutoRead()
					&& nowNanos - this.lastMessageNanos > idleLimitNanos;
			if (stalled) {
				EventLog.info(TrafficEvents.REQUEST_REFUSED, "request", this.call.get().id(), "status", 408, "reason",
						"the body was not received in time");
				abort();
			}
		}
		else if (this.receivingHead
				&& nowNanos - this.headStartNanos > TimeUnit.MILLISECONDS.toNanos(limits.headerMillis())) {
			this.closeAfterResponse = true;
			refuseRequest("", 408, 0, "the headers were not received in time");
		}
		else if (nowNanos - this.idleSinceNanos > idleLimitNanos) {
			abort();
		}
	}

	/**
	 * Closes the connection if it has no request in progress. A connection that is only
	 * just open stays, because its request may be in transit and would get no response.
	 */
	void closeIfIdle() {
		long idleNanos = System.nanoTime() - this.idleSinceNanos;
		if (isIdle() && idleNanos >= TimeUnit.MILLISECONDS.toNanos(FIRST_REQUEST_MILLIS)) {
			abort();
		}
	}

	/** Ends the call in progress, if any, because this gateway ends. */
	void endCall() {
		this.call.ifPresent((active) -> active.end(false, STOPPING_RETRY_MILLIS, Refusal.of(Cause.STOPPING, "")));
	}

	boolean isIdle() {
		return this.call.isEmpty() && this.queue.isEmpty() && !this.receivingHead;
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		if (this.channel.isWritable()) {
			this.call.ifPresent(Call::callerWritable);
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.closed = true;
		this.gateway.callers().remove(this);
		this.call.ifPresent(Call::callerDisconnected);
		this.queue.forEach((queued) -> ReferenceCountUtil.release(queued.message()));
		this.queue.clear();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		// Connection resets by callers are normal; any other exception is a defect of the
		// gateway.
		if (!(cause instanceof IOException)) {
			EventLog.error(cause, TrafficEvents.CONNECTION_FAILED, "cause", cause);
		}
		this.channel.close();
	}

	/**
	 * A message of a pipelined request. The time limits of its call count from its
	 * arrival.
	 */
	private record QueuedMessage(Object message, long arrivedNanos) {
	}

}
