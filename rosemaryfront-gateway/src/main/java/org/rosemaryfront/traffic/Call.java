package org.rosemaryfront.traffic;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.Future;

import org.rosemaryfront.crashes.RequestDigest;
import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.moves.RunPace;
import org.rosemaryfront.ports.CallMetadata;
import org.rosemaryfront.ports.CallMetadata.Resumption;
import org.rosemaryfront.ports.ForwardingMetadata;
import org.rosemaryfront.ports.ResponseMetadata;
import org.rosemaryfront.routes.CallKind;
import org.rosemaryfront.routes.Organisation;
import org.rosemaryfront.routes.Route;
import org.rosemaryfront.streams.Origin;
import org.rosemaryfront.traffic.CallPolicy.Ending;
import org.rosemaryfront.traffic.CallResponse.Head;
import org.rosemaryfront.traffic.HeldBytes.Holding;

/**
 * A request of a caller from its receipt until its response is complete. Its state is
 * confined to the traffic thread; operations of other threads are scheduled there.
 */
public final class Call implements ResponseListener {

	/**
	 * The Retry-After of a call whose deadline passed before it was sent, in
	 * milliseconds. It is short because by then the cause of the wait is over or the
	 * caller has no time left.
	 */
	private static final long UNSENT_RETRY_MILLIS = 200;

	private final Gateway gateway;

	private final CallerConnection caller;

	private final HttpRequest head;

	private final CallMetadata metadata;

	private final Route route;

	private final Optional<Organisation> organisation;

	private final String service;

	private final long receivedNanos;

	private final long deadlineNanos;

	private final Future<?> deadlineTimer;

	private final RequestBody body;

	/**
	 * Whether the body is streamed to the server, so that the call cannot be sent again.
	 */
	private boolean streamingRequest;

	// Server and response

	private State state = State.GATHERING;

	private Optional<BackendServer> server = Optional.empty();

	private Optional<String> kvCacheSource = Optional.empty();

	private ServerConnection connection;

	private int sendCount;

	/** When the server was chosen. */
	private long chosenNanos;

	/** When the call was last sent. */
	private long sentNanos;

	/** The time between the choice of the server and the last send. */
	private long sendMillis;

	private final CallOrigin origin;

	private final CallMove move;

	private final CallResponse response;

	private boolean runStarted;

