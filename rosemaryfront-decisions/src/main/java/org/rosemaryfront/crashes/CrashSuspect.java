package org.rosemaryfront.crashes;

/** What a server had when it crashed, and what may have caused the crash. */
public sealed interface CrashSuspect permits RequestDigest, SegmentSuspect {

}
