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
 * Knows the members of a region by probing, in the manner of SWIM, and spreads among them
 * what all must know soon. Deterministic: no input or output, the time and the seed are
 * passed in. Used by one thread only.
 *
 * <p>
 * Every period a member probes one other member, each once in a round; without an answer
 * it asks some others to probe for it; without an answer to them either the member is
 * suspect, and dead when it does not refute in time. Changes travel in the datagrams of
 * probes and answers, each a bounded number of times; departures of backend servers,
 * members that leave and new configuration revisions are also pushed at once to a few
 * members. Bytes are bounded by the period, the size of a datagram and a budget for
 * pushes.
 *
 * <pre>
 * Membership membership = Membership.start(self, MembershipSettings.standard(), seed, now);
 * membership.accept(new MembershipEvent.MessageArrived(from, message), now);
 * membership.tick(now).forEach(this::execute);
 * </pre>
 */
public final class Membership {

	/** Every how many periods a dead member is asked whether it is back. */
	private static final int PERIODS_PER_RECONNECT = 5;

	/** The time between two asks of all members that are behind. */
	private static final long SURVEY_SPACING_NANOS = Duration.ofMillis(500).toNanos();

	private final MembershipSettings settings;

	private final SplittableRandom random;

	private final MemberTable members;

	private final DepartureTable departures = new DepartureTable();

	private final UsageTable usage = new UsageTable();

	private final CandidateTable candidates = new CandidateTable();

	private final ProbeTable probes;

	private final SuspicionTable suspicions = new SuspicionTable();

	private final MessageComposer composer;

	private final PushBudget pushes;

	private final List<MembershipCommand> commands = new ArrayList<>();

	private MemberRecord self;

	private long nextPeriodAt;

	private long lastTickAt;

	private long lastSurveyAt;

	private long periods;

	private Membership(MemberRecord self, MembershipSettings settings, long seed, long now) {
		this.self = self;
		this.settings = settings;
		this.random = new SplittableRandom(seed);
		this.members = new MemberTable(this.random.split());
		this.probes = new ProbeTable(this.random.nextLong(1L << 24));
		this.composer = new MessageComposer(settings, this.members, this.departures, this.usage, this.random.split());
		this.pushes = PushBudget.full(settings, now);
		this.nextPeriodAt = now + this.random.nextLong(settings.periodNanos());
		this.lastTickAt = now;
		this.lastSurveyAt = now - SURVEY_SPACING_NANOS;
	}

	// -- factories

	/**
	 * Starts a member that knows no other.
	 * @param self its record; the incarnation is higher than that of any earlier run of
	 * its VM and role
	 * @param settings the limits and intervals
	 * @param seed the seed of its random choices
	 * @param nowNanos the time on the monotonic clock, in nanoseconds
	 * @return the member
	 */
	public static Membership start(MemberRecord self, MembershipSettings settings, long seed, long nowNanos) {
		Objects.requireNonNull(self, "self is null");
		Objects.requireNonNull(settings, "settings is null");
		return new Membership(self, settings, seed, nowNanos);
	}

	// -- events

	/**
	 * Takes an event into the tables.
	 * @param event what happened
	 * @param nowNanos the time on the monotonic clock, in nanoseconds
	 */
	public void accept(MembershipEvent event, long nowNanos) {
		noticePause(nowNanos);
		switch (event) {
			case MembershipEvent.MessageArrived arrived -> arrived(arrived.from(), arrived.message(), nowNanos);
			case MembershipEvent.CandidatesListed listed -> this.candidates.listed(listed.candidates(), nowNanos);
			case MembershipEvent.DepartureKnown known -> addDeparture(known.notice(), nowNanos);
			case MembershipEvent.LeaveRequested _ -> leave();
			case MembershipEvent.RevisionInForce inForce -> revisionInForce(inForce.revision());
			case MembershipEvent.RevisionsAsked _ -> survey(nowNanos);
			case MembershipEvent.UsageMeasured measured -> this.usage.own(measured.tokensInFlight());
		}
	}

	private void arrived(String from, MembershipMessage message, long now) {
		MemberRecord sender = message.sender();
		if (sender.id().equals(this.self.id())) {
			return;
		}
		boolean joined = this.members.find(sender.id()).isEmpty();
		heard(message, now);
		message.members().forEach((record) -> merge(record, now));
		message.departures().forEach((notice) -> {
			if (addDeparture(notice, now)) {
				this.commands.add(new MembershipCommand.DepartureLearned(notice));
			}
		});
		switch (message.kind()) {
			case Kind.Probe probe -> probed(from, sender.id(), probe, joined, now);
			case Kind.Ack ack -> answered(ack.number(), now);
			case Kind.Gossip _ -> {
			}
		}
	}

