package org.rosemaryfront.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;

import org.rosemaryfront.membership.MembershipMessage.Kind;
import org.rosemaryfront.model.VmId;

/**
 * Tracks the members of a region with a SWIM failure detector and distributes urgent
 * changes among them by gossip. Deterministic: performs no input or output; the time and
 * the seed are passed in. Must be used by one thread only.
 *
 * <p>
 * In every period a member probes one other member, and each of them once per round. If
 * no acknowledgement arrives, it asks several others to probe that member. If that fails
 * too, the member becomes suspect, and dead if it does not refute in time. Changes are
 * carried by probes and acknowledgements, each a limited number of times. Departures of
 * backend servers, leaving members and new configuration revisions are also pushed
 * immediately to a few members. The period, the datagram size and the push budget limit
 * the bytes sent.
 *
 * <pre>
 * Membership membership = Membership.start(self, MembershipSettings.standard(), seed, now);
 * membership.accept(new MembershipEvent.MessageArrived(from, message), now);
 * membership.tick(now).forEach(this::execute);
 * </pre>
 */
public final class Membership {

	/** Number of periods between probes of dead members. */
	private static final int PERIODS_PER_RECONNECT = 5;

	/** Minimum time between two queries to all members with an older revision. */
	private static final long REVISION_QUERY_SPACING_NANOS = Duration.ofMillis(500).toNanos();

	private final MembershipSettings settings;

	private final SplittableRandom random;

	private final MemberTable members;

	private final DepartureTable departures = new DepartureTable();

	private final UsageTable usage = new UsageTable();

	private final CandidateTable candidates = new CandidateTable();

	private final ProbeTable probes;

	private final SuspicionTable suspicions = new SuspicionTable();

	private final MessageComposer composer;

	private final PushBudget pushBudget;

	private final List<MembershipCommand> commands = new ArrayList<>();

	private MemberRecord self;

	private long nextPeriodAt;

	private long lastTickAt;

	private long lastRevisionQueryAt;

	private long periods;

	private Membership(MemberRecord self, MembershipSettings settings, long seed, long nowNanos) {
		this.self = self;
		this.settings = settings;
		this.random = new SplittableRandom(seed);
		this.members = new MemberTable(this.random.split());
		this.probes = new ProbeTable(this.random.nextLong(1L << 24));
		this.composer = new MessageComposer(settings, this.members, this.departures, this.usage, this.random.split());
		this.pushBudget = PushBudget.full(settings, nowNanos);
		this.nextPeriodAt = nowNanos + this.random.nextLong(settings.periodNanos());
		this.lastTickAt = nowNanos;
		this.lastRevisionQueryAt = nowNanos - REVISION_QUERY_SPACING_NANOS;
	}

	// -- factories

	/**
	 * Creates a member without known peers.
	 * @param self its record; the incarnation must be higher than in any earlier run with
	 * the same VM and role
	 * @param settings the limits and intervals
	 * @param seed the seed of its random choices
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the member
	 */
	public static Membership start(MemberRecord self, MembershipSettings settings, long seed, long nowNanos) {
		Objects.requireNonNull(self, "self is null");
		Objects.requireNonNull(settings, "settings is null");
		return new Membership(self, settings, seed, nowNanos);
	}

	// -- events

