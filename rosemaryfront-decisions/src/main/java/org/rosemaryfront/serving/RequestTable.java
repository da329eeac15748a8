package org.rosemaryfront.serving;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.rosemaryfront.model.RequestId;

/** All open requests of this process, oldest first. */
final class RequestTable {

	private final Map<RequestId, Request> rows = new LinkedHashMap<>();

	private final Map<RequestId, Request> arrived = new LinkedHashMap<>();

	private final Map<RequestId, Request> waiting = new LinkedHashMap<>();

	// -- changes

	void add(Request request) {
		this.rows.put(request.id, request);
		move(request, request.phase);
	}

	void move(Request request, Request.Phase phase) {
		this.arrived.remove(request.id);
		this.waiting.remove(request.id);
		request.phase = phase;
		switch (phase) {
			case ARRIVED -> this.arrived.put(request.id, request);
			case WAITING -> this.waiting.put(request.id, request);
			case RUNNING -> {
			}
		}
	}

	void remove(Request request) {
		this.rows.remove(request.id);
		this.arrived.remove(request.id);
		this.waiting.remove(request.id);
	}

	// -- queries

	Collection<Request> all() {
		return this.rows.values();
	}

	Collection<Request> arrived() {
		return this.arrived.values();
	}

	Optional<Request> find(RequestId request) {
		return Optional.ofNullable(this.rows.get(request));
	}

	int size() {
		return this.rows.size();
	}

	Collection<Request> waiting() {
		return this.waiting.values();
	}

}
