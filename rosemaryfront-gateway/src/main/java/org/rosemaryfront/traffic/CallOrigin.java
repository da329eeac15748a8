package org.rosemaryfront.traffic;

import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.ports.CallMetadata.Resumption;
import org.rosemaryfront.routes.Organisation;
import org.rosemaryfront.streams.Origin;
import org.rosemaryfront.streams.StreamKey;

/** Finds, and tells, which version began the stream of a call. */
final class CallOrigin {

	/**
	 * The Retry-After of a call whose stream has an unknown origin, in milliseconds: by
	 * then gateways that were cut off or have just started may have been told.
	 */
	static final long RETRY_MILLIS = 500;

	private static final int MAX_LOGGED_EVENT_ID_LENGTH = 64;

	/**
	 * For how long a stream may be taken up at least after it began, in milliseconds: the
	 * longest time limit that callers of streams are known to have.
	 */
	private static final long MIN_BOUND_MILLIS = 15_000;

	/**
	 * Callers wait as long as the timeout of their route, which may change meanwhile.
	 */
	private static final int TIMEOUTS_PER_BOUND = 2;

	private final Call call;

	private final Gateway gateway;

	private Origin found = Origin.unknown();

	CallOrigin(Call call, Gateway gateway) {
		this.call = call;
		this.gateway = gateway;
	}

	/**
	 * Finds the version that began a stream that the caller takes up.
	 * @param resumption the stream
	 * @param found receives what is known of the version
	 */
	void find(Resumption resumption, Consumer<Origin> found) {
		logResumption(resumption);
		Consumer<Origin> recorded = (origin) -> {
			this.found = origin;
			found.accept(origin);
		};
		Optional<StreamKey> stream = resumption.namesCall() ? resumption.firstCall().map(this::streamKey)
				: requestKey();
		if (stream.isEmpty()) {
			recorded.accept(Origin.unknown());
		}
		else if (resumption.namesCall()) {
			this.gateway.streams().find(stream.get(), recorded);
		}
		else {
			this.gateway.streams().findOfRequest(stream.get(), boundMillis(), recorded);
		}
	}

	private long boundMillis() {
		return Math.max(MIN_BOUND_MILLIS, TIMEOUTS_PER_BOUND * this.call.route().timeoutMillis());
	}

	/**
	 * Tells which version began the stream. A stream that was taken up keeps the key of
	 * the call that began it. Callers that do not name that call repeat its request.
	 * @param version the version
	 */
	void began(String version) {
		Optional<String> firstCall = this.call.metadata()
			.resumption()
			.map(Resumption::firstCall)
			.orElse(Optional.of(this.call.id()).filter((own) -> !own.isEmpty()));
		firstCall.map(this::streamKey).ifPresent((stream) -> this.gateway.streams().began(stream, version));
		requestKey().ifPresent((stream) -> this.gateway.streams().began(stream, version));
	}

	/**
	 * Logs what was found of the version that began a stream.
	 * @param origin whether it is known
	 * @param version the version
	 */
	void log(String origin, String version) {
		this.gateway.metrics().increment("streams.origin." + origin);
		long ageMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.call.receivedNanos());
		EventLog.info(TrafficEvents.STREAM_ORIGIN, "request", this.call.id(), "service", this.call.service(), "origin",
				origin, "version", version, "millis", ageMillis, "reason", reason(), "retryMillis", retryMillis());
	}

	private String reason() {
		return switch (this.found) {
			case Origin.Known _ -> "none";
			case Origin.Ambiguous _ -> "two-versions";
			case Origin.Unknown unknown -> unknown.reason().name().toLowerCase(Locale.ROOT).replace('_', '-');
		};
	}

	// The time after which the answer may be another one; 0 if that cannot be said.
	private long retryMillis() {
		return (this.found instanceof Origin.Unknown unknown) ? unknown.retryMillis() : 0;
	}

	private void logResumption(Resumption resumption) {
		this.gateway.metrics().increment("streams.taken.up");
		EventLog.info(TrafficEvents.STREAM_TAKEN_UP, "request", this.call.id(), "route", this.call.route().name(),
				"service", this.call.service(), "firstCall", resumption.firstCall().orElse("none"), "after",
				resumption.lastEvent().map(CallOrigin::shortened).orElse("none"));
	}

	private Optional<StreamKey> requestKey() {
		return this.call.digest().map((request) -> StreamKey.ofRequest(this.call.service(), request));
	}

	private StreamKey streamKey(String firstCall) {
		return StreamKey.of(this.call.organisation().map(Organisation::name).orElse(""), this.call.service(),
				firstCall);
	}

	private static String shortened(String text) {
		return text.substring(0, Math.min(text.length(), MAX_LOGGED_EVENT_ID_LENGTH));
	}

}
