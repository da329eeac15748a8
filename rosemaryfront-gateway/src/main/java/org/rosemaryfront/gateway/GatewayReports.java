package org.rosemaryfront.gateway;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

import com.google.protobuf.ByteString;

import org.rosemaryfront.admission.OrganisationDemand;
import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.dispatch.BackendTable;
import org.rosemaryfront.dispatch.BackendUse;
import org.rosemaryfront.dispatch.NoticeReports.Notice;
import org.rosemaryfront.dispatch.PromptPrefix;
import org.rosemaryfront.dispatch.RejectionUse;
import org.rosemaryfront.duties.UsageLedger;
import org.rosemaryfront.duties.UsageLedger.Window;
import org.rosemaryfront.duties.UsageSums;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.fleet.Fleet;
import org.rosemaryfront.fleet.Fleet.Confirmation;
import org.rosemaryfront.fleet.Fleet.ReportStatus;
import org.rosemaryfront.gateway.proto.GatewayReport;
import org.rosemaryfront.gateway.proto.OrganisationUse;
import org.rosemaryfront.gateway.proto.ServerNotice;
import org.rosemaryfront.gateway.proto.ServerUse;
import org.rosemaryfront.gateway.proto.ServiceSpeed;
import org.rosemaryfront.gateway.proto.StatedNotice;
import org.rosemaryfront.gateway.proto.UnwrittenUse;
import org.rosemaryfront.gateway.proto.WindowSum;
import org.rosemaryfront.quota.QuotaTable;
import org.rosemaryfront.quota.QuotaTable.Use;
import org.rosemaryfront.speeds.SpeedSample;

/**
 * Sends and processes the reports by which gateways inform one another of their use of
 * quotas and servers. Used on the control thread.
 */
final class GatewayReports {

	/** Slowly changing values are included in one of this many reports. */
	private static final int SPEED_REPORT_INTERVAL = 4;

	/** Reported units of a logarithm. */
	private static final double LOG_RATIO_SCALE = 1_000;

	/**
	 * The maximum size of a sum of usage in a report, in bytes, which keeps the report
	 * within one packet.
	 */
	private static final int MAX_SUM_BYTES = 600;

	private final PeerExchange peers;

	private final BackendTable servers;

	private final Fleet fleet;

	private final QuotaTable quotas;

	private final GatewayControl decisions;

	private final UsageLedger usage;

	private final UsageDuty usageDuty;

	private final CrashRecords crashes;

	private final DutyLease lease;

	private final SharedTables tables;

	private final Rollouts rollouts;

	private final RolloutDuty rolloutDuty;

	private final CallLimits limits;

	private final BurstRow bursts;

	private final String self;

	private final String zone;

	private final int adminPort;

	private final int tunnelPort;

	/** Returns the number of servers that this gateway does not reach itself. */
	private final IntSupplier serversOutOfReach;

	/** Receives the name of another gateway that has just started. */
	private final Consumer<String> gatewayStarted;

	/** The prompt tokens last reported by each start of another gateway. */
	private final Map<String, Long> reportedPrefillTokens = new HashMap<>();

	private long otherPrefillTokens;

	private long loggedInvalidSpeeds;

	GatewayReports(PeerExchange peers, Fleet fleet, BackendTable servers, QuotaTable quotas, GatewayControl decisions,
			UsageLedger usage, UsageDuty usageDuty, CrashRecords crashes, DutyLease lease, SharedTables tables,
			Rollouts rollouts, RolloutDuty rolloutDuty, CallLimits limits, BurstRow bursts,
			IntSupplier serversOutOfReach, Consumer<String> gatewayStarted, GatewaySettings settings) {
		this.gatewayStarted = gatewayStarted;
		this.limits = limits;
		this.bursts = bursts;
		this.serversOutOfReach = serversOutOfReach;
		this.rollouts = rollouts;
		this.rolloutDuty = rolloutDuty;
		this.lease = lease;
		this.tables = tables;
		this.peers = peers;
		this.servers = servers;
		this.fleet = fleet;
		this.quotas = quotas;
		this.decisions = decisions;
		this.usage = usage;
		this.usageDuty = usageDuty;
		this.crashes = crashes;
		this.self = settings.name();
		this.zone = settings.zone();
		this.adminPort = settings.metrics().getPort();
		this.tunnelPort = settings.tunnels().getPort();
	}