	Call(Gateway gateway, CallerConnection caller, HttpRequest head, CallMetadata terms, Route route,
			Optional<Organisation> organisation, String service, long arrivedNanos) {
		this.receivedNanos = arrivedNanos;
		this.gateway = gateway;
		this.caller = caller;
		this.head = head;
		this.metadata = terms;
		this.route = route;
		this.organisation = organisation;
		this.service = service;
		this.origin = new CallOrigin(this, gateway);
		this.response = CallResponse.of(caller, head.method(), route, gateway.movesRuns(service), this.origin::began);
		this.move = new CallMove(gateway.loop(), this::continueAt,
				() -> this.streamingRequest ? RunPace.unknown() : this.response.movablePace());
		this.body = RequestBody.of(caller.allocator(),
				RequestDigest.begin(organisation.map(Organisation::name).orElse(""), head.method().name(),
						RequestValidator.host(head), head.uri()));
		long millis = Math.min(route.timeoutMillis(), terms.remainingMillis().orElse(Long.MAX_VALUE));
		this.deadlineNanos = this.receivedNanos + TimeUnit.MILLISECONDS.toNanos(Math.max(0, millis));
		this.deadlineTimer = this.gateway.loop()
			.schedule(this::deadlinePassed, this.deadlineNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
	}

	// -- queries, callable from any thread

	/**
	 * Returns the identifier that the caller gave the call.
	 * @return the identifier, empty if the caller gave none
	 */
	public String id() {
		return this.metadata.requestId();
	}

	/**
	 * Returns the digest of the request, which is equal for repetitions by any caller of
	 * the same organisation.
	 * @return the digest, empty while the body is not complete
	 */
	public Optional<RequestDigest> digest() {
		return this.body.digest();
	}

	/**
	 * Returns the metadata that the caller sent.
	 * @return the metadata
	 */
	public CallMetadata metadata() {
		return this.metadata;
	}

	/**
	 * Returns the route that was in force when the call was received.
	 * @return the route
	 */
	public Route route() {
		return this.route;
	}

	/**
	 * Returns the organisation of the caller.
	 * @return the organisation, empty where callers need no key
	 */
	public Optional<Organisation> organisation() {
		return this.organisation;
	}

	/**
	 * Returns the service that was selected by the weights of the route.
	 * @return the name
	 */
	public String service() {
		return this.service;
	}

	/**
	 * Returns when the call was received.
	 * @return the time on the monotonic clock, in nanoseconds
	 */
	public long receivedNanos() {
		return this.receivedNanos;
	}

	/**
	 * Returns the time until the deadline.
	 * @param nowNanos the current time
	 * @return the time left, in milliseconds; 0 if the deadline has passed
	 */
	public long remainingMillis(long nowNanos) {
		return Math.max(0, TimeUnit.NANOSECONDS.toMillis(this.deadlineNanos - nowNanos));
	}

	/**
	 * Returns the priority of the organisation or, if it has none, that of the route.
	 * @return the priority, 0 for the most urgent
	 */
	public int priority() {
		return this.organisation.map(Organisation::priority)
			.filter(OptionalInt::isPresent)
			.map(OptionalInt::getAsInt)
			.orElse(this.route.priority());
	}

	/**
	 * Returns whether the call can be sent again unchanged.
	 * @return false once the request body was streamed or a response that cannot be
	 * resumed has started
	 */
	public boolean canResend() {
		return !this.streamingRequest && this.response.canGoOn();
	}

	/**
	 * Returns the only version of its service that can serve the call.
	 * @return the version that made the events that the caller has of the stream; empty
	 * for a call without any
	 */
	public Optional<String> streamVersion() {
		return this.response.streamVersion();
	}

	/**
	 * Returns the move of the call to a server that has a copy of its run.
	 * @return the move
	 */
	public CallMove move() {
		return this.move;
	}

	/**
	 * Returns how often the call was sent to a server.
	 * @return the count
	 */
	public int sendCount() {
		return this.sendCount;
	}

	// -- decisions, callable from any thread

	/**
	 * Sends the call to a server.
	 * @param to the server
	 * @param maxConnections the maximum number of connections of this gateway to the
	 * server
	 * @param cacheSource the address of a server from which KV cache entries may be
	 * transferred
	 */
	public void send(BackendServer to, int maxConnections, Optional<String> cacheSource) {
		long chosen = System.nanoTime();
		this.gateway.loop().execute(() -> {
			this.chosenNanos = chosen;
			this.kvCacheSource = cacheSource;
			connect(to, maxConnections);
		});
	}

	/**
	 * Refuses a call that was not executed and will not be.
	 * @param status the HTTP status, 429 or 503
	 * @param retryAfterMillis the earliest useful time for a retry, in milliseconds from
	 * now
	 * @param refusal the reason
	 */
	public void refuse(int status, long retryAfterMillis, Refusal refusal) {
		this.gateway.loop().execute(() -> refuseNow(status, retryAfterMillis, refusal));
	}

	/**
	 * Ends a call that failed at its server, with the server's error response if it is
	 * complete.
	 * @param refusal why the call is not sent again
	 */
	public void giveUp(Refusal refusal) {
		this.gateway.loop().execute(() -> giveUpNow(refusal));
	}

	/**
	 * Ends a call in any state.
	 * @param ran whether an earlier server may have executed it
	 * @param retryAfterMillis the earliest useful time for a retry, in milliseconds from
	 * now
	 * @param refusal the reason
	 */
	public void end(boolean ran, long retryAfterMillis, Refusal refusal) {
		this.gateway.loop().execute(() -> {
			if (ran || this.runStarted || this.state == State.SENT) {
				giveUpNow(refusal);
			}
			else {
				refuseNow(503, retryAfterMillis, refusal);
			}
		});
	}

	/**
	 * Fails the current attempt if its server has restarted and thus lost the call.
	 * @param lostStart the start of the server that is over
	 */
	public void serverRestarted(BackendServer.Incarnation lostStart) {
		this.gateway.loop().execute(() -> {
			boolean affected = this.state == State.SENT
					&& this.server.map(BackendServer::incarnation).equals(Optional.of(lostStart));
			if (affected) {
				abortResponse("the server restarted");
			}
		});
	}

	// -- request

	/**
	 * Receives a chunk of the request body.
	 * @param bytes the bytes; released by this method
	 */
	void bodyBytes(ByteBuf bytes) {
		this.body.received(bytes);
		if (this.state == State.DONE) {
			bytes.release();
		}
		else if (this.streamingRequest) {
			this.connection.write(new DefaultHttpContent(bytes));
			this.connection.flush();
			this.caller.setReading(this.connection.isWritable());
		}
		else {
			this.body.buffer(bytes);
			if (this.state == State.GATHERING && this.body.isLong()) {
				this.caller.setReading(false);
				admit();
			}
		}
	}

	/** Called when the request is complete. */
	void bodyComplete() {
		this.body.complete();
		if (this.streamingRequest && this.state == State.SENT) {
			endRequestStream();
		}
		else if (this.state == State.GATHERING) {
			admit();
		}
	}

	// Whether the request is quarantined is known only with its digest at the end of the
	// body. A server does not execute the request before that, but one that responds
	// before it has read the whole body may have executed it.
	private void endRequestStream() {
		if (this.gateway.policy().isQuarantined(this)) {
			abortResponse("the request is quarantined");
		}
		else {
			this.connection.write(new DefaultLastHttpContent());
		}
	}

	long receivedBytes() {
		return this.body.bytes();
	}

	/**
	 * Returns what is held for the call, of its response and its request.
	 * @param callerText names the connection of the caller
	 * @return the holdings
	 */
	Stream<Holding> holdings(String callerText) {
		boolean sent = this.state == State.SENT;
		long responseBytes = this.response.heldBytes() + (sent ? this.connection.heldBytes() : 0);
		Optional<Runnable> refuse = Optional.<Runnable>of(this::holdLess).filter((_) -> !sent && !this.runStarted);
		return Stream.of(Holding.request(callerText, this.body.heldBytes(), refuse),
				Holding.response(this.server.map(BackendServer::id).orElse(callerText), responseBytes, this::holdLess));
	}

	private void holdLess() {
		boolean startedEarly = this.state == State.SENT && this.response.startEarly();
		EventLog.warn(TrafficEvents.CALL_RELEASED, "request", id(), "server", serverId(), "state", this.state,
				"bodyBytes", this.response.bodyBytes(), "startedEarly", startedEarly, "millis", ageMillis());
		if (this.state != State.SENT) {
			end(this.runStarted, HeldBytes.RETRY_MILLIS, Refusal.of(Refusal.Cause.MEMORY, serverId()));
		}
		else if (!startedEarly) {
			abortResponse("too much memory is held");
		}
	}

	boolean isEnded() {
		return this.state == State.DONE;
	}

	boolean isRequestComplete() {
		return this.body.isComplete();
	}

	/**
	 * Ends the call because its caller disconnected or sent an invalid body, so that the
	 * result is no longer of use.
	 */
	void callerDisconnected() {
		if (this.state == State.DONE) {
			return;
		}
		EventLog.info(TrafficEvents.CALLER_LEFT, "request", id(), "state", this.state, "millis", ageMillis());
		this.gateway.metrics().callerLeft();
		finish();
	}

	/** Called when the caller's connection accepts more bytes. */
	void callerWritable() {
		if (this.state == State.SENT) {
			this.connection.setReading(true);
		}
	}

	private void admit() {
		this.state = State.DECIDING;
		Optional<Resumption> takenUp = this.metadata.resumption()
			.filter((_) -> this.route.kind() == CallKind.STREAMING);
		if (takenUp.isPresent()) {
			this.origin.find(takenUp.get(), this::originFound);
		}
		else {
			this.gateway.policy().admit(this);
		}
	}

	private void originFound(Origin origin) {
		if (this.state == State.DONE) {
			return;
		}
		switch (origin) {
			case Origin.Known known -> {
				this.origin.log("known", known.version());
				this.response.goOnWith(known.version());
				this.gateway.policy().admit(this);
			}
			case Origin.Unknown _ -> refuseWithoutOrigin("unknown");
			case Origin.Ambiguous _ -> refuseWithoutOrigin("ambiguous");
		}
	}

	private void refuseWithoutOrigin(String origin) {
		this.origin.log(origin, "none");
		refuseNow(503, CallOrigin.RETRY_MILLIS, Refusal.of(Refusal.Cause.ORIGIN_UNKNOWN, origin));
	}

	// -- server

	private void connect(BackendServer to, int maxConnections) {
		if (this.state == State.DONE) {
			this.gateway.policy().ended(this, to, Ending.ABANDONED);
			return;
		}
		this.server = Optional.of(to);
		this.state = State.CONNECTING;
		this.gateway.pool().acquire(to, id(), maxConnections, this::connected, this::connectFailed);
	}

	private void continueAt(BackendServer to, int maxConnections) {
		if (this.state == State.SENT) {
			this.connection.abort();
			this.response.attemptFailed();
		}
		this.chosenNanos = System.nanoTime();
		this.kvCacheSource = Optional.empty();
		connect(to, maxConnections);
	}

	private void connectFailed(String cause) {
		if (this.state == State.DONE) {
			return;
		}
		attemptFailed(Verdict.notRun(), false, false, cause);
	}

	private void connected(ServerConnection to) {
		if (this.state == State.DONE) {
			to.release();
			return;
		}
		if (!to.isActive()) {
			connectFailed("the connection was closed before the call was sent");
			return;
		}
		Optional<String> obstacle = new SendCheck(this, this.response, this.runStarted, this.gateway.policy())
			.obstacle(this.server.orElseThrow());
		if (obstacle.isPresent()) {
			to.release();
			connectFailed(obstacle.get());
			return;
		}
		if (this.caller.isDisconnected()) {
			to.release();
			callerDisconnected();
			return;
		}
		this.connection = to;
		this.state = State.SENT;
		this.sendCount++;
		this.sentNanos = System.nanoTime();
		this.sendMillis = TimeUnit.NANOSECONDS.toMillis(this.sentNanos - this.chosenNanos);
		to.carrier().ifPresent(this::tunnelled);
		this.response.attemptBegins();
		to.startCall(id(), this);
		to.write(serverRequest());
		this.body.duplicates().forEach((chunk) -> to.write(new DefaultHttpContent(chunk)));
		if (this.body.isComplete()) {
			to.write(new DefaultLastHttpContent());
		}
		else {
			this.streamingRequest = true;
			this.body.release();
			to.flush();
			this.caller.setReading(true);
		}
	}

	private void tunnelled(String carrier) {
		this.gateway.metrics().increment("calls.tunnelled");
		EventLog.info(TrafficEvents.CALL_TUNNELLED, "request", id(), "server", serverId(), "gateway", carrier,
				"sendMillis", this.sendMillis);
	}

	private HttpRequest serverRequest() {
		long remaining = Math.max(1, remainingMillis(System.nanoTime()));
		ForwardingMetadata metadata = new ForwardingMetadata(remaining, serverId(),
				this.organisation.map(Organisation::name), this.response.lastEvent(), OptionalInt.of(priority()),
				this.kvCacheSource, this.move.copy());
		OptionalLong length = this.body.isComplete() ? OptionalLong.of(this.body.bytes()) : OptionalLong.empty();
		return ServerRequest.of(this.head, length, this.gateway.codec(), metadata);
	}

	// -- response

	@Override
	public void responseHead(HttpResponse responseHead, ResponseMetadata from) {
		this.gateway.policy().stated(this.server.orElseThrow(), id(), from.statements(), this.sentNanos);
		this.move.responded();
		Head outcome = this.response.receiveHead(responseHead, from);
		this.response.framing().ifPresent(this.gateway.metrics()::responseReceived);
		switch (outcome) {
			case Head.Accepted accepted -> {
				if (accepted.running()) {
					markRunStarted();
				}
			}
			case Head.Resumed _ -> logResumed();
			case Head.Unusable unusable -> {
				boolean notRun = from.notRun() && this.move.copy().isPresent();
				abortResponse(notRun ? Verdict.notRun() : Verdict.mayHaveRun(), unusable.cause());
			}
		}
	}

	private void logResumed() {
		String version = this.server.map(BackendServer::version).orElse("none");
		this.gateway.metrics()
			.increment(this.response.canGoOnAt(version) ? "streams.resumed.same.version"
					: "streams.resumed.other.version");
		EventLog.info(TrafficEvents.STREAM_RESUMED, "request", id(), "server", serverId(), "version", version,
				"streamVersion", this.response.streamVersion().orElse("none"), "after",
				this.response.lastEvent().orElse("none"));
	}

	@Override
	public void responseBytes(ByteBuf bytes) {
		if (this.state != State.SENT) {
			bytes.release();
			return;
		}
		if (this.response.isStarted()) {
			markRunStarted();
		}
		if (!this.response.receive(bytes, this.server.orElseThrow().version())) {
			this.connection.setReading(false);
		}
	}

	@Override
	public void responseReadComplete() {
		if (this.response.isStarted() && this.state == State.SENT) {
			if (!this.response.forwardReceived()) {
				this.connection.setReading(false);
			}
			this.caller.flush();
		}
	}

	@Override
	public void responseComplete() {
		if (this.response.isBrokenOff()) {
			abortResponse("ended inside an event");
			return;
		}
		if (this.response.endsWithConnection()) {
			if (this.move.defers(this::responseComplete)) {
				return;
			}
			if (this.move.mayHaveStopped()) {
				abortResponse("the run may have stopped");
				return;
			}
		}
		BackendServer from = this.server.orElseThrow();
		if (this.response.isStarted()) {
			responded(from);
			return;
		}
		if (!this.response.isFinal()) {
			this.response.errorReceived();
			attemptFailed(this.response.isNotRun() ? Verdict.notRun() : Verdict.ran(), true, true,
					"status " + this.response.statusCode());
			return;
		}
		this.response.startBuffered();
		responded(from);
	}

	@Override
	public void responseFailed(String cause) {
		if (this.state != State.DONE) {
			attemptFailed(Verdict.mayHaveRun(), true, false, cause);
		}
	}

	// A call that can be sent again is, since its response is not to be expected. Any
	// other one waits, because the path may come back before its deadline.
	@Override
	public void pathLost() {
		if (this.state != State.SENT) {
			return;
		}
		if (this.route.retryable() && canResend()) {
			this.connection.abort();
			attemptFailed(Verdict.mayHaveRun(), true, false, "the path to the server is lost", true);
		}
		else {
			this.gateway.policy().pathLost(this);
		}
	}

	@Override
	public void requestWritable() {
		this.caller.setReading(true);
	}

	private void responded(BackendServer from) {
		EventLog.info(TrafficEvents.CALL_ANSWERED, "request", id(), "route", this.route.name(), "status",
				this.response.statusCode(), "server", from.id(), "sends", this.sendCount, "sendMillis", this.sendMillis,
				"millis", ageMillis(), "firstMillis", this.response.times().firstMillis(this.receivedNanos),
				"longestPauseMillis", this.response.times().longestPauseMillis(), "framing",
				this.response.framingText(), "bodyBytes", this.response.bodyBytes(), "openEventBytes",
				this.response.openEventBytes(), "exchange", this.connection.describe());
		this.gateway.metrics().answered(this, this.response.statusCode());
		this.server = Optional.empty();
		this.response.forwardReceived();
		this.gateway.policy().ended(this, from, this.response.ending());
		this.caller.endResponse();
		finish();
	}

	private void abortResponse(String cause) {
		abortResponse(Verdict.mayHaveRun(), cause);
	}

	private void abortResponse(Verdict verdict, String cause) {
		this.connection.abort();
		attemptFailed(verdict, true, false, cause);
	}

	private void markRunStarted() {
		if (!this.runStarted) {
			this.runStarted = true;
			this.gateway.metrics().began(this);
			this.gateway.policy().runStarted(this);
		}
	}

	// -- end of the call

	private void attemptFailed(Verdict verdict, boolean sent, boolean responded, String cause) {
		attemptFailed(verdict, sent, responded, cause, false);
	}

	private void attemptFailed(Verdict verdict, boolean sent, boolean responded, String cause, boolean pathLost) {
		if (this.move.defers(() -> attemptFailed(verdict, sent, responded, cause, pathLost))) {
			return;
		}
		this.move.attemptFailed();
		BackendServer failedServer = this.server.orElseThrow();
		this.server = Optional.empty();
		this.response.attemptFailed();
		this.state = State.DECIDING;
		countOpenEvent();
		EventLog.info(TrafficEvents.CALL_FAILED, "request", id(), "digest", digestText(), "server", failedServer.id(),
				"started", failedServer.startedMillis(), "verdict", verdict.code(), "cause", cause, "answering",
				this.response.isStarted(), "reused", sent && this.connection.isReused(), "serverSilentMillis",
				silentMillis(failedServer), "pathLost", pathLost, "carrier", sent ? carrierName() : "none", "exchange",
				sent ? this.connection.describe() : "none", "sendMillis", this.sendMillis, "framing",
				this.response.framingText(), "bodyBytes", this.response.bodyBytes(), "openEventBytes",
				this.response.openEventBytes(), "millis", ageMillis());
		if (verdict instanceof Verdict.MayHaveRun) {
			// The server may have started the call, so it is counted as usage of its
			// organisation.
			markRunStarted();
		}
		this.gateway.policy()
			.failed(this, failedServer, new CallPolicy.Failure(verdict, sent, responded, cause, pathLost));
	}

	private void refuseNow(int status, long retryAfterMillis, Refusal refusal) {
		if (this.state == State.DONE) {
			// The policy may have taken the call up after it was told of the end.
			this.gateway.policy().endedWithoutServer(this);
			return;
		}
		if (this.response.isStarted()) {
			giveUpNow(refusal);
			return;
		}
		logRefusal(status, refusal, retryAfterMillis);
		this.caller.refuse(status, retryAfterMillis);
		finish();
	}

	private void logRefusal(int status, Refusal refusal, long retryAfterMillis) {
		CallLog.refused(this, status, refusal, retryAfterMillis,
				new CallLog.Attempt(this.state.toString(), serverId(),
						(this.state == State.SENT) ? carrierName() : "none",
						this.server.map(this::silentMillis).orElse("none")));
		this.gateway.metrics().refused(this, status);
	}

	private void giveUpNow(Refusal refusal) {
		if (this.state == State.DONE) {
			return;
		}
		if (this.response.isStarted()) {
			EventLog.warn(TrafficEvents.ANSWER_BROKEN, "request", id(), "reason", refusal.cause(), "detail",
					refusal.detail(), "millis", ageMillis());
			this.gateway.metrics().broken(this);
			this.caller.abort();
		}
		else if (this.response.hasError()) {
			this.response.startBuffered();
			logGivenUp(this.response.statusCode(), refusal);
			this.caller.endResponse();
		}
		else {
			logGivenUp(502, refusal);
			this.caller.refuse(502, 0);
		}
		finish();
	}

	private void logGivenUp(int status, Refusal refusal) {
		CallLog.givenUp(this, status, refusal);
		this.gateway.metrics().answered(this, status);
	}

	private void deadlinePassed() {
		if (this.state == State.DONE) {
			return;
		}
		if (this.response.isStarted()) {
			giveUpNow(Refusal.DEADLINE);
			return;
		}
		boolean mayHaveRun = this.state == State.SENT || this.runStarted;
		int status = mayHaveRun ? 504 : 503;
		long retryAfterMillis = mayHaveRun ? 0 : UNSENT_RETRY_MILLIS;
		logRefusal(status, Refusal.DEADLINE, retryAfterMillis);
		this.caller.refuse(status, retryAfterMillis);
		if (this.state == State.SENT) {
			this.server.ifPresent(
					(unresponsive) -> this.gateway.pool().deadlinePassed(unresponsive.incarnation(), this.sentNanos));
		}
		finish((this.state == State.SENT) ? Ending.TIMED_OUT : Ending.ABANDONED);
	}

	// Ends the call in any state. If a server is executing it, its connection is closed,
	// which makes the server stop.
	private void finish() {
		finish(Ending.ABANDONED);
	}

	private void finish(Ending ending) {
		State previous = this.state;
		this.state = State.DONE;
		this.deadlineTimer.cancel(false);
		if (previous == State.SENT && this.server.isPresent()) {
			this.connection.abort();
		}
		if (this.server.isPresent()) {
			this.gateway.policy().ended(this, this.server.get(), ending);
		}
		else {
			this.gateway.policy().endedWithoutServer(this);
		}
		this.body.release();
		this.response.release();
		this.caller.callEnded(this);
	}

	private String digestText() {
		return digest().map(RequestDigest::toString).orElse("none");
	}

	private String serverId() {
		return this.server.map(BackendServer::id).orElse("none");
	}

	// How long nothing was received from a server: tells a slow response from a lost
	// path.
	private String silentMillis(BackendServer from) {
		return this.gateway.pool().silentText(from.incarnation());
	}

	private void countOpenEvent() {
		if (this.response.openEventBytes() > 0) {
			this.gateway.metrics().increment("servers.responses.ended.inside.event");
		}
	}

	private String carrierName() {
		return this.connection.carrier().orElse("none");
	}

	private long ageMillis() {
		return CallLog.ageMillis(this);
	}

	/** The state of a call. */
	private enum State {

		/** The request body is being received. */
		GATHERING,

		/** The policy is choosing what to do. */
		DECIDING,

		/** A connection is being acquired; nothing was sent. */
		CONNECTING,

		/** The request was sent or is being sent. */
		SENT,

		/** The call has ended. */
		DONE

	}

}
