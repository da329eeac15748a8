package org.rosemaryfront.standin.engine;

import org.rosemaryfront.engine.EngineClient.Load;

/** Samples the load of an engine at even intervals; a report shows the last sample. */
final class LoadMeter {

	private static final double NANOS_PER_SECOND = 1e9;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final long intervalNanos;

	private long sampledAt;

	private int running;

	private int queued;

	private double tokensPerSecond;

	private long tokens;

	LoadMeter(long intervalNanos) {
		this.intervalNanos = intervalNanos;
	}

	void generated() {
		this.tokens++;
	}

	// Takes a sample if one is due; called before every change.
	void observe(long now, int runningNow, int queuedNow) {
		long passed = now - this.sampledAt;
		if (passed >= this.intervalNanos) {
			this.sampledAt = now - passed % this.intervalNanos;
			this.running = runningNow;
			this.queued = queuedNow;
			this.tokensPerSecond = this.tokens * NANOS_PER_SECOND / passed;
			this.tokens = 0;
		}
	}

	Load report(long now) {
		return new Load(this.running, this.queued, this.tokensPerSecond, (now - this.sampledAt) / NANOS_PER_MILLI);
	}

}
