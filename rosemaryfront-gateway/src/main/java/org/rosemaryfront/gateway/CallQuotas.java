package org.rosemaryfront.gateway;

import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongConsumer;
import java.util.function.Supplier;

import org.rosemaryfront.fleet.Fleet;
import org.rosemaryfront.fleet.Fleet.Sharing;
import org.rosemaryfront.quota.QuotaTable;
import org.rosemaryfront.quota.QuotaTable.QuotaDecision;
import org.rosemaryfront.routes.Organisation;
import org.rosemaryfront.routes.TrafficConfiguration;
import org.rosemaryfront.traffic.Call;
import org.rosemaryfront.traffic.Refusal;
import org.rosemaryfront.traffic.Refusal.Cause;

/**
 * Charges the units of calls to the quotas of their organisations. Confined to the
 * control thread.
 */
final class CallQuotas {

	private final QuotaTable quotas;

	private final Fleet fleet;

	private final Supplier<Optional<TrafficConfiguration>> configuration;

	/**
	 * Detects a pause of this process and applies pending updates from other gateways;
	 * takes the current time.
	 */
	private final LongConsumer applyPendingUpdates;

	CallQuotas(QuotaTable quotas, Fleet fleet, Supplier<Optional<TrafficConfiguration>> configuration,
			LongConsumer applyPendingUpdates) {
		this.quotas = quotas;
		this.fleet = fleet;
		this.configuration = configuration;
		this.applyPendingUpdates = applyPendingUpdates;
	}

	/**
	 * Charges the units of a call to the quota of its organisation, or refuses the call.
	 * @param call the call
	 * @param progress records the units charged
	 * @param now the current time on the monotonic clock, in nanoseconds
	 * @return whether the call was admitted
	 */
	boolean take(Call call, CallProgress progress, long now) {
		// After a process pause, waiting calls would otherwise be decided before the
		// updates that other gateways sent meanwhile are read.
		this.applyPendingUpdates.accept(now);
		Organisation organisation = current(call.organisation().orElseThrow());
		Sharing sharing = this.fleet.sharing(now);
		if (organisation.unitsPerSecond() > 0 && !sharing.isKnown()) {
			call.refuse(503, GatewayControl.fullRetryMillis(),
					Refusal.of(Cause.GATEWAYS_UNKNOWN, "number of gateways sharing the quota not known yet"));
			return false;
		}
		this.quotas.sharing(sharing);
		double units = units(call, organisation);
		QuotaDecision taking = this.quotas.take(organisation, units, now);
		if (taking.waitMillis() > 0) {
			refuse(call, units, taking);
			return false;
		}
		progress.admitted(units, taking, now);
		return true;
	}

	private static void refuse(Call call, double units, QuotaDecision taking) {
		long wait = taking.waitMillis();
		String detail = String.format(Locale.ROOT,
				"%.0f of %.0f units used, %.0f requested, %.0f unconfirmed, gateways %s", taking.used(), taking.limit(),
				units, taking.unconfirmed(), CallProgress.sharingGateways(taking));
		call.refuse(429, wait + ThreadLocalRandom.current().nextLong(wait / 2 + 1), Refusal.of(Cause.QUOTA, detail));
	}

	/**
	 * Gives back the units of a call that did not run.
	 * @param call the call
	 * @param progress the record of the units charged
	 * @param now the current time on the monotonic clock, in nanoseconds
	 */
	void giveBack(Call call, CallProgress progress, long now) {
		double units = progress.takeUnits();
		if (units > 0) {
			this.quotas.giveBack(call.organisation().orElseThrow().name(), units, progress.chargedNanos(), now);
		}
	}

	private static double units(Call call, Organisation organisation) {
		return switch (organisation.quotaUnit()) {
			case REQUESTS -> 1;
			case TOKENS -> call.metadata()
				.prompt()
				.map((prompt) -> prompt.promptTokens() + prompt.maxResponseTokens())
				.orElse(organisation.defaultTokens());
		};
	}

	// Returns the quota currently in force, which may be lower than when the call
	// arrived.
	private Organisation current(Organisation organisation) {
		return this.configuration.get()
			.flatMap((now) -> now.organisations()
				.stream()
				.filter((known) -> known.name().equals(organisation.name()))
				.findFirst())
			.orElse(organisation);
	}

}