	/**
	 * Applies an event to the tables.
	 * @param event what happened
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void accept(MembershipEvent event, long nowNanos) {
		detectPause(nowNanos);
		switch (event) {
			case MembershipEvent.MessageArrived arrived -> messageArrived(arrived.from(), arrived.message(), nowNanos);
			case MembershipEvent.CandidatesListed listed -> this.candidates.update(listed.candidates(), nowNanos);
			case MembershipEvent.DepartureDetected current -> addDeparture(current.notice(), nowNanos);
			case MembershipEvent.LeaveRequested _ -> leave();
			case MembershipEvent.RevisionInForce inForce -> revisionInForce(inForce.revision());
			case MembershipEvent.RevisionsRequested _ -> queryRevisions(nowNanos);
			case MembershipEvent.UsageMeasured measured -> this.usage.setOwn(measured.tokensInFlight());
		}
	}

	private void messageArrived(String from, MembershipMessage message, long nowNanos) {
		MemberRecord sender = message.sender();
		if (sender.id().equals(this.self.id())) {
			return;
		}
		boolean joined = this.members.find(sender.id()).isEmpty();
		senderReceived(message, nowNanos);
		message.members().forEach((record) -> merge(record, nowNanos));
		message.departures().forEach((notice) -> {
			if (addDeparture(notice, nowNanos)) {
				this.commands.add(new MembershipCommand.DepartureReceived(notice));
			}
		});
		switch (message.kind()) {
			case Kind.Probe probe -> probeReceived(from, sender.id(), probe, joined, nowNanos);
			case Kind.Ack ack -> ackReceived(ack.number(), nowNanos);
			case Kind.Gossip _ -> {
			}
		}
	}

	private void senderReceived(MembershipMessage message, long nowNanos) {
		MemberRecord sender = message.sender();
		merge(sender, nowNanos);
		MemberRecord current = this.members.find(sender.id()).orElseThrow();
		if (current.supersedes(sender)) {
			this.composer.enqueue(current.id());
		}
		else if (current.state() == MemberState.LEAVING) {
			this.suspicions.remove(current.id());
		}
		this.members.revisionReceived(sender.id(), sender.revision());
		if (!(message.kind() instanceof Kind.Gossip)) {
			this.usage.digestReceived(sender.id(), message.usage(), nowNanos);
		}
		this.commands.add(new MembershipCommand.PeerMessageReceived(sender.address(), sender.revision()));
	}

	private void probeReceived(String from, MemberId sender, Kind.Probe probe, boolean joined, long nowNanos) {
		Kind.Ack ack = new Kind.Ack(probe.number());
		if (!probe.target().isEmpty()) {
			long number = this.probes.relay(from, probe.number(), nowNanos);
			send(probe.target(), Optional.empty(), new Kind.Probe(number, ""), nowNanos);
		}
		else if (joined) {
			this.commands.add(new MembershipCommand.Send(from, this.composer.joinReply(this.self, ack, nowNanos)));
		}
		else {
			send(from, Optional.of(sender), ack, nowNanos);
		}
	}

	private void ackReceived(long number, long nowNanos) {
		this.probes.acknowledge(number);
		this.probes.takeRelay(number)
			.ifPresent((relay) -> send(relay.requester(), Optional.empty(), new Kind.Ack(relay.number()), nowNanos));
	}

	private boolean addDeparture(DepartureNotice notice, long nowNanos) {
		boolean added = this.departures.add(notice, nowNanos);
		if (added) {
			this.composer.enqueue(notice.vm());
			this.pushBudget.request();
		}
		return added;
	}

	private void leave() {
		if (this.self.state() != MemberState.LEAVING) {
			this.self = this.self.withState(MemberState.LEAVING);
			this.commands.add(new MembershipCommand.MemberChanged(this.self));
			this.pushBudget.requestImmediate();
		}
	}

	private void revisionInForce(long revision) {
		if (revision > this.self.revision()) {
			this.self = this.self.withRevision(revision);
			this.pushBudget.request();
		}
	}

	private void queryRevisions(long nowNanos) {
		if (nowNanos - this.lastRevisionQueryAt < REVISION_QUERY_SPACING_NANOS) {
			return;
		}
		this.lastRevisionQueryAt = nowNanos;
		this.members.all()
			.stream()
			.filter((record) -> record.reachable() && record.revision() < this.self.revision())
			.toList()
			.forEach((record) -> send(record.address(), Optional.of(record.id()), probe(), nowNanos));
	}

	// -- records

	private void merge(MemberRecord record, long nowNanos) {
		if (record.id().equals(this.self.id())) {
			refute(record);
			return;
		}
		boolean joined = this.members.find(record.id()).isEmpty() && record.state() == MemberState.ALIVE;
		if (!this.members.merge(record, nowNanos)) {
			return;
		}
		MemberRecord merged = this.members.find(record.id()).orElseThrow();
		this.commands.add(new MembershipCommand.MemberChanged(merged));
		if (joined) {
			this.composer.enqueueJoin(merged.id());
		}
		else {
			this.composer.enqueue(merged.id());
		}
		switch (merged.state()) {
			case ALIVE -> this.suspicions.remove(merged.id());
			case SUSPECT -> suspect(merged, nowNanos);
			case LEAVING -> {
				this.suspicions.remove(merged.id());
				this.pushBudget.request();
			}
			case DEAD -> {
				this.suspicions.remove(merged.id());
				this.usage.discard(merged.id());
				this.pushBudget.request();
			}
		}
	}

	// A member that was paused, partitioned or restarted may receive a record of itself
	// as suspect, leaving or dead. It refutes the record by a higher incarnation, because
	// a record cannot return to an earlier state within one incarnation. A leaving member
	// stays leaving.
	private void refute(MemberRecord received) {
		if (received.supersedes(this.self)) {
			this.self = this.self.withIncarnation(received.incarnation() + 1);
			this.commands.add(new MembershipCommand.Refuted(this.self.incarnation()));
			this.pushBudget.request();
		}
	}

	private void suspect(MemberRecord record, long nowNanos) {
		this.suspicions.add(record, nowNanos + this.settings.suspicionTimeoutNanos(this.members.size()));
	}

	// -- periodic processing

	/**
	 * Processes due probes, time-outs and pushes.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the commands to execute, in order
	 */
	public List<MembershipCommand> tick(long nowNanos) {
		detectPause(nowNanos);
		sendIndirectProbes(nowNanos);
		if (nowNanos >= this.nextPeriodAt) {
			endPeriod(nowNanos);
		}
		declareOverdueDead(nowNanos);
		this.candidates.nextDue(nowNanos, this::isReachableMember)
			.ifPresent((address) -> send(address, Optional.empty(), probe(), nowNanos));
		push(nowNanos);
		List<MembershipCommand> result = List.copyOf(this.commands);
		this.commands.clear();
		return result;
	}

