package org.rosemaryfront.traffic;

import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;

import org.rosemaryfront.limits.ServerStatements;
import org.rosemaryfront.moves.RunPace;
import org.rosemaryfront.ports.ResponseMetadata;
import org.rosemaryfront.routes.CallKind;
import org.rosemaryfront.routes.Route;
import org.rosemaryfront.traffic.CallPolicy.Ending;

/**
 * The response of a call: what the servers of its attempts sent, and what of it the
 * caller was sent. Confined to the traffic thread.
 */
final class CallResponse {

	/**
	 * The maximum number of bytes of a response that are buffered before it is sent to
	 * the caller, unless it is a stream. If a buffered response fails, the call can be
	 * sent again.
	 */
	private static final int MAX_BUFFERED_BYTES = 262_144;

	/** The maximum number of bytes of a response that is buffered to its end. */
	private static final int MAX_ERROR_BYTES = 1_048_576;

	/**
	 * The number of bytes of a response in progress that are forwarded before everything
	 * was read that has arrived.
	 */
	private static final int MAX_BATCH_BYTES = 65_536;

	/** The maximum number of bytes of one event of a stream. */
	private static final long MAX_EVENT_BYTES = 1_048_576;

	/** Statuses that promise the caller that the call has not run and never will. */
	private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

	private final CallerConnection caller;

	private final HttpMethod method;

	private final Route route;

	/** Whether a stream may move to another server together with its run. */
	private final boolean movable;

	private Optional<HttpResponse> head = Optional.empty();

	/** What the current attempt received, empty before the head of its response. */
	private Optional<ReceivedBody> received = Optional.empty();

	private ResponseMetadata metadata = new ResponseMetadata("", false, false, ServerStatements.unknown());

	/** What is held of a body without events until it is forwarded. */
	private final BodyBuffer buffer;

	/**
	 * Whether an error response of the server is complete, so that it can be forwarded.
	 */
	private boolean errorComplete;

	private boolean started;

	private final ResponseTimes times = new ResponseTimes();

	/** The events received of the stream; read by any thread. */
	private volatile RunPace pace = RunPace.unknown();

	/** Present once a stream has started that can be resumed or can move. */
	private Optional<EventFramer> framer = Optional.empty();

	/** Receives the version of the server whose event is sent first. */
	private final Consumer<String> onFirstEvent;

	private boolean eventSent;

	/**
	 * The version that made the events that the caller has of the stream; no other one
	 * can go on with it. Read by any thread.
	 */
	private volatile Optional<String> streamVersion = Optional.empty();

	private CallResponse(CallerConnection caller, HttpMethod method, Route route, boolean movable,
			Consumer<String> onFirstEvent) {
		this.caller = caller;
		this.buffer = new BodyBuffer(caller.allocator());
		this.method = method;
		this.route = route;
		this.movable = movable;
		this.onFirstEvent = onFirstEvent;
	}

	/**
	 * Creates the response of a call of which nothing was received.
	 * @param caller the connection of the caller
	 * @param method the method of the request
	 * @param route the route of the call
	 * @param movable whether a stream may move to another server together with its run
	 * @param onFirstEvent receives the version of the server whose event is sent first,
	 * right before it is sent
	 * @return the response
	 */
	static CallResponse of(CallerConnection caller, HttpMethod method, Route route, boolean movable,
			Consumer<String> onFirstEvent) {
		return new CallResponse(caller, method, route, movable, onFirstEvent);
	}

	/**
	 * Binds the response to the version that began the stream in an earlier call.
	 * @param version the version
	 */
	void goOnWith(String version) {
		this.streamVersion = Optional.of(version);
	}

	// -- an attempt

	/** Called before the request is sent to a server. */
	void attemptBegins() {
		this.received = Optional.empty();
		this.errorComplete = false;
		this.buffer.release();
		if (!this.started) {
			this.head = Optional.empty();
		}
	}

	/**
	 * Receives the head of a server's response.
	 * @param serverHead the head
	 * @param from the metadata that the server sent with it
	 * @return what follows from it
	 */
	Head receiveHead(HttpResponse serverHead, ResponseMetadata from) {
		ReceivedBody body = ReceivedBody.of(serverHead, this.route.kind() == CallKind.STREAMING, isEventExpected());
		this.received = Optional.of(body);
		if (this.started) {
			boolean goesOn = body.isEventStream() && from.signed();
			return goesOn ? new Head.Resumed()
					: new Head.Unusable("a resumed stream failed with status " + serverHead.status().code());
		}
		this.head = Optional.of(serverHead);
		this.metadata = from;
		boolean success = serverHead.status().codeClass() == HttpStatusClass.SUCCESS;
		if (success && !from.signed()) {
			return new Head.Unusable("the server sent a success response without a signature");
		}
		if (this.route.kind() == CallKind.STREAMING && success) {
			if ((this.route.resumable() || this.movable) && body.isEventStream()) {
				this.framer = Optional.of(new EventFramer(this.caller.allocator()));
			}
			start();
			return new Head.Accepted(false);
		}
		return new Head.Accepted(!from.notRun());
	}