	/**
	 * Sends a report to the other gateways.
	 * @param leaving whether this is the last report of this gateway
	 * @param now the current time on the monotonic clock, in nanoseconds
	 */
	void send(boolean leaving, long now) {
		this.decisions.configuration()
			.ifPresent((known) -> this.decisions.dispatcher()
				.admission()
				.demands(OrganisationDemand.of(known.organisations(), this.quotas.requestedUnits(now)), now));
		Window window = this.usage.current(System.currentTimeMillis());
		GatewayReport.Builder report = GatewayReport.newBuilder().setWindow(window.index());
		this.quotas.useToReport(now)
			.forEach((name,
					use) -> report.addOrganisations(OrganisationUse.newBuilder()
						.setOrganisation(name)
						.setUnits(Math.round(use.units()))
						.setAsked(Math.round(use.requested()))
						.setBegun(window.counts().getOrDefault(name, 0L).intValue())));
		report.setFresh(this.quotas.isInFirstWindow(now)).setGroup(this.fleet.group(now));
		this.usageDuty.rowsToHandOver()
			.forEach((row) -> report.addUnwritten(UnwrittenUse.newBuilder()
				.setWindow(row.window())
				.setRow(row.name())
				.setCounts(ByteString.copyFrom(row.counts()))));
		this.usageDuty.takeSumsToSend().forEach((sum) -> addSum(report, sum));
		addServers(report);
		report.addAllCrashes(this.crashes.updates(now));
		report.setDutyFence(this.lease.mayAct(now) ? this.lease.fence() : 0)
			.setReadsTables(this.tables.isReading(now))
			.addAllTables(this.tables.updates(now));
		int number = this.peers.nextNumber();
		if (number % SPEED_REPORT_INTERVAL == 1) {
			addSpeeds(report);
			logSpeedChanges(now);
			logInvalidSpeeds();
			report.setZone(this.zone);
		}
		report.setTunnelPort(this.tunnelPort).setServersOutOfReach(this.serversOutOfReach.getAsInt());
		report.setReadingTokens(this.decisions.prefillTokens()).setLeaving(leaving).setAdminPort(this.adminPort);
		report.addAllRollouts(this.rollouts
			.updates((service) -> this.lease.mayAct(now) ? this.rolloutDuty.phase(service) : Optional.empty(), now));
		this.limits.toReport(now).forEach((limit) -> report.addLimits(LimitReports.encode(limit)));
		this.decisions.notices().toReport(now).forEach((notice) -> report.addNotices(encode(notice)));
		this.peers.broadcast(report, this.fleet::isLive, (gateway) -> this.fleet.confirmation(gateway, now));
		this.fleet.reportSent(number, now);
		this.quotas.reportSent(number, now);
		if (this.lease.mayAct(now)) {
			this.decisions.configuration().ifPresent((known) -> this.bursts.writeDue(known.organisations(), now));
		}
	}

	// A sum that does not fit is only in the store.
	private static void addSum(GatewayReport.Builder report, UsageSums.Sum sum) {
		byte[] counts = RowJson.write(new TreeMap<>(sum.counts()));
		if (counts.length <= MAX_SUM_BYTES) {
			report.addSums(WindowSum.newBuilder().setWindow(sum.window()).setCounts(ByteString.copyFrom(counts)));
		}
	}

	private void addSpeeds(GatewayReport.Builder report) {
		this.decisions.dispatcher().models().forEach((service, model) -> {
			List<Double> rates = model.fittedCoefficients();
			if (!rates.isEmpty()) {
				report.addSpeeds(ServiceSpeed.newBuilder().setService(service).addAllRates(rates));
			}
		});
	}

	private void logSpeedChanges(long now) {
		this.servers.takeSpeedChanges(now)
			.forEach((change) -> EventLog.info(GatewayEvents.SERVER_SPEED_CHANGED, "server", change.server().id(),
					"started", change.server().startedMillis(), "service", change.service(), "previousFactor",
					String.format(Locale.ROOT, "%.2f", change.previousFactor()), "timeFactor",
					String.format(Locale.ROOT, "%.2f", change.timeFactor()), "calls", change.calls()));
	}

	private void logInvalidSpeeds() {
		long count = this.servers.invalidSpeeds();
		if (count > this.loggedInvalidSpeeds) {
			EventLog.warn(GatewayEvents.SPEED_REPORT_INVALID, "samples", count - this.loggedInvalidSpeeds, "total",
					count);
			this.loggedInvalidSpeeds = count;
		}
	}

