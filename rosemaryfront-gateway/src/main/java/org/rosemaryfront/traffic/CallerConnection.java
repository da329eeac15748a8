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
 * One connection of a caller, with one call at a time; requests sent ahead wait.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

	/**
	 * The parts of requests sent ahead that are held, before reading stops. Reading goes
	 * on while a call runs, since only that shows that the caller left.
	 */
	private static final int HELD_PARTS = 64;

	/**
	 * How long a new connection may wait for its first request while the process stops,
	 * in milliseconds: a round trip, and what a busy caller takes to write.
	 */
	private static final long NEW_MILLIS = 200;

	/** How long the rest of a request is read behind the last answer, in milliseconds. */
	private static final long LINGER_MILLIS = 300;

	/** When to come back to another process, in milliseconds. */
	private static final long STOPPING_MILLIS = 50;

	/** When to come back while no configuration is known, in milliseconds. */
	private static final long NOT_READY_MILLIS = 300;

	private final Gateway gateway;

	private final Deque<Held> held = new ArrayDeque<>();

	private Channel channel;

	private Optional<Call> call = Optional.empty();

	/** Whether the rest of a refused request is read and dropped. */
	private boolean dropping;

	private boolean closeAfterAnswer;

	private boolean oldProtocol;

	private boolean answerWithoutBody;

	private boolean closed;

	/** When the last answer ended, or the connection was made. */
	private long quietSinceNanos = System.nanoTime();

	/** Whether bytes of a request came of which the head is not complete. */
	private boolean headUnderWay;

	private long headSinceNanos;

	private long lastPartNanos = System.nanoTime();

	CallerConnection(Gateway gateway) {
		this.gateway = gateway;
	}

	// -- the caller's side

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
			refuseHead(terms.requestId(), 503, NOT_READY_MILLIS, "no configuration is known");
			return;
		}
		route(head, terms, configuration.get(), arrivedNanos);
	}

	private void route(HttpRequest head, CallTerms terms, TrafficConfiguration configuration, long arrivedNanos) {
		String path = RequestCheck.path(head.uri());
		Optional<Route> route = configuration.route(RequestCheck.host(head), path);
		if (!this.gateway.policy().accepting(route)) {
			// The balancer still sends callers here when most processes of the zone stop.
			refuseHead(terms.requestId(), 503, STOPPING_MILLIS, "the process stops");
			return;
		}
		if (route.isEmpty()) {
			refuseHead(terms.requestId(), 404, 0, "no route in version " + configuration.version());
			return;
		}
		Optional<Organisation> organisation = terms.key().flatMap(configuration::organisation);
		if (!configuration.organisations().isEmpty() && !route.get().open() && organisation.isEmpty()) {
			refuseHead(terms.requestId(), 401, 0, "no such key in version " + configuration.version());
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
				refuseHead("", 400, 0, "the body is no HTTP: " + content.decoderResult().cause().getMessage());
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
				refuseHead(taker.id(), 413, 0, "the body is too long");
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

	// -- answers

	/**
	 * Starts an answer.
	 * @param from the server's head
	 * @param bodiless whether no body follows whatever the head says
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
	 * Passes on a piece of the answer.
	 * @param bytes the bytes; released here
	 * @return whether the caller takes more
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
	 * Answers of our own accord, with an empty body.
	 * @param status the status
	 * @param retryAfterMillis when to come back, in milliseconds; 0 for not saying
	 */
	void refuse(int status, long retryAfterMillis) {
		FullHttpResponse head = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
		head.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
		if (retryAfterMillis > 0) {
			head.headers()
				.set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfterMillis / 1_000.0));
		}
		// The rest of the body would have to be read before the next request.
		boolean received = this.call.map(Call::isReceived).orElse(true);
		this.closeAfterAnswer |= !received;
		setConnection(head);
		answered(head);
	}

	/** Breaks an answer off, so that it cannot look complete. */
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

	// Bytes that were sent and not read would turn the close into a reset, which can take
	// the answer away before the caller has read it.
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

	// -- the connection

	void reading(boolean on) {
		this.channel.config().setAutoRead(on);
	}

	/**
	 * Whether the caller left, by all that has arrived from it. While this process is
	 * busy a request is read before the end of the connection that came right behind it.
	 * @return true when its connection has ended
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

	/** Notes that bytes arrived, before they are read as HTTP. */
	void bytesArrived() {
		if (this.call.isEmpty() && !this.dropping && !this.headUnderWay) {
			this.headUnderWay = true;
			this.headSinceNanos = System.nanoTime();
		}
	}

	/**
	 * Closes the connection if its caller takes too long.
	 * @param nowNanos the time
	 * @param limits what callers may take
	 */
	void sweep(long nowNanos, CallerLimits limits) {
		long idle = TimeUnit.MILLISECONDS.toNanos(limits.idleMillis());
		if (this.call.isPresent()) {
			boolean stalled = !this.call.get().isReceived() && this.channel.config().isAutoRead()
					&& nowNanos - this.lastPartNanos > idle;
			if (stalled) {
				EventLog.info(TrafficEvents.REQUEST_REFUSED, "request", this.call.get().id(), "status", 408, "reason",
						"the body stalls");
				abort();
			}
		}
		else if (this.headUnderWay
				&& nowNanos - this.headSinceNanos > TimeUnit.MILLISECONDS.toNanos(limits.headerMillis())) {
			this.closeAfterAnswer = true;
			refuseHead("", 408, 0, "the headers take too long");
		}
		else if (nowNanos - this.quietSinceNanos > idle) {
			abort();
		}
	}

	/**
	 * Closes the connection if no request is under way. One that was made a moment ago
	 * stays: its request is on its way, and would be lost without an answer.
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
		// Callers reset connections all the time; anything else is a defect of ours.
		if (!(cause instanceof IOException)) {
			EventLog.error(cause, TrafficEvents.CONNECTION_FAILED, "cause", cause);
		}
		this.channel.close();
	}

	/** A part of a request that waits for its turn; its time runs from its arrival. */
	private record Held(Object message, long arrivedNanos) {
	}

}