	private boolean isEventExpected() {
		boolean hasBody = !this.method.equals(HttpMethod.HEAD);
		return hasBody && this.framer.map(EventFramer::isEventExpected).orElse(true);
	}

	/**
	 * Receives bytes of the body. What the caller may have of them is forwarded at the
	 * latest by {@link #forwardReceived}, so that small chunks are sent together.
	 * @param bytes the bytes; released by this method
	 * @param version the version of the server
	 * @return whether the caller's connection accepts more bytes
	 * @throws ResponseTooLongException if the server sends more than may be buffered
	 */
	boolean receive(ByteBuf bytes, String version) {
		int completeBytes = this.received.map((body) -> add(body, bytes)).orElse(0);
		if (openEventBytes() > MAX_EVENT_BYTES) {
			bytes.release();
			throw ResponseTooLongException.of("an event", MAX_EVENT_BYTES);
		}
		if (this.started) {
			this.times.chunkReceived(System.nanoTime());
			return add(bytes, completeBytes, version);
		}
		this.buffer.add(bytes);
		if (this.buffer.size() > MAX_BUFFERED_BYTES && isFinal()) {
			startBuffered();
		}
		if (this.buffer.size() > MAX_ERROR_BYTES) {
			this.buffer.release();
			throw ResponseTooLongException.of("an error response", MAX_ERROR_BYTES);
		}
		return true;
	}

	private int add(ReceivedBody body, ByteBuf bytes) {
		long before = body.events();
		int completeBytes = body.add(bytes);
		this.pace = this.pace.plus(body.events() - before, System.nanoTime());
		return completeBytes;
	}

	private boolean add(ByteBuf bytes, int completeBytes, String version) {
		this.framer.ifPresentOrElse((events) -> events.add(bytes, completeBytes), () -> this.buffer.add(bytes));
		int complete = this.framer.map(EventFramer::completeBytes).orElseGet(this.buffer::size);
		if (complete > 0 && this.framer.isPresent() && !this.eventSent) {
			this.eventSent = true;
			this.streamVersion = Optional.of(version);
			if (this.route.resumable()) {
				this.onFirstEvent.accept(version);
			}
		}
		return complete < MAX_BATCH_BYTES || forwardReceived();
	}

	/**
	 * Forwards what was received of a started response, but for an incomplete event.
	 * @return whether the caller's connection accepts more bytes
	 */
	boolean forwardReceived() {
		this.framer.flatMap(EventFramer::takeComplete).ifPresent(this.caller::write);
		this.buffer.takeAll().forEach(this.caller::write);
		return this.caller.isWritable();
	}

	/**
	 * Called when the response of an attempt will not be completed. The last bytes of one
	 * that cannot go on are not forwarded: with them it might look complete.
	 */
	void attemptFailed() {
		this.framer.ifPresent((events) -> {
			forwardReceived();
			this.caller.flush();
			events.discardIncomplete();
		});
		if (this.started) {
			this.buffer.release();
		}
	}

	/** Called when an error response of the server is complete. */
	void errorReceived() {
		this.errorComplete = true;
	}

	// -- to the caller

	// A stream that is resumed need not have the length that its first server stated.
	private void start() {
		this.started = true;
		this.caller.startResponse(this.head.orElseThrow(), this.method.equals(HttpMethod.HEAD), this.framer.isEmpty());
	}

	/** Starts the response and forwards what was buffered of it. */
	void startBuffered() {
		start();
		this.buffer.takeAll().forEach(this.caller::write);
	}

	/**
	 * Forwards a response from now on that is held only to try another server if it
	 * fails.
	 * @return false if it must be held, or is forwarded already
	 */
	boolean startEarly() {
		boolean early = !this.started && this.received.isPresent() && isFinal();
		if (early) {
			startBuffered();
			this.caller.flush();
		}
		return early;
	}

	/** Releases all buffers. */
	void release() {
		this.buffer.release();
		this.framer.ifPresent(EventFramer::release);
		this.framer = Optional.empty();
	}

	// -- queries

