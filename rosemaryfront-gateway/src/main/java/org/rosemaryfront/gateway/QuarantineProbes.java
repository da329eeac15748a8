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
 * The probes of quarantined requests. Each request gets one probe across all gateways and
 * their restarts, because the probe is recorded in the store before the request is sent.
 * Confined to the control thread.
 */
final class QuarantineProbes {

	/** The delay before a failed deletion of a row is retried. */
	private static final Duration RETRY_INTERVAL = Duration.ofSeconds(1);

	private final RowStore store;

	private final CrashTable table;

	private final ControlLoop control;

	/** The name of this gateway process, unique to this start. */
	private final String process;

	/** Called when the probe of a request was granted or given back. */
	private final Consumer<RequestDigest> onChange;

	/** The gateway process that has, or had, the probe of each request. */
	private final Map<RequestDigest, String> holders = new HashMap<>();

	/** Probes that this process claimed and has not given back. */
	private final Set<RequestDigest> ownClaims = new HashSet<>();

	QuarantineProbes(RowStore store, CrashTable table, ControlLoop control, String process,
			Consumer<RequestDigest> onChange) {
		this.store = store;
		this.table = table;
		this.control = control;
		this.process = process;
		this.onChange = onChange;
	}

	/**
	 * Claims the probe of a request.
	 * @param request the digest of the request
	 * @param reply receives whether the claim was granted
	 */
	void claim(RequestDigest request, Consumer<Boolean> reply) {
		if (!this.ownClaims.add(request)) {
			reply.accept(false);
			return;
		}
		String key = CrashRows.probeKey(request);
		Commit commit = new Commit(CrashRows.TABLE, List.of(new Condition(key, 0)),
				List.of(new Write(key, CrashRows.writeProbe(this.process))), List.of());
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
			granted(request, this.process);
		}
		else {
			this.ownClaims.remove(request);
			giveBackUnused(request);
		}
		reply.accept(granted);
	}

	/**
	 * Gives back the probe of a request that was not sent or is no longer needed.
	 * @param request the digest of the request
	 */
	void giveBack(RequestDigest request) {
		this.ownClaims.remove(request);
		String key = CrashRows.probeKey(request);
		this.store.commit(new Commit(CrashRows.TABLE, List.of(), List.of(), List.of(key))).subscribe((_) -> {
		}, (failure) -> {
			RowLog.failed(key, "delete", failure);
			Mono.delay(RETRY_INTERVAL).subscribe((_) -> this.control.post((_) -> giveBackUnused(request)));
		});
	}

	// If the response to a claim is lost, its row can still appear seconds later although
	// nothing was sent. Without giving that probe back, the request would stay
	// quarantined.
	private void giveBackUnused(RequestDigest request) {
		boolean unused = this.process.equals(this.holders.get(request)) && !this.ownClaims.contains(request);
		if (unused) {
			giveBack(request);
		}
	}

	boolean isGranted(RequestDigest request) {
		return this.holders.containsKey(request);
	}

	// -- rows

	/**
	 * Records that the store has the row of a probe.
	 * @param request the digest of the request
	 * @param holder the gateway process that has the probe
	 */
	void granted(RequestDigest request, String holder) {
		this.holders.put(request, holder);
		this.table.setProbeGranted(request, true);
		this.onChange.accept(request);
		giveBackUnused(request);
	}

	/**
	 * Records that the store no longer has the row of a probe.
	 * @param request the digest of the request
	 */
	void rowRemoved(RequestDigest request) {
		if (this.holders.remove(request) != null) {
			this.table.setProbeGranted(request, false);
			this.onChange.accept(request);
		}
	}

	/**
	 * Writes the probes again whose rows the store lost, so that no request gets a second
	 * one.
	 * @param keys the keys of all rows in the store
	 */
	void writeLost(Set<String> keys) {
		this.holders.keySet()
			.stream()
			.filter((request) -> !keys.contains(CrashRows.probeKey(request)))
			.forEach(this::writeAgain);
	}

	private void writeAgain(RequestDigest request) {
		String holder = this.holders.get(request);
		if (holder == null) {
			return;
		}
		String key = CrashRows.probeKey(request);
		this.store
			.commit(new Commit(CrashRows.TABLE, List.of(new Condition(key, 0)),
					List.of(new Write(key, CrashRows.writeProbe(holder))), List.of()))
			.subscribe((_) -> {
			}, (failure) -> {
				RowLog.failed(key, "write", failure);
				Mono.delay(RETRY_INTERVAL).subscribe((_) -> this.control.post((_) -> writeAgain(request)));
			});
	}

	/**
	 * Removes the probes whose rows are not in the store.
	 * @param keys the keys of all rows in the store
	 */
	void retain(Set<String> keys) {
		List.copyOf(this.holders.keySet())
			.stream()
			.filter((request) -> !keys.contains(CrashRows.probeKey(request)))
			.forEach(this::rowRemoved);
	}

}