	private void addServers(GatewayReport.Builder report) {
		Map<BackendServer.Incarnation, BackendUse> uses = this.servers.ownUse();
		Map<BackendServer.Incarnation, List<PromptPrefix.Segment>> segments = this.servers.takeSegmentUpdates();
		Set<BackendServer.Incarnation> starts = new HashSet<>(uses.keySet());
		starts.addAll(segments.keySet());
		Map<BackendServer.Incarnation, RejectionUse> rejections = this.servers.ownRejections();
		starts.addAll(rejections.keySet());
		Map<BackendServer.Incarnation, SpeedSample> speeds = new HashMap<>();
		this.servers.takeSpeedSamples().forEach((sample) -> speeds.put(sample.server(), sample));
		starts.addAll(speeds.keySet());
		for (BackendServer.Incarnation server : starts) {
			BackendUse use = uses.getOrDefault(server, BackendUse.NONE);
			ServerUse.Builder serverUse = report.addServersBuilder()
				.setServer(server.id())
				.setStartedMillis(server.startedMillis())
				.setCalls(use.calls())
				.setUnreadTokens((int) use.uncachedTokens());
			Optional.ofNullable(rejections.get(server))
				.ifPresent((rejected) -> serverUse.setRejectionLimit(rejected.limit()).setRejections(rejected.count()));
			Optional.ofNullable(speeds.get(server))
				.ifPresent((sample) -> serverUse.setMeasuredCalls(sample.calls())
					.setLogRatioMilli((int) Math.round(sample.logRatioSum() * LOG_RATIO_SCALE)));
			segments.getOrDefault(server, List.of())
				.forEach((segment) -> serverUse.addParts(segment.prefixHash()).addPartTokens(segment.tokens()));
		}
	}

	/**
	 * Processes the report of another gateway.
	 * @param received the report
	 * @param now the current time on the monotonic clock, in nanoseconds
	 * @return whether its sender waits for the next report of this gateway
	 */
	boolean receive(PeerExchange.ReceivedReport received, long now) {
		GatewayReport report = received.report();
		String gateway = report.getGateway();
		if (gateway.equals(this.self)) {
			return false;
		}
		boolean wasLive = this.fleet.isLive(gateway);
		ReportStatus status = this.fleet.reportReceived(fleetReport(report), now);
		if (status == ReportStatus.LATE) {
			return false;
		}
		this.peers.updateSender(received);
		if (!wasLive) {
			EventLog.info(GatewayEvents.PEER_HEARD, "gateway", gateway, "from", received.from());
		}
		apply(report, received.from().getAddress(), now);
		if (status == ReportStatus.FIRST) {
			this.limits.gatewayStarted(now);
			this.gatewayStarted.accept(gateway);
		}
		return status == ReportStatus.FIRST && !this.peers.resend(gateway, this.fleet.confirmation(gateway, now));
	}

	private void apply(GatewayReport report, InetAddress from, long now) {
		String process = UsageDuty.processName(report.getGateway(), report.getStart());
		Map<String, Long> startedCalls = new HashMap<>();
		Map<String, Use> used = new HashMap<>();
		report.getOrganisationsList().forEach((use) -> {
			used.put(use.getOrganisation(), new Use(use.getUnits(), use.getAsked(), report.getFresh()));
			startedCalls.put(use.getOrganisation(), (long) use.getBegun());
		});
		this.quotas.reportReceived(process, used, now);
		this.servers.recordPeerUse(report.getGateway(), report.getLeaving() ? Map.of() : uses(report));
		report.getServersList().forEach((use) -> receiveServer(process, use, now));
		report.getNoticesList()
			.forEach((notice) -> this.decisions.notices().receive(report.getGateway(), decode(notice), now));
		this.crashes.receive(report.getGateway(), report.getCrashesList(), now);
		this.tables.receive(report.getTablesList(), new InetSocketAddress(from, report.getAdminPort()), now);
		this.rollouts.receive(process, report.getRolloutsList(), now);
		this.limits.receive(report.getGateway(), report.getStart(),
				report.getLimitsList().stream().map(LimitReports::decode).toList(), now);
		if (report.getDutyFence() > 0) {
			this.lease.heldElsewhere(now);
		}
		report.getSpeedsList()
			.forEach((speed) -> this.decisions.dispatcher()
				.model(speed.getService())
				.adoptCoefficients(speed.getRatesList()));
		this.usageDuty.receiveCurrentCounts(report.getWindow(), process, startedCalls);
		report.getUnwrittenList()
			.forEach((row) -> this.usageDuty.receiveUnwritten(row.getWindow(), row.getRow(),
					row.getCounts().toByteArray()));
		report.getSumsList()
			.forEach((sum) -> this.usageDuty.receiveSum(sum.getWindow(), sum.getCounts().toByteArray()));
		long before = this.reportedPrefillTokens.getOrDefault(process, report.getReadingTokens());
		long tokens = Math.max(0, report.getReadingTokens() - before);
		this.otherPrefillTokens += tokens;
		this.decisions.dispatcher().peerWork().record(tokens);
		this.reportedPrefillTokens.put(process, report.getReadingTokens());
	}