	private void heard(MembershipMessage message, long now) {
		MemberRecord sender = message.sender();
		merge(sender, now);
		MemberRecord known = this.members.find(sender.id()).orElseThrow();
		if (known.supersedes(sender)) {
			this.composer.passOn(known.id());
		}
		else if (known.state() == MemberState.LEAVING) {
			this.suspicions.remove(known.id());
		}
		this.members.heard(sender.id(), sender.revision());
		if (!(message.kind() instanceof Kind.Gossip)) {
			this.usage.heard(sender.id(), message.usage(), now);
		}
		this.commands.add(new MembershipCommand.PeerHeard(sender.address(), sender.revision()));
	}

	private void probed(String from, MemberId sender, Kind.Probe probe, boolean joined, long now) {
		Kind.Ack ack = new Kind.Ack(probe.number());
		if (!probe.target().isEmpty()) {
			long number = this.probes.relay(from, probe.number(), now);
			send(probe.target(), Optional.empty(), new Kind.Probe(number, ""), now);
		}
		else if (joined) {
			this.commands.add(new MembershipCommand.Send(from, this.composer.introduction(this.self, ack, now)));
		}
		else {
			send(from, Optional.of(sender), ack, now);
		}
	}

	private void answered(long number, long now) {
		this.probes.answered(number);
		this.probes.relayed(number)
			.ifPresent((relay) -> send(relay.origin(), Optional.empty(), new Kind.Ack(relay.number()), now));
	}

	private boolean addDeparture(DepartureNotice notice, long now) {
		boolean added = this.departures.add(notice, now);
		if (added) {
			this.composer.passOn(notice.vm());
			this.pushes.request();
		}
		return added;
	}

	private void leave() {
		if (this.self.state() != MemberState.LEAVING) {
			this.self = this.self.withState(MemberState.LEAVING);
			this.commands.add(new MembershipCommand.MemberChanged(this.self));
			this.pushes.requestLast();
		}
	}

	private void revisionInForce(long revision) {
		if (revision > this.self.revision()) {
			this.self = this.self.withRevision(revision);
			this.pushes.request();
		}
	}

	private void survey(long now) {
		if (now - this.lastSurveyAt < SURVEY_SPACING_NANOS) {
			return;
		}
		this.lastSurveyAt = now;
		this.members.all()
			.stream()
			.filter((record) -> record.reachable() && record.revision() < this.self.revision())
			.toList()
			.forEach((record) -> send(record.address(), Optional.of(record.id()), probe(), now));
	}

	// -- records

	private void merge(MemberRecord record, long now) {
		if (record.id().equals(this.self.id())) {
			refute(record);
			return;
		}
		boolean joined = this.members.find(record.id()).isEmpty() && record.state() == MemberState.ALIVE;
		if (!this.members.merge(record, now)) {
			return;
		}
		MemberRecord merged = this.members.find(record.id()).orElseThrow();
		this.commands.add(new MembershipCommand.MemberChanged(merged));
		if (joined) {
			this.composer.passOnBriefly(merged.id());
		}
		else {
			this.composer.passOn(merged.id());
		}
		switch (merged.state()) {
			case ALIVE -> this.suspicions.remove(merged.id());
			case SUSPECT -> suspect(merged, now);
			case LEAVING -> {
				this.suspicions.remove(merged.id());
				this.pushes.request();
			}
			case DEAD -> {
				this.suspicions.remove(merged.id());
				this.usage.forget(merged.id());
				this.pushes.request();
			}
		}
	}

	// A member that was paused, cut off or restarted hears what others think of it. It
	// goes on under a higher incarnation, since nothing can replace a record of the same
	// incarnation by an earlier state; a member that is leaving stays leaving.
	private void refute(MemberRecord said) {
		if (said.supersedes(this.self)) {
			this.self = this.self.withIncarnation(said.incarnation() + 1);
			this.commands.add(new MembershipCommand.Refuted(this.self.incarnation()));
			this.pushes.request();
		}
	}

	private void suspect(MemberRecord record, long now) {
		this.suspicions.add(record, now + this.settings.suspicionNanos(this.members.size()));
	}

	// -- systems

	/**
	 * Runs all systems over the tables.
	 * @param nowNanos the time on the monotonic clock, in nanoseconds
	 * @return what the caller must do, in order
	 */
	public List<MembershipCommand> tick(long nowNanos) {
		noticePause(nowNanos);
		askForHelp(nowNanos);
		if (nowNanos >= this.nextPeriodAt) {
			endPeriod(nowNanos);
		}
		buryOverdue(nowNanos);
		this.candidates.due(nowNanos, this::answersAt)
			.ifPresent((address) -> send(address, Optional.empty(), probe(), nowNanos));
		push(nowNanos);
		List<MembershipCommand> result = List.copyOf(this.commands);
		this.commands.clear();
		return result;
	}

