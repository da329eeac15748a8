package org.rosemaryfront.crashes;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * A segment that prompts of a service have in common, whatever precedes it.
 *
 * @param service the name of the service
 * @param id the identifier of the segment, or the digest of a long one
 */
public record PromptSegment(String service, String id) {

	/** The length of the longest identifier that is kept as it is, in characters. */
	private static final int MAX_ID_LENGTH = 64;

	/** Longer than any identifier that is kept as it is. */
	private static final String DIGEST_PREFIX = "digest-of-a-long-segment-identifier-";

	/** The maximum number of segments of one prompt that are considered. */
	private static final int MAX_SEGMENTS = 32;

	// -- factories

	/**
	 * Creates a segment from the identifier that the caller sent.
	 * @param service the name of the service
	 * @param id the identifier
	 * @return the segment
	 */
	public static PromptSegment of(String service, String id) {
		return new PromptSegment(service,
				(id.length() <= MAX_ID_LENGTH) ? id : DIGEST_PREFIX + RequestDigest.begin("", "", "", id).end());
	}

	/**
	 * Returns the segments of a prompt that other prompts may have as well.
	 * @param service the name of the service
	 * @param ids the identifiers of all segments of the prompt, in order
	 * @return all segments but the last, in order
	 */
	public static Set<PromptSegment> sharedOf(String service, List<String> ids) {
		return ids.stream()
			.limit(Math.min(MAX_SEGMENTS, Math.max(0, ids.size() - 1)))
			.map((id) -> of(service, id))
			.collect(Collectors.toCollection(LinkedHashSet::new));
	}

	// -- queries

	/**
	 * Returns the digest by which operators and rows name the segment.
	 * @return the digest of the service and the identifier
	 */
	public RequestDigest digest() {
		return RequestDigest.begin("segment", "", this.service, this.id).end();
	}

}
