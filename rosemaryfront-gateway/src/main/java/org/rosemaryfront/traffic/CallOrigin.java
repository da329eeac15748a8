package org.rosemaryfront.traffic;

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

	private static final int MAX_LOGGED_EVENT_ID_LENGTH = 64;

	private final Call call;

	private final Gateway gateway;

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
		Optional<StreamKey> stream = resumption.namesCall() ? resumption.firstCall().map(this::streamKey)
				: requestKey();
		if (stream.isPresent()) {
			this.gateway.streams().find(stream.get(), found);
		}
		else {
			found.accept(Origin.unknown());
		}
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
				origin, "version", version, "millis", ageMillis);
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
