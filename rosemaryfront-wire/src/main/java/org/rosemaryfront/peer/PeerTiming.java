package org.rosemaryfront.peer;

/**
 * The limits and intervals of a {@link PeerNode}, in milliseconds unless named otherwise.
 *
 * @param probePeriodMillis the time between two probes that a member sends
 * @param stalenessMillis how long a process that reaches neither the table service nor a
 * peer goes on accepting work
 * @param headReadsPerSecond how often all members together read the head of the
 * configuration, a second
 * @param vmListMillis the time between two reads of the VM list at few members; at many
 * members it grows, so that the fleet's rate stays bounded
 * @param requestMillis the limit of a question over TCP, from sending to the answer
 * @param silenceMillis how long a connection with open questions may stay silent before
 * it is closed and replaced
 */
public record PeerTiming(long probePeriodMillis, long stalenessMillis, double headReadsPerSecond, long vmListMillis,
		long requestMillis, long silenceMillis) {

	/**
	 * The values for production.
	 * @return a probe a second, 30 s of staleness, 10 head reads a second, the VM list
	 * every 5 s, 3 s for a question, 2 s of silence
	 */
	public static PeerTiming standard() {
		return new PeerTiming(1_000, 30_000, 10, 5_000, 3_000, 2_000);
	}

}
