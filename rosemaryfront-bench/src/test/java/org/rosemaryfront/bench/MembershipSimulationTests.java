package org.rosemaryfront.bench;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rosemaryfront.membership.MemberId;
import org.rosemaryfront.membership.MemberRecord;
import org.rosemaryfront.membership.MemberState;
import org.rosemaryfront.model.VmId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Whole groups of members on virtual time with seeded faults.
 */
class MembershipSimulationTests {

	private static final long LIMIT_MILLIS = 180_000;

	// -- random faults

	@Property(tries = 20, seed = "20261202", shrinking = ShrinkingMode.OFF)
	void shouldConvergeAfterAnyFaults(@ForAll @LongRange(min = 0, max = 1_000_000_000) long seed) {
		// Processes die, restart, freeze and are cut off while changes are applied and
		// backend servers leave; datagrams are lost, late and repeated. Whatever came,
		// once it is over all must agree, and nobody may have gone back meanwhile.
		SplittableRandom random = new SplittableRandom(seed);
		MembershipSimulation simulation = MembershipSimulation.of(3 + random.nextInt(10), seed);
		simulation.network().late(0.05, 20_000);
		simulation.network().repeats(0.05);
		Set<SimulatedMember> left = new HashSet<>();
		Set<VmId> departures = new HashSet<>();
		long revision = 0;
		for (int step = 0; step < 40; step++) {
			revision = fault(simulation, random, left, departures, revision);
			simulation.run(random.nextLong(4_000));
			simulation.members().forEach((member) -> assertThat(member.broken()).isEmpty());
		}
		heal(simulation);
		assertThat(simulation.runUntil(() -> agreed(simulation, left), LIMIT_MILLIS)).as("time to agree")
			.isNotNegative();
		simulation.run(30_000);
		assertThat(agreed(simulation, left)).isTrue();
		long expected = revision;
		assertThat(living(simulation)).allSatisfy((member) -> {
			assertThat(member.broken()).isEmpty();
			assertThat(member.configuration().revision()).isEqualTo(expected);
			assertThat(member.fresh()).isTrue();
			assertOnlyForward(member.changes());
		});
	}

	private static long fault(MembershipSimulation simulation, SplittableRandom random, Set<SimulatedMember> left,
			Set<VmId> departures, long revision) {
		List<SimulatedMember> members = simulation.members();
		SimulatedMember one = members.get(random.nextInt(members.size()));
		switch (random.nextInt(12)) {
			case 0 -> simulation.kill(one);
			case 1 -> {
				if (!one.live()) {
					left.remove(one);
					simulation.restart(one);
				}
			}
			case 2 -> simulation.freeze(one);
			case 3 -> simulation.thaw(one);
			case 4 -> simulation.network().island(Set.of(one.index()));
			case 5 -> simulation.network().island(Set.of());
			case 6 -> simulation.network().loss(random.nextDouble() * 0.3);
			case 7 -> simulation.storeDown(random.nextBoolean());
			case 8 -> simulation.vmListFrozen(random.nextBoolean());
			case 9 -> {
				if (one.live() && !one.frozen() && left.size() < members.size() - 2) {
					left.add(one);
					simulation.leave(one);
				}
			}
			case 10 -> {
				VmId vm = new VmId("runner-" + departures.size());
				departures.add(vm);
				simulation.announceDeparture(one, vm);
			}
			default -> {
				return simulation.apply();
			}
		}
		return revision;
	}

	private static void heal(MembershipSimulation simulation) {
		simulation.network().loss(0);
		simulation.network().island(Set.of());
		simulation.storeDown(false);
		simulation.vmListFrozen(false);
		simulation.members().forEach(simulation::thaw);
	}

	private static boolean agreed(MembershipSimulation simulation, Set<SimulatedMember> left) {
		List<SimulatedMember> living = living(simulation);
		return living.stream()
			.allMatch((member) -> simulation.members()
				.stream()
				.allMatch((other) -> member == other || right(member, other, left)));
	}

	private static boolean right(SimulatedMember member, SimulatedMember other, Set<SimulatedMember> left) {
		MemberState expected = (!other.live()) ? MemberState.DEAD
				: left.contains(other) ? MemberState.LEAVING : MemberState.ALIVE;
		MemberState seen = member.view(other).map(MemberRecord::state).orElse(MemberState.DEAD);
		return seen == expected;
	}

	private static List<SimulatedMember> living(MembershipSimulation simulation) {
		return simulation.members().stream().filter(SimulatedMember::live).toList();
	}

	private static void assertOnlyForward(List<MemberRecord> changes) {
		Map<MemberId, MemberRecord> last = new HashMap<>();
		for (MemberRecord change : changes) {
			MemberRecord before = last.put(change.id(), change);
			assertThat(before == null || change.supersedes(before)).as("%s after %s", change, before).isTrue();
		}
	}

