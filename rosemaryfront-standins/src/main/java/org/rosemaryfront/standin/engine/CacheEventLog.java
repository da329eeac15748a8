package org.rosemaryfront.standin.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.rosemaryfront.engine.EngineClient.CacheEvents;

/** The numbered changes of a prefix cache, published late and with gaps. */
final class CacheEventLog {

	private static final int KEPT = 4_096;

	private final Deque<Change> changes = new ArrayDeque<>();

	private final Random random;

	private final double loss;

	private final long delayNanos;

	private long last;

	private long extraDelayNanos;

	CacheEventLog(Random random, double loss, long delayNanos) {
		this.random = random;
		this.loss = loss;
		this.delayNanos = delayNanos;
	}

	void delay(long extraNanos) {
		this.extraDelayNanos = extraNanos;
	}

	void record(long now, long block, boolean added) {
		this.last++;
		if (this.random.nextDouble() >= this.loss) {
			this.changes.add(new Change(this.last, now, block, added));
		}
		if (this.changes.size() > KEPT) {
			this.changes.removeFirst();
		}
	}

	// After a number that was never given out, as after a restart, it begins anew.
	CacheEvents after(long now, long asked) {
		long after = (asked > this.last) ? 0 : asked;
		long visibleBefore = now - this.delayNanos - this.extraDelayNanos;
		Set<Long> added = new LinkedHashSet<>();
		Set<Long> removed = new LinkedHashSet<>();
		long seen = after;
		boolean gap = after != asked;
		for (Change change : this.changes) {
			if (change.number() <= after || change.at() > visibleBefore) {
				continue;
			}
			gap |= change.number() != seen + 1;
			seen = change.number();
			(change.added() ? added : removed).add(change.block());
			(change.added() ? removed : added).remove(change.block());
		}
		return new CacheEvents(seen, gap, List.copyOf(added), List.copyOf(removed));
	}

	private record Change(long number, long at, long block, boolean added) {
	}

}