	/**
	 * Returns whether the response is forwarded without asking the policy: a success, or
	 * an error that any other server would return as well.
	 * @return false for a failure of the server and a call that it did not run
	 */
	boolean isFinal() {
		HttpStatusClass status = this.head.orElseThrow().status().codeClass();
		boolean serverFault = status == HttpStatusClass.SERVER_ERROR || this.metadata.notRun() || isFalsePromise();
		return !serverFault;
	}

	// A caller that trusts the status would repeat a call that may have run.
	private boolean isFalsePromise() {
		return !this.route.retryable() && !this.metadata.notRun() && NOT_RUN_STATUSES.contains(statusCode());
	}

	boolean isStarted() {
		return this.started;
	}

	/**
	 * Returns whether another server can go on with the call.
	 * @return false once a response that cannot be resumed has started
	 */
	boolean canGoOn() {
		return !this.started || (this.framer.isPresent() && this.route.resumable());
	}

	/**
	 * Returns the events received of a stream that can move to another server.
	 * @return their pace, unknown if the stream cannot move or has not begun
	 */
	RunPace movablePace() {
		return this.movable ? this.pace : RunPace.unknown();
	}

	/**
	 * Returns whether the end of the connection is the only sign of the body's end.
	 * @return true for a stream without length and chunks
	 */
	boolean endsWithConnection() {
		return this.received.filter((body) -> body.isEventStream() && body.framing() == ResponseFraming.CONNECTION)
			.isPresent();
	}

	/**
	 * Returns whether the server broke the body off although it seems complete.
	 * @return true for a stream that ends inside an event or has none
	 */
	boolean isBrokenOff() {
		return this.received.filter(ReceivedBody::isBrokenOff).isPresent();
	}

	/**
	 * Returns how the response ended, once it has ended regularly.
	 * @return whether it is a success and known to be complete
	 */
	Ending ending() {
		HttpResponseStatus status = this.head.orElseThrow().status();
		if (status.codeClass() != HttpStatusClass.SUCCESS) {
			return Ending.RESPONDED;
		}
		boolean hasBody = !this.method.equals(HttpMethod.HEAD) && !status.equals(HttpResponseStatus.NO_CONTENT);
		boolean closed = hasBody && this.received.orElseThrow().framing() == ResponseFraming.CONNECTION;
		return closed ? Ending.CLOSED : Ending.SUCCEEDED;
	}

	/**
	 * Returns the memory that is held of the response.
	 * @return the number of bytes
	 */
	long heldBytes() {
		return this.buffer.capacity() + this.framer.map(EventFramer::capacity).orElse(0L);
	}

	boolean isNotRun() {
		return this.metadata.notRun();
	}

	/**
	 * Returns whether the caller can be given the server's error response.
	 * @return true if it is complete, does not state that the call did not run and does
	 * not promise that without stating it
	 */
	boolean hasError() {
		return this.errorComplete && !this.metadata.notRun() && !isFalsePromise();
	}

	Optional<String> lastEvent() {
		return this.framer.flatMap(EventFramer::lastId);
	}

	Optional<String> streamVersion() {
		return this.streamVersion;
	}

	/**
	 * Returns whether a server of a version can go on with the stream.
	 * @param version the version
	 * @return false if another version made the events that the caller has
	 */
	boolean canGoOnAt(String version) {
		return this.streamVersion.map(version::equals).orElse(true);
	}

	int statusCode() {
		return this.head.map((given) -> given.status().code()).orElse(0);
	}

	ResponseTimes times() {
		return this.times;
	}

	Optional<ResponseFraming> framing() {
		return this.received.map(ReceivedBody::framing);
	}

	/**
	 * Returns the framing of what the current attempt received, for the log.
	 * @return the name of the framing, or none before a head
	 */
	String framingText() {
		return framing().map(ResponseFraming::name).orElse("none");
	}

	long bodyBytes() {
		return this.received.map(ReceivedBody::bytes).orElse(0L);
	}

	/**
	 * Returns the number of bytes received of an incomplete event.
	 * @return more than 0 for a stream that ended inside an event
	 */
	long openEventBytes() {
		return this.received.map(ReceivedBody::openEventBytes).orElse(0L);
	}

	/** What follows from the head of a server's response. */
	sealed interface Head {

		/**
		 * The response can be used.
		 *
		 * @param running whether the server is known to run the call already
		 */
		record Accepted(boolean running) implements Head {
		}

		/** The server goes on with a stream. */
		record Resumed() implements Head {
		}

		/**
		 * The response cannot be used.
		 *
		 * @param cause the cause, for the log
		 */
		record Unusable(String cause) implements Head {
		}

	}

}
