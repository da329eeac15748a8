package org.rosemaryfront.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import org.rosemaryfront.membership.MembershipMessage.Kind;
import org.rosemaryfront.model.VmId;

import static org.assertj.core.api.Assertions.assertThat;

class MembershipTests {

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	private static final String OTHER_ADDRESS = "10.0.0.2:7400";

	private long now;

	private final Membership membership = Membership.start(record("vm-1", 5, MemberState.ALIVE),
			MembershipSettings.standard(), 7, 0);

	private final List<MembershipCommand> commands = new ArrayList<>();

	// -- records

	@ParameterizedTest
	@CsvSource({ "1,ALIVE,1,SUSPECT,SUSPECT", "1,SUSPECT,1,ALIVE,SUSPECT", "1,SUSPECT,2,ALIVE,ALIVE",
			"1,LEAVING,1,ALIVE,LEAVING", "1,LEAVING,1,SUSPECT,LEAVING", "1,LEAVING,1,DEAD,DEAD", "1,DEAD,1,ALIVE,DEAD",
			"1,DEAD,1,LEAVING,DEAD", "2,LEAVING,1,ALIVE,LEAVING", "2,DEAD,1,ALIVE,DEAD", "1,DEAD,2,ALIVE,ALIVE" })
	void shouldKeepGreaterRecordWhenAnotherArrives(long incarnation, MemberState state, long laterIncarnation,
			MemberState laterState, MemberState expected) {
		// A datagram that reports a member as alive is delayed until after the member
		// announced that it is leaving. If the delayed record won, requests would be
		// handed to a process that is about to exit.
		gossip(record("vm-2", incarnation, state));
		gossip(record("vm-2", laterIncarnation, laterState));
		assertThat(view("vm-2")).map(MemberRecord::state).contains(expected);
	}

	@ParameterizedTest
	@EnumSource(names = { "LEAVING", "DEAD" })
	void shouldNotReviveMemberWhenVmListStillContainsIt(MemberState state) {
		// The VM list lags or is stale and still contains an entry VM that announced that
		// it is leaving. If the list revived the member, it would receive requests again.
		gossip(record("vm-2", 1, state));
		accept(new MembershipEvent.CandidatesListed(
				List.of(new MembershipEvent.Candidate(new VmId("vm-2"), OTHER_ADDRESS))));
		tickUntil(60 * SECOND);
		assertThat(view("vm-2")).map(MemberRecord::state)
			.hasValueSatisfying((found) -> assertThat(found).isGreaterThanOrEqualTo(state));
	}

	@ParameterizedTest
	@EnumSource(names = { "SUSPECT", "LEAVING", "DEAD" })
	void shouldRefuteWithHigherIncarnationWhenReportedNotAlive(MemberState state) {
		gossip(record("vm-1", 8, state));
		assertThat(this.membership.self().incarnation()).isEqualTo(9);
		assertThat(this.membership.self().state()).isEqualTo(MemberState.ALIVE);
	}

	@Test
	void shouldStayLeavingWhenRefuting() {
		accept(new MembershipEvent.LeaveRequested());
		gossip(record("vm-1", 5, MemberState.DEAD));
		assertThat(this.membership.self().state()).isEqualTo(MemberState.LEAVING);
		assertThat(this.membership.self().incarnation()).isEqualTo(6);
	}

	// -- probing

	@Test
	void shouldSuspectMemberThenDeclareItDeadWhenItDoesNotRespond() {
		receive("vm-2", new Kind.Gossip());
		tickUntil(20 * SECOND);
		assertThat(changes("vm-2")).containsExactly(MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD);
	}

	@Test
	void shouldNotSuspectMembersWhenProcessWasPaused() {
		// The VM of an entry process is paused for a minute. When it resumes, all its
		// probes and suspicions are overdue. If it acted on them, it would declare its
		// peers dead, hand nothing over to them and show the operator a false outage.
		receive("vm-2", new Kind.Gossip());
		tickUntil(SECOND);
		this.now += 60 * SECOND;
		tick();
		assertThat(changes("vm-2")).containsExactly(MemberState.ALIVE);
		assertThat(this.commands).hasAtLeastOneElementOfType(MembershipCommand.PauseDetected.class);
	}

