package org.rosemaryfront.crashes;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The segments of prompts that servers responded to a short time ago, so that a crash
 * does not count against them. Not thread-safe. Times are on the monotonic clock, in
 * nanoseconds.
 */
public final class SoundSegments {

	/**
	 * The time for which a response shows that a segment is harmless. What a server does
	 * with it can change later, so that a response does not protect it forever.
	 */
	private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);

	/** The maximum number of segments, about 150 bytes each. */
	private static final int MAX_SEGMENTS = 8_192;

	/** When a server last responded to each segment, oldest first. */
	private final Map<SegmentSuspect, Long> responded = new LinkedHashMap<>();

	private SoundSegments() {
	}

	public static SoundSegments empty() {
		return new SoundSegments();
	}

	/**
	 * Records a complete response to a prompt.
	 * @param segments its shared segments, at the version of the server
	 * @param nowNanos the current time
	 */
	public void responded(Collection<SegmentSuspect> segments, long nowNanos) {
		for (SegmentSuspect segment : segments) {
			this.responded.remove(segment);
			this.responded.put(segment, nowNanos);
		}
		while (this.responded.size() > MAX_SEGMENTS) {
			this.responded.remove(this.responded.keySet().iterator().next());
		}
	}

	/**
	 * Returns whether a server responded to a segment a short time ago.
	 * @param segment the segment, at the version of the server
	 * @param nowNanos the current time
	 * @return true if a crash does not count against it
	 */
	public boolean contains(SegmentSuspect segment, long nowNanos) {
		Long at = this.responded.get(segment);
		return at != null && nowNanos - at < RETENTION_NANOS;
	}

}