	/**
	 * Logs gateways whose reports timed out and removes their load from the servers.
	 * @param now the current time on the monotonic clock, in nanoseconds
	 */
	void handleTimeouts(long now) {
		for (String gateway : this.fleet.timedOut(now)) {
			EventLog.info(GatewayEvents.PEER_SILENT, "gateway", gateway);
			this.servers.recordPeerUse(gateway, Map.of());
		}
	}

	private static Fleet.Report fleetReport(GatewayReport report) {
		Optional<Confirmation> confirmed = (report.getHeardNumber() == 0) ? Optional.empty()
				: Optional.of(new Confirmation(report.getHeardStart(), report.getHeardNumber()));
		return new Fleet.Report(report.getGateway(), report.getStart(), report.getNumber(), report.getLeaving(),
				report.getGroup(), report.getReadsTables(), confirmed);
	}

	private void receiveServer(String process, ServerUse use, long now) {
		receiveSegments(use);
		if (use.getMeasuredCalls() != 0) {
			receiveSpeed(use, now);
		}
		if (use.getRejections() > 0) {
			this.decisions.rejections()
				.receive(process, start(use), new RejectionUse(use.getRejectionLimit(), use.getRejections()), now);
		}
	}

	private void receiveSegments(ServerUse use) {
		int count = Math.min(use.getPartsCount(), use.getPartTokensCount());
		if (count == 0) {
			return;
		}
		List<PromptPrefix.Segment> segments = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			segments.add(new PromptPrefix.Segment(use.getParts(i), use.getPartTokens(i)));
		}
		this.servers.find(use.getServer())
			.ifPresent((server) -> this.servers.recordPeerPrefill(start(use), segments,
					this.decisions.kvCacheTokens(server.service())));
	}

	private void receiveSpeed(ServerUse use, long now) {
		SpeedSample sample = new SpeedSample(start(use), use.getMeasuredCalls(),
				use.getLogRatioMilli() / LOG_RATIO_SCALE);
		this.servers.recordPeerSpeed(sample, now);
	}

	private static StatedNotice encode(Notice notice) {
		return StatedNotice.newBuilder()
			.setServer(notice.server().id())
			.setStartedMillis(notice.server().startedMillis())
			.setNotice(ServerNotice.newBuilder()
				.setLeaving(notice.leaving())
				.setBackoffMillis((int) TimeUnit.NANOSECONDS.toMillis(notice.backoffNanos())))
			.build();
	}

	private static Notice decode(StatedNotice notice) {
		return new Notice(new BackendServer.Incarnation(notice.getServer(), notice.getStartedMillis()),
				notice.getNotice().getLeaving(), TimeUnit.MILLISECONDS.toNanos(notice.getNotice().getBackoffMillis()));
	}

	private static BackendServer.Incarnation start(ServerUse use) {
		return new BackendServer.Incarnation(use.getServer(), use.getStartedMillis());
	}

	/**
	 * Returns the prompt tokens that the servers prefilled for all gateways since this
	 * gateway started.
	 * @return the number of tokens
	 */
	double prefillTokens() {
		return this.decisions.prefillTokens() + (double) this.otherPrefillTokens;
	}

	private static Map<BackendServer.Incarnation, BackendUse> uses(GatewayReport report) {
		Map<BackendServer.Incarnation, BackendUse> uses = new HashMap<>();
		for (ServerUse use : report.getServersList()) {
			uses.put(start(use), new BackendUse(use.getCalls(), use.getUnreadTokens()));
		}
		return uses;
	}

}
