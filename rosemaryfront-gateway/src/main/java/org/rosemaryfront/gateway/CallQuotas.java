package org.rosemaryfront.gateway;

import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongConsumer;
import java.util.function.Supplier;

import org.rosemaryfront.fleet.Fleet;
import org.rosemaryfront.fleet.Fleet.Sharing;
import org.rosemaryfront.quota.QuotaTable;
import org.rosemaryfront.quota.QuotaTable.Taking;
import org.rosemaryfront.routes.Organisation;
import org.rosemaryfront.routes.TrafficConfiguration;
import org.rosemaryfront.traffic.Call;
import org.rosemaryfront.traffic.Refusal;
import org.rosemaryfront.traffic.Refusal.Cause;

/**
 * Takes the units of calls from the quotas of their organisations. Used on the control
 * thread.
 */
final class CallQuotas {

	private final QuotaTable quotas;

	private final Fleet fleet;

	private final Supplier<Optional<TrafficConfiguration>> configuration;

	/** Notices a pause of this process and takes what was told, at the time given. */
	private final LongConsumer catchUp;

	CallQuotas(QuotaTable quotas, Fleet fleet, Supplier<Optional<TrafficConfiguration>> configuration,
			LongConsumer catchUp) {
		this.quotas = quotas;
		this.fleet = fleet;
		this.configuration = configuration;
		this.catchUp = catchUp;
	}

	/**
	 * Takes the units of a call of an organisation.
	 * @param call the call
	 * @param progress notes what was taken
	 * @param now the time
	 * @return whether the call may go on; it was refused otherwise
	 */
	boolean take(Call call, CallProgress progress, long now) {
		// Calls that came while this process stood still are decided before it has read
		// what the others told meanwhile.
		this.catchUp.accept(now);
		Organisation organisation = current(call.organisation().orElseThrow());
		Sharing sharing = this.fleet.sharing(now);
		if (organisation.unitsPerSecond() > 0 && !sharing.isKnown()) {
			call.refuse(503, GatewayControl.fullRetryMillis(),
					Refusal.of(Cause.GATEWAYS_UNKNOWN, "the gateways that share the quota are not known yet"));
			return false;
		}
		this.quotas.sharing(sharing);
		double units = units(call, organisation);
		Taking taking = this.quotas.take(organisation, units, now);
		if (taking.waitMillis() > 0) {
			refuse(call, units, taking);
			return false;
		}
		progress.admitted(units, taking, now);
		return true;
	}

	private static void refuse(Call call, double units, Taking taking) {
		long wait = taking.waitMillis();
		String detail = String.format(Locale.ROOT, "%.0f of %.0f units used, %.0f asked, %.0f unconfirmed, gateways %s",
				taking.used(), taking.limit(), units, taking.unconfirmed(), CallProgress.gateways(taking));
		call.refuse(429, wait + ThreadLocalRandom.current().nextLong(wait / 2 + 1), Refusal.of(Cause.QUOTA, detail));
	}

	/**
	 * Gives the units of a call back that did not run.
	 * @param call the call
	 * @param progress what was taken
	 * @param now the time
	 */
	void giveBack(Call call, CallProgress progress, long now) {
		double units = progress.takeUnits();
		if (units > 0) {
			this.quotas.giveBack(call.organisation().orElseThrow().name(), units, progress.takenNanos(), now);
		}
	}

	private static double units(Call call, Organisation organisation) {
		return switch (organisation.counts()) {
			case REQUESTS -> 1;
			case TOKENS -> call.terms()
				.prompt()
				.map((prompt) -> prompt.promptTokens() + prompt.answerTokens())
				.orElse(organisation.plainTokens());
		};
	}

	// The quota in force now, which may be lower than when the call came.
	private Organisation current(Organisation organisation) {
		return this.configuration.get()
			.flatMap((now) -> now.organisations()
				.stream()
				.filter((known) -> known.name().equals(organisation.name()))
				.findFirst())
			.orElse(organisation);
	}

}
