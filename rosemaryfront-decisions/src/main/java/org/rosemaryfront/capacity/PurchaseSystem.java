package org.rosemaryfront.capacity;

import java.util.List;

import org.rosemaryfront.capacity.IntentRow.Phase;

/**
 * Carries out each purchase, from its intent to its VM. The intent is written before the
 * cloud is asked for the VM and deleted after the VM is known, so that at every step the
 * next lease holder finds either the intent, which it may buy again under the same token,
 * or the VM.
 */
final class PurchaseSystem {

	private PurchaseSystem() {
	}

	static void run(CapacityTables tables, long nowNanos, List<CapacityCommand> commands) {
		for (IntentRow row : tables.intents.values()) {
			if (row.requestPending || (row.nextAttemptNanos != Long.MIN_VALUE && nowNanos - row.nextAttemptNanos < 0)) {
				continue;
			}
			if (row.phase == Phase.FOUND) {
				resume(tables, row);
			}
			row.requestPending = true;
			commands.add(switch (row.phase) {
				case PLANNED -> new CapacityCommand.WriteIntent(row.intent, row.reason);
				case FOUND, WRITTEN -> new CapacityCommand.Buy(row.intent);
				case ENDED -> new CapacityCommand.DeleteIntent(row.intent.token(), row.outcome);
			});
		}
	}

	private static void resume(CapacityTables tables, IntentRow row) {
		PoolRow pool = tables.pools.get(row.intent.pool());
		if (pool == null || pool.totalCount > pool.plan.total()) {
			if (pool != null) {
				pool.totalCount--;
			}
			row.end("no-longer-wanted");
		}
		else {
			row.phase = Phase.WRITTEN;
		}
	}

	static void intentWritten(CapacityTables tables, String token) {
		IntentRow row = tables.intents.get(token);
		if (row != null && row.phase == Phase.PLANNED) {
			row.phase = Phase.WRITTEN;
			row.requestPending = false;
			row.failures = 0;
		}
	}

	// Schedules the same step again, which is safe because the token makes every step
	// idempotent.
	static void retry(CapacityTables tables, String token, long nowNanos) {
		IntentRow row = tables.intents.get(token);
		if (row != null) {
			row.requestPending = false;
			row.failures++;
			row.nextAttemptNanos = nowNanos + backOffNanos(tables, row.failures);
		}
	}

	static void bought(CapacityTables tables, String token, CloudVm vm, long nowNanos) {
		IntentRow row = tables.intents.get(token);
		if (row != null) {
			row.end("bought " + vm.id());
			OfferRow offer = tables.offers.get(row.intent.sort());
			if (offer != null) {
				offer.refusals = 0;
			}
		}
		if (vm.state() != CloudVm.State.GONE) {
			tables.findOrAdd(vm, nowNanos);
		}
	}

	static void refused(CapacityTables tables, String token, long nowNanos) {
		IntentRow row = tables.intents.get(token);
		if (row == null) {
			return;
		}
		row.end("refused");
		OfferRow offer = tables.offers.get(row.intent.sort());
		if (offer != null) {
			// Concurrent purchases are refused together and count as one refusal.
			if (offer.refusals == 0 || nowNanos - offer.blockedUntilNanos >= 0) {
				offer.refusals++;
				offer.blockedUntilNanos = nowNanos + backOffNanos(tables, offer.refusals);
			}
		}
	}

	private static long backOffNanos(CapacityTables tables, int failures) {
		CapacitySettings settings = tables.settings;
		long millis = settings.backOffMillis() << Math.min(failures - 1, 10);
		return tables.jittered(Math.min(millis, settings.backOffLimitMillis()));
	}

}
