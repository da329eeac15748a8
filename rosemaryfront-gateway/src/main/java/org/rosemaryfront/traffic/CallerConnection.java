package org.rosemaryfront.traffic;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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
import org.rosemaryfront.ports.CallTerms;
import org.rosemaryfront.routes.CallerLimits;
import org.rosemaryfront.routes.Organisation;
import org.rosemaryfront.routes.Route;
import org.rosemaryfront.routes.TrafficConfiguration;

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
	private static final int HELD_PARTS = 64;

	/**
	 * How long a new connection may wait for its first request while the gateway stops,
	 * in milliseconds: one round trip plus the time that a busy caller takes to write.
	 */
	private static final long NEW_MILLIS = 200;

	/**
	 * How long unread request bytes are still received after the last response, in
	 * milliseconds.
	 */
	private static final long LINGER_MILLIS = 300;

	/**
	 * The Retry-After while this gateway stops, in milliseconds; a retry reaches another
	 * gateway.
	 */
	private static final long STOPPING_MILLIS = 50;

	/**
	 * The Retry-After before the first configuration was received, in milliseconds.
	 */
	private static final long NOT_READY_MILLIS = 300;

	private final Gateway gateway;

	private final Deque<Held> held = new ArrayDeque<>();

	private Channel channel;

	private Optional<Call> call = Optional.empty();

	/** Whether the rest of a refused request is being read and discarded. */
	private boolean dropping;

	private boolean closeAfterAnswer;

	private boolean oldProtocol;

	private boolean answerWithoutBody;

	private boolean closed;

	/** When the last response ended or the connection was made. */
	private long quietSinceNanos = System.nanoTime();

	/** Whether an incomplete request head is being received. */
	private boolean headUnderWay;

	private long headSinceNanos;

	private long lastPartNanos = System.nanoTime();

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
		this.lastPartNanos = System.nanoTime();
		if (this.closed) {
			ReferenceCountUtil.release(message);
			return;
		}
		boolean ahead = this.call.map(Call::isReceived).orElse(false);
		if (ahead || !this.held.isEmpty()) {
			this.held.add(new Held(message, System.nanoTime()));
			if (this.held.size() > HELD_PARTS) {
				reading(false);
			}
			return;
		}
		take(message, System.nanoTime());
	}

	private void take(Object message, long arrivedNanos) {
		try {
			if (message instanceof HttpRequest head) {
				this.headUnderWay = false;
				request(head, arrivedNanos);
			}
			if (message instanceof HttpContent content) {
				body(content);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void request(HttpRequest head, long arrivedNanos) {
		this.dropping = false;
		this.oldProtocol = head.protocolVersion().equals(HttpVersion.HTTP_1_0);
		this.closeAfterAnswer = !HttpUtil.isKeepAlive(head);
		Optional<TrafficConfiguration> configuration = this.gateway.policy().configuration();
		Optional<RequestCheck.Fault> fault = RequestCheck.check(head, this.gateway.limits());
		if (fault.isPresent()) {
			this.closeAfterAnswer = true;
			refuseHead("", fault.get().status(), 0, fault.get().reason());
			return;
		}
		CallTerms terms = this.gateway.codec().terms(head.headers());
		if (configuration.isEmpty()) {
			refuseHead(terms.requestId(), 503, NOT_READY_MILLIS, "no configuration has been received");
			return;
		}
		route(head, terms, configuration.get(), arrivedNanos);
	}

	private void route(HttpRequest head, CallTerms terms, TrafficConfiguration configuration, long arrivedNanos) {
		String path = RequestCheck.path(head.uri());
		Optional<Route> route = configuration.route(RequestCheck.host(head), path);
		if (!this.gateway.policy().accepting(route)) {
			// The load balancer still routes callers here when most gateways of the zone
			// are stopping.
			refuseHead(terms.requestId(), 503, STOPPING_MILLIS, "the gateway is stopping");
			return;
		}
		if (route.isEmpty()) {
			refuseHead(terms.requestId(), 404, 0,
					"no matching route in configuration version " + configuration.version());
			return;
		}
		Optional<Organisation> organisation = terms.key().flatMap(configuration::organisation);
		if (!configuration.organisations().isEmpty() && !route.get().open() && organisation.isEmpty()) {
			refuseHead(terms.requestId(), 401, 0, "unknown key in configuration version " + configuration.version());
			return;
		}
		if (HttpUtil.is100ContinueExpected(head)) {
			this.channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
		}
		String service = route.get().service(Math.random());
		this.call = Optional
			.of(new Call(this.gateway, this, head, terms, route.get(), organisation, service, arrivedNanos));
	}

	private void body(HttpContent content) {
		if (content.decoderResult().isFailure()) {
			this.closeAfterAnswer = true;
			this.call.ifPresent(Call::callerLeft);
			if (!this.closed) {
				refuseHead("", 400, 0, "the body is not valid HTTP: " + content.decoderResult().cause().getMessage());
			}
			return;
		}
		if (this.dropping || this.call.isEmpty()) {
			return;
		}
		Call taker = this.call.get();
		if (content.content().isReadable()) {
			long received = taker.received() + content.content().readableBytes();
			if (received > this.gateway.limits().bodyBytes()) {
				this.closeAfterAnswer = true;
				taker.callerLeft();
				refuseHead(taker.id(), 413, 0, "the body exceeds the size limit");
				return;
			}
			taker.bodyBytes(content.content().retain());
		}
		if (content instanceof LastHttpContent && !taker.isOver()) {
			taker.bodyComplete();
		}
	}

	private void refuseHead(String requestId, int status, long retryAfterMillis, String reason) {
		EventLog.info(TrafficEvents.REQUEST_REFUSED, "request", requestId, "status", status, "reason", reason);
		this.gateway.metrics().refused(status);
		this.dropping = true;
		refuse(status, retryAfterMillis);
	}

	// -- responses

	/**
	 * Sends the head of a response.
	 * @param from the server's response head
	 * @param bodiless whether the response has no body regardless of its head
	 */
	void startAnswer(HttpResponse from, boolean bodiless) {
		HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, from.status(), from.headers().copy());
		boolean sized = HttpUtil.isContentLengthSet(from);
		HopHeaders.remove(head.headers());
		this.gateway.codec().handBack(head.headers());
		this.answerWithoutBody = bodiless || from.status().code() == 204 || from.status().code() == 304;
		if (!sized && !this.answerWithoutBody) {
			if (this.oldProtocol) {
				this.closeAfterAnswer = true;
			}
			else {
				head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, "chunked");
			}
		}
		setConnection(head);
		this.channel.write(head);
	}

	/**
	 * Forwards a chunk of the response body.
	 * @param bytes the bytes; released by this method
	 * @return whether the caller's connection accepts more bytes
	 */
	boolean write(ByteBuf bytes) {
		if (!bytes.isReadable() || this.answerWithoutBody) {
			bytes.release();
		}
		else {
			this.channel.write(new DefaultHttpContent(bytes));
		}
		return this.channel.isWritable();
	}

	void flush() {
		this.channel.flush();
	}

	void endAnswer() {
		answered(LastHttpContent.EMPTY_LAST_CONTENT);
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
		boolean received = this.call.map(Call::isReceived).orElse(true);
		this.closeAfterAnswer |= !received;
		setConnection(head);
		answered(head);
	}

	/**
	 * Closes the connection in the middle of a response, so that the response cannot be
	 * mistaken for a complete one.
	 */
	void abort() {
		this.closed = true;
		this.channel.close();
	}

	void callOver(Call over) {
		if (this.call.filter((current) -> current == over).isPresent()) {
			this.call = Optional.empty();
			this.dropping = !over.isReceived();
			this.quietSinceNanos = System.nanoTime();
			this.gateway.loop().execute(this::takeHeld);
		}
	}

	private void answered(Object last) {
		if (this.closeAfterAnswer) {
			this.closed = true;
			this.channel.writeAndFlush(last).addListener((_) -> closeGently());
		}
		else {
			this.channel.writeAndFlush(last);
		}
		this.quietSinceNanos = System.nanoTime();
	}

	// Closing a socket with unread bytes sends a reset, which can discard the response
	// before the caller has read it.
	private void closeGently() {
		((SocketChannel) this.channel).shutdownOutput();
		this.channel.eventLoop().schedule(() -> this.channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void setConnection(HttpResponse head) {
		this.closeAfterAnswer |= this.gateway.policy().stopping();
		if (this.closeAfterAnswer) {
			head.headers().set(HttpHeaderNames.CONNECTION, "close");
		}
		else if (this.oldProtocol) {
			head.headers().set(HttpHeaderNames.CONNECTION, "keep-alive");
		}
	}

	private void takeHeld() {
		while (!this.held.isEmpty() && !this.closed && this.call.map((now) -> !now.isReceived()).orElse(true)) {
			Held next = this.held.poll();
			take(next.message(), next.arrivedNanos());
		}
		if (this.held.size() <= HELD_PARTS) {
			reading(true);
		}
	}

	// -- connection

	void reading(boolean on) {
		this.channel.config().setAutoRead(on);
	}

	/**
	 * Returns whether the caller has disconnected. Reads from the socket first: when the
	 * gateway is busy, a request is processed before the end of the connection that was
	 * received right after it.
	 * @return true if the connection has ended
	 */
	boolean hasLeft() {
		if (this.channel.config().isAutoRead() && this.channel.unsafe() instanceof NioUnsafe arrived) {
			arrived.read();
		}
		return !this.channel.isActive();
	}

	ByteBufAllocator allocator() {
		return this.channel.alloc();
	}

	/** Records that bytes were received, before they are decoded as HTTP. */
	void bytesArrived() {
		if (this.call.isEmpty() && !this.dropping && !this.headUnderWay) {
			this.headUnderWay = true;
			this.headSinceNanos = System.nanoTime();
		}
	}

	/**
	 * Closes the connection if the caller exceeds a time limit.
	 * @param nowNanos the current time
	 * @param limits the limits
	 */
	void sweep(long nowNanos, CallerLimits limits) {
		long idle = TimeUnit.MILLISECONDS.toNanos(limits.idleMillis());
		if (this.call.isPresent()) {
			boolean stalled = !this.call.get().isReceived() && this.channel.config().isAutoRead()
					&& nowNanos - this.lastPartNanos > idle;
			if (stalled) {
				EventLog.info(TrafficEvents.REQUEST_REFUSED, "request", this.call.get().id(), "status", 408, "reason",
						"the body was not received in time");
				abort();
			}
		}
		else if (this.headUnderWay
				&& nowNanos - this.headSinceNanos > TimeUnit.MILLISECONDS.toNanos(limits.headerMillis())) {
			this.closeAfterAnswer = true;
			refuseHead("", 408, 0, "the headers were not received in time");
		}
		else if (nowNanos - this.quietSinceNanos > idle) {
			abort();
		}
	}

	/**
	 * Closes the connection if it has no request in progress. A connection that is only
	 * just open stays, because its request may be in transit and would get no response.
	 */
	void closeIfIdle() {
		long quietNanos = System.nanoTime() - this.quietSinceNanos;
		if (isIdle() && quietNanos >= TimeUnit.MILLISECONDS.toNanos(NEW_MILLIS)) {
			abort();
		}
	}

	boolean isIdle() {
		return this.call.isEmpty() && this.held.isEmpty() && !this.headUnderWay;
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
		this.call.ifPresent(Call::callerLeft);
		this.held.forEach((part) -> ReferenceCountUtil.release(part.message()));
		this.held.clear();
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
	private record Held(Object message, long arrivedNanos) {
	}

}
