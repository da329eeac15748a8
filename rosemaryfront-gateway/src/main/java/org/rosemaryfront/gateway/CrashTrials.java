package org.rosemaryfront.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import reactor.core.publisher.Mono;

import org.rosemaryfront.crashes.CrashTable;
import org.rosemaryfront.crashes.RequestDigest;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.ports.RowStore;
import org.rosemaryfront.ports.RowStore.Commit;
import org.rosemaryfront.ports.RowStore.Condition;
import org.rosemaryfront.ports.RowStore.Outcome;
import org.rosemaryfront.ports.RowStore.Write;
import org.rosemaryfront.program.ControlLoop;

/**
 * The trials of requests that are held back: one for each request, for all gateways and
 * all their starts, since each is written down before the request is sent. Used on the
 * control thread.
 */
final class CrashTrials {

	/** The pause behind a row that could not be deleted. */
	private static final Duration AGAIN = Duration.ofSeconds(1);

	private final RowStore store;

	private final CrashTable table;

	private final ControlLoop control;

	/** This start of this gateway. */
	private final String process;

	/** Told when a trial was given, or given back. */
	private final Consumer<RequestDigest> changed;

	/** Which start of a gateway has, or had, the trial of a request. */
	private final Map<RequestDigest, String> holders = new HashMap<>();

	/** Trials that this process asked for and has not given back. */
	private final Set<RequestDigest> own = new HashSet<>();

	CrashTrials(RowStore store, CrashTable table, ControlLoop control, String process,
			Consumer<RequestDigest> changed) {
		this.store = store;
		this.table = table;
		this.control = control;
		this.process = process;
		this.changed = changed;
	}

	/**
	 * Asks for the trial of a request.
	 * @param request the request
	 * @param reply whether this gateway has it
	 */
	void claim(RequestDigest request, Consumer<Boolean> reply) {
		if (!this.own.add(request)) {
			reply.accept(false);
			return;
		}
		String key = CrashRows.trialKey(request);
		Commit commit = new Commit(CrashRows.TABLE, List.of(new Condition(key, 0)),
				List.of(new Write(key, CrashRows.writeTrial(this.process))), List.of());
		this.store.commit(commit)
			.subscribe(
					(outcome) -> this.control
						.post((_) -> claimed(request, outcome instanceof Outcome.Committed, reply)),
					(failure) -> this.control.post((_) -> {
						RowLog.failed(key, "write", failure);
						claimed(request, false, reply);
					}));
	}

	private void claimed(RequestDigest request, boolean granted, Consumer<Boolean> reply) {
		EventLog.info(GatewayEvents.REQUEST_ON_TRIAL, "digest", request, "granted", granted);
		if (granted) {
			given(request, this.process);
		}
		else {
			this.own.remove(request);
			giveBackUnused(request);
		}
		reply.accept(granted);
	}

	/**
	 * Gives the trial of a request back, which was not sent, or is not needed any more.
	 * @param request the request
	 */
	void giveBack(RequestDigest request) {
		this.own.remove(request);
		String key = CrashRows.trialKey(request);
		this.store.commit(new Commit(CrashRows.TABLE, List.of(), List.of(), List.of(key))).subscribe((_) -> {
		}, (failure) -> {
			RowLog.failed(key, "delete", failure);
			Mono.delay(AGAIN).subscribe((_) -> this.control.post((_) -> giveBackUnused(request)));
		});
	}

	// Guards the one trial of a request against the lost answer to a claim: its row can
	// come seconds later, with nothing sent, and the request would stay held back.
	private void giveBackUnused(RequestDigest request) {
		boolean unused = this.process.equals(this.holders.get(request)) && !this.own.contains(request);
		if (unused) {
			giveBack(request);
		}
	}

	boolean isGiven(RequestDigest request) {
		return this.holders.containsKey(request);
	}

	// -- rows

	/**
	 * The store has the row of a trial.
	 * @param request the request
	 * @param holder which start of a gateway has the trial
	 */
	void given(RequestDigest request, String holder) {
		this.holders.put(request, holder);
		this.table.trial(request, true);
		this.changed.accept(request);
		giveBackUnused(request);
	}

	/**
	 * The store no longer has the row of a trial.
	 * @param request the request
	 */
	void gone(RequestDigest request) {
		if (this.holders.remove(request) != null) {
			this.table.trial(request, false);
			this.changed.accept(request);
		}
	}

	/**
	 * Forgets the trials whose rows are not in the store.
	 * @param keys the keys of all rows
	 */
	void retain(Set<String> keys) {
		List.copyOf(this.holders.keySet())
			.stream()
			.filter((request) -> !keys.contains(CrashRows.trialKey(request)))
			.forEach(this::gone);
	}

}
