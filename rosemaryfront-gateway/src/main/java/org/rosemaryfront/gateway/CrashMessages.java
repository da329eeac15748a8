package org.rosemaryfront.gateway;

import java.util.Optional;

import com.google.protobuf.ByteString;

import org.rosemaryfront.crashes.Crash;
import org.rosemaryfront.crashes.CrashSuspect;
import org.rosemaryfront.crashes.Evidence;
import org.rosemaryfront.crashes.Evidence.State;
import org.rosemaryfront.crashes.PromptSegment;
import org.rosemaryfront.crashes.RequestDigest;
import org.rosemaryfront.crashes.SegmentSuspect;
import org.rosemaryfront.dispatch.BackendServer.Incarnation;
import org.rosemaryfront.gateway.proto.CrashNews;
import org.rosemaryfront.gateway.proto.CrashSegment;

/** Encodes and decodes the messages about crashes in the reports of gateways. */
final class CrashMessages {

	private CrashMessages() {
	}

	static CrashNews encode(Evidence evidence) {
		Incarnation server = evidence.crash().server();
		CrashNews.Builder message = CrashNews.newBuilder()
			.setServer(server.id())
			.setStartedMillis(server.startedMillis())
			.setAtMillis(evidence.atMillis())
			.setCleared(evidence.state() == State.CLEARED);
		switch (evidence.crash().suspect()) {
			case RequestDigest request -> message.setRequest(encode(request));
			case SegmentSuspect suspect -> message.setSegment(CrashSegment.newBuilder()
				.setService(suspect.segment().service())
				.setId(suspect.segment().id())
				.setVersion(suspect.version())
				.setRequest(encode(evidence.request())));
		}
		return message.build();
	}

	private static ByteString encode(RequestDigest request) {
		return ByteString.copyFrom(request.bytes());
	}

	/**
	 * Decodes a message.
	 * @param message the message
	 * @return the evidence, empty if the message names no suspect
	 */
	static Optional<Evidence> decode(CrashNews message) {
		if (!message.hasSegment()) {
			return digest(message.getRequest()).map((request) -> evidence(message, request, request));
		}
		CrashSegment segment = message.getSegment();
		SegmentSuspect suspect = new SegmentSuspect(PromptSegment.of(segment.getService(), segment.getId()),
				segment.getVersion());
		return digest(segment.getRequest()).map((request) -> evidence(message, suspect, request));
	}

	private static Optional<RequestDigest> digest(ByteString bytes) {
		return (bytes.size() == RequestDigest.BYTES) ? Optional.of(RequestDigest.of(bytes.toByteArray()))
				: Optional.empty();
	}

	private static Evidence evidence(CrashNews message, CrashSuspect suspect, RequestDigest request) {
		Crash crash = new Crash(suspect, new Incarnation(message.getServer(), message.getStartedMillis()));
		return new Evidence(crash, message.getCleared() ? State.CLEARED : State.CONFIRMED, message.getAtMillis(),
				request);
	}

}
