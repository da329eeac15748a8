package org.rosemaryfront.gateway;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.stream.Collectors;

import org.rosemaryfront.dispatch.BackendServer.Incarnation;
import org.rosemaryfront.gateway.proto.ServerLimit;
import org.rosemaryfront.gateway.proto.ServerPermits;
import org.rosemaryfront.limits.LimitReport;
import org.rosemaryfront.limits.LimitReport.AgedLimit;
import org.rosemaryfront.limits.LimitReport.Demand;
import org.rosemaryfront.limits.LimitReport.IssuedPermits;
import org.rosemaryfront.limits.LimitReport.Settlement;

/** Translates reports of server limits to and from their Protobuf messages. */
final class LimitReports {

	private LimitReports() {
	}

	static ServerLimit encode(LimitReport report) {
		ServerLimit.Builder message = ServerLimit.newBuilder()
			.setServer(report.server().id())
			.setStartedMillis(report.server().startedMillis())
			.setDemand(report.demand().recent())
			.setWaiting(report.demand().waiting())
			.setIssuer(report.issuer());
		report.limit()
			.ifPresent((limit) -> message.setTold(true)
				.setLifted(limit.perSecond().isEmpty())
				.setPerSecond(limit.perSecond().orElse(0))
				.setFromAgeMillis(limit.fromAgeMillis())
				.setUntilAgeMillis(limit.untilAgeMillis()));
		report.permits()
			.forEach((gateway,
					permits) -> message.addPermits(ServerPermits.newBuilder()
						.setOf(gateway)
						.setIssued(permits.total())
						.setSettled(permits.settled())));
		report.settlements()
			.forEach((issuer,
					settlement) -> message.addSettlements(ServerPermits.newBuilder()
						.setOf(issuer)
						.setSettled(settlement.settled())
						.setUnused(settlement.unused())));
		return message.build();
	}

	static LimitReport decode(ServerLimit message) {
		return new LimitReport(new Incarnation(message.getServer(), message.getStartedMillis()), limit(message),
				new Demand(message.getDemand(), message.getWaiting()), message.getIssuer(),
				permits(message.getPermitsList()), settlements(message.getSettlementsList()));
	}

	private static Optional<AgedLimit> limit(ServerLimit message) {
		if (!message.getTold()) {
			return Optional.empty();
		}
		OptionalDouble perSecond = message.getLifted() ? OptionalDouble.empty()
				: OptionalDouble.of(message.getPerSecond());
		return Optional.of(new AgedLimit(perSecond, message.getFromAgeMillis(), message.getUntilAgeMillis()));
	}

	private static Map<Integer, IssuedPermits> permits(List<ServerPermits> messages) {
		return messages.stream()
			.collect(Collectors.toMap(ServerPermits::getOf,
					(message) -> new IssuedPermits(message.getIssued(), message.getSettled()), (first, _) -> first));
	}

	private static Map<Integer, Settlement> settlements(List<ServerPermits> messages) {
		return messages.stream()
			.collect(Collectors.toMap(ServerPermits::getOf,
					(message) -> new Settlement(message.getSettled(), message.getUnused()), (first, _) -> first));
	}

}
