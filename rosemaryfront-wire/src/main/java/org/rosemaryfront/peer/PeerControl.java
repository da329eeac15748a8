package org.rosemaryfront.peer;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import reactor.core.publisher.Mono;

import org.rosemaryfront.configuration.ConfigurationCommand;
import org.rosemaryfront.configuration.ConfigurationEvent;
import org.rosemaryfront.configuration.ConfigurationState;
import org.rosemaryfront.configuration.ConfigurationTiming;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.events.Invariants;
import org.rosemaryfront.membership.DepartureNotice;
import org.rosemaryfront.membership.MemberId;
import org.rosemaryfront.membership.MemberRecord;
import org.rosemaryfront.membership.MemberState;
import org.rosemaryfront.membership.Membership;
import org.rosemaryfront.membership.MembershipCommand;
import org.rosemaryfront.membership.MembershipEvent;
import org.rosemaryfront.membership.MembershipMessage;
import org.rosemaryfront.membership.MembershipSettings;
import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.VmId;
import org.rosemaryfront.peer.proto.ConfigurationRequest;
import org.rosemaryfront.peer.proto.Frame;
import org.rosemaryfront.platform.CloudClient;
import org.rosemaryfront.platform.TableClient;
import org.rosemaryfront.program.ControlLoop;

/**
 * The control thread of a {@link PeerNode}: owns the membership and the state of the
 * configuration, does what they command and publishes snapshots.
 */
final class PeerControl implements AutoCloseable {

	private static final Duration TICK = Duration.ofMillis(50);

	private static final long USAGE_SNAPSHOT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

	private final PeerTiming timing;

	private final CloudClient cloud;

	private final PeerHandler handler;

	private final ConfigurationReader reader;

	private final FrameClient client;

	private final DatagramEndpoint datagrams;

	private final Membership membership;

	private final ConfigurationState state;

	private final ConfigurationTiming configurationTiming;

	private final ControlLoop loop;

	private volatile Snapshot snapshot;

	private volatile ConfigurationHistory history = ConfigurationHistory.empty();

	private volatile Map<String, Long> peerUsage = Map.of();

	private volatile Map<String, Long> usage = Map.of();

	// The thread starts within the constructor and must not tick before its end.
	private volatile boolean ready;

	private boolean changed = true;

	private boolean vmListOpen;

	private long vmListAt;

	private long usageAt;

	private PeerControl(Parts parts, MemberRecord self, long seed, long now) {
		this.timing = parts.settings().timing();
		this.cloud = parts.cloud();
		this.handler = parts.handler();
		this.reader = ConfigurationReader.of(parts.tables());
		this.client = parts.client();
		this.datagrams = parts.datagrams();
		this.membership = Membership.start(self,
				MembershipSettings.ofPeriod(Duration.ofMillis(this.timing.probePeriodMillis())), seed, now);
		this.configurationTiming = ConfigurationTiming.of(this.timing.headReadsPerSecond(),
				Duration.ofMillis(this.timing.stalenessMillis()));
		this.state = ConfigurationState.start(this.configurationTiming, seed, now);
		this.vmListAt = now;
		this.usageAt = now;
		this.snapshot = Snapshot.of(this.membership, Optional.empty());
		this.loop = ControlLoop.start("peers", TICK, this::tick);
	}

	// -- factories

	static PeerControl start(Parts parts, MemberRecord self) {
		long now = System.nanoTime();
		PeerControl control = new PeerControl(parts, self, now ^ self.hashCode(), now);
		control.ready = true;
		return control;
	}

	// -- events

	void arrived(String from, MembershipMessage message) {
		accept(new MembershipEvent.MessageArrived(from, message));
	}

	void accept(MembershipEvent event) {
		this.loop.post((now) -> this.membership.accept(event, now));
	}

	// Entry processes tell their use at each of their ticks; only the latest counts.
	void usage(Map<String, Long> tokensInFlight) {
		this.usage = Map.copyOf(tokensInFlight);
	}

	private void accept(ConfigurationEvent event) {
		this.loop.post((now) -> this.state.accept(event, now));
	}

	// -- systems

