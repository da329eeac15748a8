package org.rosemaryfront.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.rosemaryfront.crashes.Crash;
import org.rosemaryfront.crashes.Evidence;
import org.rosemaryfront.crashes.Evidence.State;
import org.rosemaryfront.crashes.PromptSegment;
import org.rosemaryfront.crashes.RequestDigest;
import org.rosemaryfront.crashes.SegmentSuspect;
import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.ports.CallMetadata.Prompt;
import org.rosemaryfront.ports.CallMetadata.Segment;
import org.rosemaryfront.traffic.Call;

/**
 * What a call has that may crash servers: its request, and the segments that its prompt
 * shares with others.
 *
 * @param digest the digest of the request, empty while its body is not complete
 * @param callId the identifier of the call
 * @param segments the shared segments, empty if there is no prompt
 */
record CallSuspects(Optional<RequestDigest> digest, String callId, Set<PromptSegment> segments) {

	static CallSuspects of(Call call) {
		List<Segment> segments = call.metadata().prompt().map(Prompt::segments).orElse(List.of());
		return new CallSuspects(call.digest(), call.id(),
				PromptSegment.sharedOf(call.service(), segments.stream().map(Segment::id).toList()));
	}

	/**
	 * Returns the segments at the version of a server.
	 * @param version the software version of the server
	 * @return the segments
	 */
	List<SegmentSuspect> segmentsAt(String version) {
		return this.segments.stream().map((segment) -> new SegmentSuspect(segment, version)).toList();
	}

	/**
	 * Returns the evidence that a broken connection is against the call.
	 * @param server the server
	 * @param atMillis when the connection broke, in milliseconds since 1970
	 * @return the evidence against the request, if its digest is known, and each segment
	 */
	List<Evidence> evidence(BackendServer server, long atMillis) {
		RequestDigest request = this.digest.orElseGet(() -> RequestDigest.begin("call", "", "", this.callId).end());
		List<Evidence> evidence = new ArrayList<>();
		this.digest.ifPresent(
				(known) -> evidence.add(Evidence.against(known, server.incarnation(), State.SUSPECTED, atMillis)));
		segmentsAt(server.version()).forEach((segment) -> evidence
			.add(new Evidence(new Crash(segment, server.incarnation()), State.SUSPECTED, atMillis, request)));
		return evidence;
	}

}