	// Detects a pause of this process. After a pause all acknowledgements seem overdue,
	// and without this check the process would suspect healthy members and declare them
	// dead.
	private void detectPause(long nowNanos) {
		long gap = nowNanos - this.lastTickAt;
		this.lastTickAt = nowNanos;
		if (gap > this.settings.periodNanos()) {
			this.probes.clear();
			this.suspicions.extend(gap);
			this.nextPeriodAt = nowNanos + this.settings.ackTimeoutNanos();
			this.commands.add(new MembershipCommand.PauseDetected(gap));
		}
	}

	private void sendIndirectProbes(long nowNanos) {
		this.probes.takeOverdue(nowNanos - this.settings.ackTimeoutNanos())
			.ifPresent((probe) -> this.members.sample(this.settings.indirectProbes(), probe.target())
				.forEach((helper) -> send(helper.address(), Optional.of(helper.id()),
						new Kind.Probe(probe.number(), probe.address()), nowNanos)));
	}

	private void endPeriod(long nowNanos) {
		this.nextPeriodAt = nowNanos + this.settings.periodNanos();
		this.periods++;
		this.probes.takeUnacknowledged().ifPresent((probe) -> suspectUnacknowledged(probe, nowNanos));
		this.probes.discardRelays(nowNanos - this.settings.periodNanos());
		this.usage.discard(nowNanos);
		this.departures.discardExpired(nowNanos);
		this.members.discardExpired(nowNanos);
		this.members.nextToProbe().ifPresent((target) -> {
			long number = this.probes.start(target, nowNanos);
			send(target.address(), Optional.of(target.id()), new Kind.Probe(number, ""), nowNanos);
		});
		reconnect(nowNanos);
	}

	private void suspectUnacknowledged(ProbeTable.OpenProbe probe, long nowNanos) {
		MemberRecord current = this.members.find(probe.target()).orElseThrow();
		if (current.incarnation() != probe.incarnation() || !current.reachable()) {
			return;
		}
		if (current.state() == MemberState.ALIVE) {
			merge(current.withState(MemberState.SUSPECT), nowNanos);
		}
		suspect(current, nowNanos);
		send(current.address(), Optional.of(current.id()), new Kind.Gossip(), nowNanos);
	}

	private void declareOverdueDead(long nowNanos) {
		for (SuspicionTable.Suspicion suspicion : this.suspicions.takeOverdue(nowNanos)) {
			this.members.find(suspicion.id())
				.filter((current) -> current.incarnation() == suspicion.incarnation())
				.ifPresent((current) -> merge(current.withState(MemberState.DEAD), nowNanos));
		}
	}

	// Probes a dead member to recover from a network partition, in which both sides
	// declare each other dead and would otherwise never probe each other again.
	private void reconnect(long nowNanos) {
		List<MemberId> dead = this.members.dead();
		if (!dead.isEmpty() && this.periods % PERIODS_PER_RECONNECT == 0) {
			this.members.find(dead.get(this.random.nextInt(dead.size())))
				.filter((record) -> !record.address().isEmpty())
				.ifPresent((record) -> send(record.address(), Optional.of(record.id()), probe(), nowNanos));
		}
	}

	private void push(long nowNanos) {
		if (!this.pushBudget.due(nowNanos)) {
			return;
		}
		for (MemberRecord to : this.members.sample(this.settings.fanout(), this.self.id())) {
			MembershipMessage message = this.composer.urgent(this.self, to.id(), nowNanos);
			this.pushBudget.spend(message);
			this.commands.add(new MembershipCommand.Send(to.address(), message));
		}
	}

	private boolean isReachableMember(VmId vm) {
		MemberId entry = new MemberId(vm, MemberId.ENTRY);
		return vm.equals(this.self.id().vm()) && this.self.id().role().equals(MemberId.ENTRY)
				|| this.members.find(entry).filter(MemberRecord::reachable).isPresent();
	}

	private Kind.Probe probe() {
		return new Kind.Probe(this.probes.nextNumber(), "");
	}

	private void send(String address, Optional<MemberId> to, Kind kind, long nowNanos) {
		this.commands.add(new MembershipCommand.Send(address, this.composer.ordinary(this.self, to, kind, nowNanos)));
	}

	// -- queries

	/**
	 * Returns all members, including this one and those declared dead in the last 24
	 * hours.
	 * @return the records, sorted by VM and role
	 */
	public List<MemberRecord> members() {
		List<MemberRecord> all = new ArrayList<>(this.members.all());
		all.add(this.self);
		all.sort((one, other) -> one.id().compareTo(other.id()));
		return all;
	}

	/**
	 * Estimates the tokens in flight at other entry processes from recently received
	 * digests.
	 * @return tokens in flight by organisation
	 */
	public Map<String, Long> peerUsage() {
		int others = (int) this.members.all()
			.stream()
			.filter((record) -> record.reachable() && record.id().role().equals(MemberId.ENTRY))
			.count();
		return this.usage.estimate(others);
	}

	/**
	 * Returns the record of this member.
	 * @return its record
	 */
	public MemberRecord self() {
		return this.self;
	}

	/**
	 * Returns the number of reachable members, including this one.
	 * @return at least 1
	 */
	public int size() {
		return this.members.size();
	}

}
