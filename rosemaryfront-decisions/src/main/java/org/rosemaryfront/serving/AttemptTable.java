package org.rosemaryfront.serving;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.rosemaryfront.model.AttemptId;

/**
 * The running attempts, at most one per request. Events of an attempt that is not in the
 * table belong to an earlier attempt and are dropped.
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

	void markAccepted(Attempt attempt) {
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

	// Returns the attempts that are not accepted yet and were not examined by rerouting,
	// oldest first.
	Set<Attempt> unaccepted() {
		return this.unaccepted;
	}

}
