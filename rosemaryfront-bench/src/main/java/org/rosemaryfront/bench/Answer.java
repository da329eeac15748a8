package org.rosemaryfront.bench;

import java.util.Optional;

import org.HdrHistogram.Histogram;

import org.rosemaryfront.model.AttemptId;
import org.rosemaryfront.model.Problem;

/** What a caller has received for a request. */
final class Answer {

	final WorkItem item;

	/** The attempt whose tokens count. */
	AttemptId attempt;

	int tokens;

	long firstTokenNanos;

	long lastTokenNanos;

	long finishedNanos;

	Optional<Problem> refusal = Optional.empty();

	long refusedNanos;

	Answer(WorkItem item) {
		this.item = item;
	}

	void token(long now, Histogram between) {
		if (this.tokens == 0) {
			this.firstTokenNanos = now;
		}
		else {
			between.recordValue(Math.max(0, now - this.lastTokenNanos) / VirtualTime.MICRO);
		}
		this.lastTokenNanos = now;
		this.tokens++;
	}

	boolean ended() {
		return finished() || this.refusal.isPresent();
	}

	boolean finished() {
		return this.finishedNanos > 0;
	}

	// Whether the first token, the mean time between tokens and the whole answer kept the
	// target.
	boolean withinTarget() {
		long at = this.item.atNanos();
		double between = (this.lastTokenNanos - this.firstTokenNanos) / Math.max(1.0, this.tokens - 1);
		return finished() && this.firstTokenNanos - at <= this.item.target().firstTokenMillis() * VirtualTime.MILLI
				&& between <= this.item.target().betweenTokensMillis() * VirtualTime.MILLI
				&& this.finishedNanos - at <= this.item.target().answerMillis() * VirtualTime.MILLI;
	}

}