	private void tick(long now) {
		if (!this.ready) {
			return;
		}
		readVmList(now);
		this.membership.tick(now).forEach((command) -> execute(command, now));
		this.state.tick(this.membership.size(), now).forEach((command) -> execute(command, now));
		if (this.changed) {
			this.changed = false;
			this.snapshot = Snapshot.of(this.membership, this.state.freshUntilNanos());
		}
		if (now - this.usageAt >= USAGE_SNAPSHOT_NANOS) {
			this.usageAt = now;
			this.membership.accept(new MembershipEvent.UsageMeasured(this.usage), now);
			this.peerUsage = Map.copyOf(this.membership.peerUsage());
		}
	}

	// The members together read the VM list at a bounded rate, like the head.
	private void readVmList(long now) {
		if (this.vmListOpen || now < this.vmListAt) {
			return;
		}
		this.vmListOpen = true;
		long interval = Math.max(TimeUnit.MILLISECONDS.toNanos(this.timing.vmListMillis()),
				this.configurationTiming.pollIntervalNanos(this.membership.size()));
		this.cloud.vmList()
			.timeout(Duration.ofMillis(this.timing.requestMillis()))
			.map(PeerControl::candidates)
			.subscribe((listed) -> vmListRead(Optional.of(listed), interval), (ex) -> {
				EventLog.warn(MembershipEvents.VM_LIST_FAILED, "cause", ex);
				vmListRead(Optional.empty(), interval);
			});
	}

	private void vmListRead(Optional<MembershipEvent.CandidatesListed> listed, long interval) {
		this.loop.post((now) -> {
			this.vmListOpen = false;
			this.vmListAt = now + (listed.isPresent() ? interval : interval / 5);
			listed.ifPresent((event) -> this.membership.accept(event, now));
		});
	}

	private static MembershipEvent.CandidatesListed candidates(List<CloudClient.Listed> list) {
		return new MembershipEvent.CandidatesListed(list.stream()
			.filter((listed) -> listed.role().equals(MemberId.ENTRY) && !listed.leaving()
					&& !listed.address().isEmpty())
			.map((listed) -> new MembershipEvent.Candidate(listed.vm(), listed.address()))
			.toList());
	}

	// -- commands of the membership

	private void execute(MembershipCommand command, long now) {
		switch (command) {
			case MembershipCommand.Send send -> this.datagrams.send(send.address(), send.message());
			case MembershipCommand.MemberChanged member -> memberChanged(member.record());
			case MembershipCommand.DepartureReceived departure -> departureLearned(departure.notice());
			case MembershipCommand.PeerMessageReceived peer -> {
				this.changed = true;
				this.state.accept(new ConfigurationEvent.PeerRevisionReceived(peer.address(), peer.revision()), now);
			}
			case MembershipCommand.Refuted refuted -> {
				this.changed = true;
				EventLog.info(MembershipEvents.MEMBERSHIP_REFUTED, "incarnation", refuted.incarnation());
			}
			case MembershipCommand.PauseDetected pause ->
				EventLog.warn(MembershipEvents.PAUSE_SEEN, "millis", TimeUnit.NANOSECONDS.toMillis(pause.nanos()));
		}
	}

	private void memberChanged(MemberRecord record) {
		this.changed = true;
		MembershipEvents event = switch (record.state()) {
			case ALIVE -> MembershipEvents.MEMBER_ALIVE;
			case SUSPECT -> MembershipEvents.MEMBER_SUSPECT;
			case LEAVING -> MembershipEvents.MEMBER_LEAVING;
			case DEAD -> MembershipEvents.MEMBER_DEAD;
		};
		EventLog.info(event, "member", record.id(), "address", record.address(), "incarnation", record.incarnation());
	}

	private void departureLearned(DepartureNotice notice) {
		EventLog.info(MembershipEvents.DEPARTURE_LEARNED, "vm", notice.vm(), "remainingMillis",
				notice.remainingMillis());
		guarded(() -> this.handler.departureLearned(notice.vm(), notice.remainingMillis()));
	}

	// -- commands of the configuration

	private void execute(ConfigurationCommand command, long now) {
		switch (command) {
			case ConfigurationCommand.ReadHead _ -> readHead();
			case ConfigurationCommand.ReadFromPeer read -> readFromPeer(read.address(), read.knownRevision());
			case ConfigurationCommand.ReadFromStore _ ->
				complete("store", this.reader.read(this.history.configuration()));
			case ConfigurationCommand.Applied applied -> applied(applied.configuration(), now);
			case ConfigurationCommand.Dropped dropped -> EventLog.info(PropagationEvents.CONFIGURATION_DROPPED,
					"revision", dropped.revision(), "inForce", this.history.configuration().revision());
			case ConfigurationCommand.HeadBehind behind -> EventLog.error(PropagationEvents.HEAD_BEHIND, "head",
					behind.head(), "inForce", this.history.configuration().revision());
			case ConfigurationCommand.FreshnessChanged fresh -> EventLog.info(
					fresh.fresh() ? PropagationEvents.CONFIGURATION_FRESH : PropagationEvents.CONFIGURATION_STALE,
					"revision", this.history.configuration().revision());
		}
	}

