package org.rosemaryfront.serving;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.rosemaryfront.model.AttemptId;

/**
 * The attempts that run, at most one a request. An event of an attempt that is not here
 * belongs to an earlier one and is dropped.
 */
final class AttemptTable {

	private final Set<Attempt> unaccepted = new LinkedHashSet<>();

	private final Map<AttemptId, Attempt> rows = new HashMap<>();

	// -- changes

	void add(Attempt attempt) {
		this.rows.put(attempt.id, attempt);
		this.unaccepted.add(attempt);
		attempt.server.attempts.put(attempt.id, attempt);
		attempt.request.attempt = attempt;
	}

	void accepted(Attempt attempt) {
		this.unaccepted.remove(attempt);
	}

	void remove(Attempt attempt) {
		this.unaccepted.remove(attempt);
		this.rows.remove(attempt.id);
		attempt.server.attempts.remove(attempt.id);
		attempt.request.attempt = null;
	}

	// -- queries

	Optional<Attempt> find(AttemptId attempt) {
		return Optional.ofNullable(this.rows.get(attempt));
	}

	int size() {
		return this.rows.size();
	}

	// The attempts not accepted yet and not looked at by rerouting, oldest first.
	Set<Attempt> unaccepted() {
		return this.unaccepted;
	}

}
