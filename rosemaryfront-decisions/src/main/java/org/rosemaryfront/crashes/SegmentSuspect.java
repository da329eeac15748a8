package org.rosemaryfront.crashes;

/**
 * A segment of prompts that may crash the servers of one software version. Other versions
 * may be able to respond to it.
 *
 * @param segment the segment
 * @param version the software version of the servers
 */
public record SegmentSuspect(PromptSegment segment, String version) implements CrashSuspect {

}
