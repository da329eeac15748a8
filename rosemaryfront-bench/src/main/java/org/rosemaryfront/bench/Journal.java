package org.rosemaryfront.bench;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import org.HdrHistogram.Histogram;

import org.rosemaryfront.model.Resource.Priority;
import org.rosemaryfront.serving.ServingCommand;

/** What is counted during a run. */
final class Journal {

	private static final int DIGITS = 3;

	private final Map<Priority, Histogram> between = new EnumMap<>(Priority.class);

	private final HashStream64 digest = Hashing.wyhashFinal4().hashStream();

	private final List<String> violations = new ArrayList<>();

	private final List<Answer> refused = new ArrayList<>();

	private long latestToLeavingNanos;

	Journal() {
		for (Priority priority : Priority.values()) {
			this.between.put(priority, new Histogram(DIGITS));
		}
	}

	// -- records

	// The time between tokens, in microseconds.
	Histogram between(Priority priority) {
		return this.between.get(priority);
	}

	void decision(long now, ServingCommand command) {
		this.digest.putLong(now).putString(command.toString());
	}

	void refused(Answer answer) {
		this.refused.add(answer);
	}

	// New work that was sent after the notice, before the entry could know of it.
	void sentToLeaving(long now, Runner runner) {
		this.latestToLeavingNanos = Math.max(this.latestToLeavingNanos, now - runner.noticedNanos);
	}

	void violation(String sentence) {
		this.violations.add(sentence);
	}

	// -- queries

	String digest() {
		return Long.toHexString(this.digest.getAsLong());
	}

	long latestToLeavingNanos() {
		return this.latestToLeavingNanos;
	}

	List<Answer> refused() {
		return this.refused;
	}

	List<String> violations() {
		return this.violations;
	}

}