	// -- single faults

	@ParameterizedTest
	@CsvSource({ "3,20", "9,20", "9,120", "27,60" })
	void shouldTakeBackMemberThatWasPaused(int count, int seconds) {
		// The VM of an entry is paused for some time and goes on where it was. Its
		// peers hold it for dead; unless it hears so and refutes, it would never again
		// be handed a request nor told a departure.
		MembershipSimulation simulation = settled(count);
		SimulatedMember paused = simulation.members().getFirst();
		simulation.freeze(paused);
		simulation.run(seconds * 1_000L);
		assertThat(states(simulation, paused)).containsOnly(MemberState.DEAD);
		simulation.thaw(paused);
		assertThat(simulation.runUntil(() -> states(simulation, paused).equals(Set.of(MemberState.ALIVE)), 60_000))
			.isNotNegative();
		assertThat(paused.changes()).extracting(MemberRecord::state).doesNotContain(MemberState.DEAD);
	}

	@ParameterizedTest
	@CsvSource({ "4,2,false", "9,3,false", "9,3,true", "9,1,true" })
	void shouldHealAPartition(int count, int cutOff, boolean vmListFrozen) {
		// An availability zone is cut off for minutes; both sides hold each other for
		// dead and probe each other no more. Unless someone asks the dead again, the
		// region stays split after the network is well.
		MembershipSimulation simulation = settled(count);
		simulation.vmListFrozen(vmListFrozen);
		Set<Integer> island = new HashSet<>();
		simulation.members().subList(0, cutOff).forEach((member) -> island.add(member.index()));
		simulation.network().island(island);
		simulation.run(120_000);
		SimulatedMember cut = simulation.members().getFirst();
		assertThat(simulation.members().getLast().view(cut)).map(MemberRecord::state).contains(MemberState.DEAD);
		simulation.network().island(Set.of());
		assertThat(simulation.runUntil(() -> agreed(simulation, Set.of()), LIMIT_MILLIS)).isNotNegative();
	}

	@ParameterizedTest
	@ValueSource(ints = { 2, 9, 27 })
	void shouldTellAllOfADepartureWhenDatagramsAreLost(int count) {
		MembershipSimulation simulation = settled(count);
		simulation.network().loss(0.2);
		VmId vm = new VmId("runner-1");
		simulation.announceDeparture(simulation.members().getLast(), vm);
		assertThat(simulation.runUntil(
				() -> simulation.members().stream().allMatch((member) -> member.departures().contains(vm)), 10_000))
			.isNotNegative();
	}

	@ParameterizedTest
	@ValueSource(ints = { 3, 9 })
	void shouldBringRevisionToMemberThatIsCutOffFromTheStore(int count) {
		// An operator changes a pool. One entry cannot reach the table service, though
		// its peers can; without reading from them it would route by the old declaration
		// until the path is mended.
		MembershipSimulation simulation = settled(count);
		SimulatedMember cut = simulation.members().getFirst();
		simulation.network().cutFromStore(Set.of(cut.index()));
		long revision = simulation.apply();
		assertThat(simulation.runUntil(() -> cut.configuration().revision() == revision, 5_000)).isNotNegative();
	}

	@ParameterizedTest
	@ValueSource(ints = { 2, 4, 9 })
	void shouldStartFromPeersWhenTheStoreIsDown(int count) {
		MembershipSimulation simulation = settled(count);
		long revision = simulation.apply();
		simulation.run(5_000);
		simulation.storeDown(true);
		SimulatedMember started = simulation.add();
		assertThat(simulation.runUntil(() -> started.fresh() && started.configuration().revision() == revision, 10_000))
			.isNotNegative();
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3 })
	void shouldDecideTheSameWithTheSameSeed(long seed) {
		assertThat(trace(seed)).isEqualTo(trace(seed));
	}

	private static List<MemberRecord> trace(long seed) {
		MembershipSimulation simulation = MembershipSimulation.of(9, seed);
		simulation.network().loss(0.1);
		simulation.run(10_000);
		simulation.kill(simulation.members().get(4));
		simulation.run(20_000);
		return simulation.members().stream().flatMap((member) -> member.changes().stream()).toList();
	}

	private static MembershipSimulation settled(int count) {
		MembershipSimulation simulation = MembershipSimulation.of(count, 11 * count);
		assertThat(simulation.runUntil(() -> agreed(simulation, Set.of()), 30_000)).isNotNegative();
		simulation.run(5_000);
		return simulation;
	}

	private static Set<MemberState> states(MembershipSimulation simulation, SimulatedMember of) {
		Set<MemberState> states = new HashSet<>();
		simulation.members()
			.stream()
			.filter((member) -> member != of)
			.forEach((member) -> states.add(member.view(of).map(MemberRecord::state).orElseThrow()));
		return states;
	}

}