	// Guards against a pause of this process: after it all answers seem overdue at once,
	// and without this the process would suspect and bury members that are well.
	private void noticePause(long now) {
		long gap = now - this.lastTickAt;
		this.lastTickAt = now;
		if (gap > this.settings.periodNanos()) {
			this.probes.drop();
			this.suspicions.extend(gap);
			this.nextPeriodAt = now + this.settings.ackNanos();
			this.commands.add(new MembershipCommand.PauseSeen(gap));
		}
	}

	private void askForHelp(long now) {
		this.probes.unanswered(now - this.settings.ackNanos())
			.ifPresent((probe) -> this.members.sample(this.settings.indirectProbes(), probe.target())
				.forEach((helper) -> send(helper.address(), Optional.of(helper.id()),
						new Kind.Probe(probe.number(), probe.address()), now)));
	}

	private void endPeriod(long now) {
		this.nextPeriodAt = now + this.settings.periodNanos();
		this.periods++;
		this.probes.failed().ifPresent((probe) -> suspectUnanswered(probe, now));
		this.probes.forgetRelays(now - this.settings.periodNanos());
		this.usage.forget(now);
		this.departures.forget(now);
		this.members.forget(now);
		this.members.nextToProbe().ifPresent((target) -> {
			long number = this.probes.open(target, now);
			send(target.address(), Optional.of(target.id()), new Kind.Probe(number, ""), now);
		});
		reconnect(now);
	}

	private void suspectUnanswered(ProbeTable.Open probe, long now) {
		MemberRecord known = this.members.find(probe.target()).orElseThrow();
		if (known.incarnation() != probe.incarnation() || !known.reachable()) {
			return;
		}
		if (known.state() == MemberState.ALIVE) {
			merge(known.withState(MemberState.SUSPECT), now);
		}
		suspect(known, now);
		send(known.address(), Optional.of(known.id()), new Kind.Gossip(), now);
	}

	private void buryOverdue(long now) {
		for (SuspicionTable.Suspicion suspicion : this.suspicions.overdue(now)) {
			this.members.find(suspicion.id())
				.filter((known) -> known.incarnation() == suspicion.incarnation())
				.ifPresent((known) -> merge(known.withState(MemberState.DEAD), now));
		}
	}

	// Heals a partition: both sides hold each other for dead and would never probe each
	// other again.
	private void reconnect(long now) {
		List<MemberId> dead = this.members.dead();
		if (!dead.isEmpty() && this.periods % PERIODS_PER_RECONNECT == 0) {
			this.members.find(dead.get(this.random.nextInt(dead.size())))
				.filter((record) -> !record.address().isEmpty())
				.ifPresent((record) -> send(record.address(), Optional.of(record.id()), probe(), now));
		}
	}

	private void push(long now) {
		if (!this.pushes.due(now)) {
			return;
		}
		for (MemberRecord to : this.members.sample(this.settings.fanout(), this.self.id())) {
			MembershipMessage message = this.composer.urgent(this.self, to.id(), now);
			this.pushes.spend(message);
			this.commands.add(new MembershipCommand.Send(to.address(), message));
		}
	}

	private boolean answersAt(VmId vm) {
		MemberId entry = new MemberId(vm, MemberId.ENTRY);
		return vm.equals(this.self.id().vm()) && this.self.id().role().equals(MemberId.ENTRY)
				|| this.members.find(entry).filter(MemberRecord::reachable).isPresent();
	}

	private Kind.Probe probe() {
		return new Kind.Probe(this.probes.nextNumber(), "");
	}

	private void send(String address, Optional<MemberId> to, Kind kind, long now) {
		this.commands.add(new MembershipCommand.Send(address, this.composer.ordinary(this.self, to, kind, now)));
	}

	// -- queries

	/**
	 * All members that are known, this one included, the dead of the last day too.
	 * @return the records by VM and role
	 */
	public List<MemberRecord> members() {
		List<MemberRecord> all = new ArrayList<>(this.members.all());
		all.add(this.self);
		all.sort((one, other) -> one.id().compareTo(other.id()));
		return all;
	}

	/**
	 * What other entry processes have in flight, estimated from those heard lately.
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
	 * The record of this member.
	 * @return its record
	 */
	public MemberRecord self() {
		return this.self;
	}

	/**
	 * The number of members that may answer, this one included.
	 * @return at least 1
	 */
	public int size() {
		return this.members.size();
	}

}