	@Test
	void shouldSendSuspectItsRecordWhenItProbes() {
		gossip(record("vm-2", 1, MemberState.SUSPECT));
		receive("vm-2", new Kind.Probe(41, ""));
		assertThat(sends()).anySatisfy((send) -> {
			assertThat(send.message().kind()).isEqualTo(new Kind.Ack(41));
			assertThat(send.message().members()).extracting(MemberRecord::state).contains(MemberState.SUSPECT);
		});
	}

	@Test
	void shouldSendDeadMemberItsRecordWhenProbingItAgain() {
		// A network partition heals long after the DEAD records were last sent. A member
		// can refute only a record that it receives, so each probe of a dead member must
		// contain its record.
		gossip(record("vm-2", 1, MemberState.DEAD));
		tickUntil(60 * SECOND);
		this.commands.clear();
		tickUntil(120 * SECOND);
		assertThat(sends().toList()).isNotEmpty()
			.allSatisfy((send) -> assertThat(send.message().members()).extracting(MemberRecord::state)
				.contains(MemberState.DEAD));
	}

	// -- departures

	@Test
	void shouldReportDepartureOnceAndDecreaseRemainingTimeWhenReceivedTwice() {
		receive("vm-2", new Kind.Gossip());
		DepartureNotice notice = new DepartureNotice(new VmId("runner-1"), 30_000);
		MembershipMessage message = new MembershipMessage(record("vm-2", 1, MemberState.ALIVE), new Kind.Gossip(),
				List.of(), List.of(notice), Map.of());
		accept(new MembershipEvent.MessageArrived(OTHER_ADDRESS, message));
		accept(new MembershipEvent.MessageArrived(OTHER_ADDRESS, message));
		assertThat(this.commands).filteredOn(MembershipCommand.DepartureReceived.class::isInstance).hasSize(1);
		this.commands.clear();
		tickUntil(3 * SECOND);
		assertThat(sends().flatMap((send) -> send.message().departures().stream()).toList()).isNotEmpty()
			.allSatisfy((sent) -> assertThat(sent.remainingMillis()).isBetween(27_000L, 30_000L));
	}

	@Test
	void shouldLimitDatagramSizeWhenManyServersLeave() {
		for (int i = 0; i < 600; i++) {
			accept(new MembershipEvent.DepartureDetected(new DepartureNotice(new VmId("runner-" + i), 30_000)));
		}
		receive("vm-2", new Kind.Gossip());
		tickUntil(10 * SECOND);
		assertThat(sends().toList()).isNotEmpty()
			.allSatisfy((send) -> assertThat(
					send.message().departures().stream().mapToInt(DepartureNotice::estimatedBytes).sum())
				.isLessThan(MembershipSettings.standard().datagramBytes()));
	}

	// -- helpers

	private static MemberRecord record(String vm, long incarnation, MemberState state) {
		return new MemberRecord(new MemberId(new VmId(vm), MemberId.ENTRY), OTHER_ADDRESS, "tunis-a", incarnation,
				state, 0);
	}

	private void gossip(MemberRecord record) {
		accept(new MembershipEvent.MessageArrived("10.0.0.3:7400", new MembershipMessage(
				record("vm-3", 1, MemberState.ALIVE), new Kind.Gossip(), List.of(record), List.of(), Map.of())));
	}

	private void receive(String vm, Kind kind) {
		accept(new MembershipEvent.MessageArrived(OTHER_ADDRESS,
				new MembershipMessage(record(vm, 1, MemberState.ALIVE), kind, List.of(), List.of(), Map.of())));
	}

	private void accept(MembershipEvent event) {
		this.membership.accept(event, this.now);
		tick();
	}

	private void tick() {
		this.commands.addAll(this.membership.tick(this.now));
	}

	private void tickUntil(long end) {
		while (this.now < end) {
			this.now += TimeUnit.MILLISECONDS.toNanos(50);
			tick();
		}
	}

	private Optional<MemberRecord> view(String vm) {
		return this.membership.members().stream().filter((found) -> found.id().vm().value().equals(vm)).findFirst();
	}

	private List<MemberState> changes(String vm) {
		return this.commands.stream()
			.filter(MembershipCommand.MemberChanged.class::isInstance)
			.map((command) -> ((MembershipCommand.MemberChanged) command).record())
			.filter((changed) -> changed.id().vm().value().equals(vm))
			.map(MemberRecord::state)
			.toList();
	}

	private Stream<MembershipCommand.Send> sends() {
		return this.commands.stream()
			.filter(MembershipCommand.Send.class::isInstance)
			.map(MembershipCommand.Send.class::cast);
	}

}
