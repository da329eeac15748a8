package org.rosemaryfront.claims;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** One request of a caller with the events recorded for it. */
final class SimulatedRequest {

	final String key;

	final String fingerprint;

	final String token;

	long arrived = -1;

	final List<ClaimReply> replies = new ArrayList<>();

	final List<Long> sends = new ArrayList<>();

	OptionalLong repliedAt = OptionalLong.empty();

	int runs;

	boolean mayHaveRun;

	boolean entryPaused;

	boolean entryCrashed;

	SimulatedRequest(String key, String fingerprint, String token) {
		this.key = key;
		this.fingerprint = fingerprint;
		this.token = token;
	}

	Optional<ClaimOutcome> outcome() {
		return this.replies.stream().findFirst().flatMap((reply) -> switch (reply) {
			case ClaimReply.Ran ran -> Optional.of(ran.outcome());
			case ClaimReply.Repeated repeated -> Optional.of(repeated.outcome());
			case ClaimReply.Failed _ -> Optional.empty();
		});
	}

	boolean hasStoredOutcome() {
		return this.replies.stream()
			.anyMatch((reply) -> reply instanceof ClaimReply.Repeated
					|| reply instanceof ClaimReply.Ran ran && ran.stored());
	}

	boolean failedWith(String codeOrVerdict) {
		return this.replies.stream()
			.anyMatch((reply) -> reply instanceof ClaimReply.Failed failed
					&& (failed.problem().verdict().code().equals(codeOrVerdict)
							|| failed.problem().code().code().equals(codeOrVerdict)));
	}

	@Override
	public String toString() {
		return this.key + " token=" + this.token + " fingerprint=" + this.fingerprint + " arrived="
				+ this.arrived / 1_000_000 + " sends=" + this.sends.stream().map((at) -> at / 1_000_000).toList()
				+ " runs=" + this.runs + " died=" + this.entryCrashed + " replies=" + this.replies;
	}

}