	private void readHead() {
		this.reader.head().timeout(Duration.ofMillis(this.timing.requestMillis())).subscribe((revision) -> {
			accept(new ConfigurationEvent.HeadRead(revision));
			this.loop.post((_) -> this.changed = true);
		}, (_) -> accept(new ConfigurationEvent.HeadFailed()));
	}

	private void readFromPeer(String address, long knownRevision) {
		Frame question = Frame.newBuilder()
			.setConfigurationRequest(ConfigurationRequest.newBuilder().setKnownRevision(knownRevision))
			.build();
		complete(address, this.client.ask(address, question)
			.map((answer) -> this.history.merged(answer.getConfigurationReply())));
	}

	private void complete(String source, Mono<Configuration> read) {
		read.timeout(Duration.ofNanos(this.configurationTiming.readTimeoutNanos()))
			.subscribe((configuration) -> accept(new ConfigurationEvent.ConfigurationRead(configuration)), (ex) -> {
				EventLog.warn(PropagationEvents.CONFIGURATION_READ_FAILED, "source", source, "cause", ex);
				accept(new ConfigurationEvent.ReadFailed());
			});
	}

	private void applied(Configuration configuration, long now) {
		long before = this.history.configuration().revision();
		if (!Invariants.check(configuration.revision() > before, PropagationEvents.CONFIGURATION_REVERTED, "from",
				before, "to", configuration.revision())) {
			return;
		}
		this.history = this.history.with(configuration);
		this.changed = true;
		EventLog.info(PropagationEvents.CONFIGURATION_APPLIED, "revision", configuration.revision(), "before", before);
		this.membership.accept(new MembershipEvent.RevisionInForce(configuration.revision()), now);
		this.membership.tick(now).forEach((command) -> execute(command, now));
		guarded(() -> this.handler.configurationApplied(configuration));
	}

	private static void guarded(Runnable callback) {
		try {
			callback.run();
		}
		catch (RuntimeException ex) {
			EventLog.error(ex, MembershipEvents.HANDLER_FAILED, "cause", ex);
		}
	}

	// -- queries

	ConfigurationHistory history() {
		return this.history;
	}

	Map<String, Long> peerUsage() {
		return this.peerUsage;
	}

	Snapshot snapshot() {
		return this.snapshot;
	}

	/**
	 * Announces the leave and ends the thread.
	 */
	@Override
	public void close() {
		accept(new MembershipEvent.LeaveRequested());
		this.loop.close();
	}

	/**
	 * What other threads read.
	 *
	 * @param members all members
	 * @param freshUntil until when new work may be accepted, empty when no configuration
	 * is known
	 */
	record Snapshot(List<MemberView> members, Optional<Long> freshUntil) {

		static Snapshot of(Membership membership, Optional<Long> freshUntil) {
			return new Snapshot(membership.members().stream().map(Snapshot::view).toList(), freshUntil);
		}

		private static MemberView view(MemberRecord record) {
			return new MemberView(record.id().vm(), record.address(), record.zone(), record.id().role(), record.state(),
					record.incarnation(), record.revision());
		}

		/**
		 * The entry processes that may hold or take requests.
		 * @param self the VM of this process
		 * @return all that may answer, without this one
		 */
		List<MemberView> otherEntries(VmId self) {
			return this.members.stream()
				.filter((member) -> member.role().equals(MemberId.ENTRY) && !member.vm().equals(self)
						&& member.state() != MemberState.DEAD)
				.toList();
		}

	}

	/**
	 * What the control thread works with.
	 *
	 * @param settings how the process takes part
	 * @param tables the table service
	 * @param cloud the source of the VM list
	 * @param handler what the process does with what it learns
	 * @param client asks peers
	 * @param datagrams sends datagrams
	 */
	record Parts(PeerSettings settings, TableClient tables, CloudClient cloud, PeerHandler handler, FrameClient client,
			DatagramEndpoint datagrams) {
	}

}
