package org.rosemaryfront.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.rosemaryfront.configuration.ConfigurationEvent;
import org.rosemaryfront.membership.MembershipCommand;
import org.rosemaryfront.membership.MembershipEvent;
import org.rosemaryfront.membership.MembershipMessage;
import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.VmId;

/**
 * Members on virtual time over a network in memory, with faults drawn from a seed. Only
 * the pure decisions run; nothing waits and nothing is sent.
 *
 * <pre>
 * MembershipSimulation simulation = MembershipSimulation.of(9, seed);
 * simulation.network().loss(0.01);
 * simulation.run(60_000);
 * </pre>
 */
public final class MembershipSimulation {

	private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	private static final long VM_LIST_NANOS = TimeUnit.SECONDS.toNanos(5);

	private static final long STORE_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

	private static final long READ_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final PriorityQueue<Scheduled> queue = new PriorityQueue<>();

	private final List<SimulatedMember> members = new ArrayList<>();

	private final SimulatedNetwork network;

	private final SplittableRandom random;

	private final boolean encode;

	private long now;

	private long sequence;

	private long head;

	private boolean storeDown;

	private boolean vmListFrozen;

	private MembershipEvent.CandidatesListed vmList = new MembershipEvent.CandidatesListed(List.of());

	private MembershipSimulation(long seed, boolean encode) {
		this.random = new SplittableRandom(seed);
		this.network = new SimulatedNetwork(this.random.split());
		this.encode = encode;
	}

	// -- factories

	/**
	 * Starts members at random times within a second.
	 * @param count how many
	 * @param seed the seed of all random choices
	 * @return the simulation at time 0
	 */
	public static MembershipSimulation of(int count, long seed) {
		return of(count, seed, false);
	}

	/**
	 * The same, with the datagrams encoded to count their bytes.
	 * @param count how many
	 * @param seed the seed of all random choices
	 * @return the simulation at time 0
	 */
	public static MembershipSimulation ofEncoded(int count, long seed) {
		return of(count, seed, true);
	}

	private static MembershipSimulation of(int count, long seed, boolean encode) {
		MembershipSimulation simulation = new MembershipSimulation(seed, encode);
		for (int i = 0; i < count; i++) {
			simulation.add();
		}
		return simulation;
	}

	// -- faults

	/**
	 * Starts another member.
	 * @return the member
	 */
	public SimulatedMember add() {
		SimulatedMember member = SimulatedMember.start(this.members.size(), this.random.nextLong(), this.now);
		this.members.add(member);
		refreshVmList();
		begin(member);
		return member;
	}

	/**
	 * Ends a member without notice.
	 * @param member the member
	 */
	public void kill(SimulatedMember member) {
		member.kill();
		refreshVmList();
	}

	/**
	 * Starts a member again on its VM, with a higher incarnation and an empty memory.
	 * @param member the member
	 */
	public void restart(SimulatedMember member) {
		member.restart(this.random.nextLong(), this.now);
		refreshVmList();
		begin(member);
	}

	/**
	 * Stops the clock of a member; what is sent to it waits.
	 * @param member the member
	 */
	public void freeze(SimulatedMember member) {
		member.freeze();
	}

	/**
	 * Lets a frozen member go on.
	 * @param member the member
	 */
	public void thaw(SimulatedMember member) {
		member.thaw().forEach((work) -> act(member, work));
	}

	/**
	 * Whether the table service is down.
	 * @param down true for an outage
	 */
	public void storeDown(boolean down) {
		this.storeDown = down;
	}

	/**
	 * Whether the VM list no longer follows what happens.
	 * @param frozen true to freeze it
	 */
	public void vmListFrozen(boolean frozen) {
		this.vmListFrozen = frozen;
		refreshVmList();
	}

	/**
	 * An operator's change is accepted.
	 * @return its revision
	 */
	public long apply() {
		this.head++;
		return this.head;
	}

	/**
	 * A member learns from the platform that a backend server is leaving.
	 * @param member the member
	 * @param vm the backend server
	 */
	public void announceDeparture(SimulatedMember member, VmId vm) {
		act(member, () -> member.departureKnown(vm, this.now));
	}

	/**
	 * A member stops in good order.
	 * @param member the member
	 */
	public void leave(SimulatedMember member) {
		act(member, () -> member.accept(new MembershipEvent.LeaveRequested(), this.now));
	}

	// -- running

	/**
	 * Runs for a time.
	 * @param millis the time in milliseconds
	 */
	public void run(long millis) {
		long end = this.now + TimeUnit.MILLISECONDS.toNanos(millis);
		while (!this.queue.isEmpty() && this.queue.peek().at() <= end) {
			step();
		}
		this.now = end;
	}

	/**
	 * Runs until a condition holds.
	 * @param condition the condition
	 * @param limitMillis the longest time, in milliseconds
	 * @return the time it took, in milliseconds, negative when the limit was reached
	 */
	public double runUntil(java.util.function.BooleanSupplier condition, long limitMillis) {
		long begin = this.now;
		long end = this.now + TimeUnit.MILLISECONDS.toNanos(limitMillis);
		while (!condition.getAsBoolean()) {
			if (this.queue.isEmpty() || this.queue.peek().at() > end) {
				this.now = end;
				return -1;
			}
			step();
		}
		return (this.now - begin) / (double) TimeUnit.MILLISECONDS.toNanos(1);
	}

	/**
	 * Runs until a condition holds for all members. The member for which it failed last
	 * is asked first, so that a step costs one question and not one for each member.
	 * @param condition the condition of one member
	 * @param limitMillis the longest time, in milliseconds
	 * @return the time it took, in milliseconds, negative when the limit was reached
	 */
	public double runUntilAll(Predicate<SimulatedMember> condition, long limitMillis) {
		int[] failed = new int[1];
		return runUntil(() -> {
			if (!condition.test(this.members.get(failed[0]))) {
				return false;
			}
			for (int i = 0; i < this.members.size(); i++) {
				if (!condition.test(this.members.get(i))) {
					failed[0] = i;
					return false;
				}
			}
			return true;
		}, limitMillis);
	}

	private void step() {
		Scheduled next = this.queue.remove();
		this.now = next.at();
		next.work().run();
	}

	private void begin(SimulatedMember member) {
		int run = member.run();
		schedule(this.random.nextLong(TimeUnit.SECONDS.toNanos(1)), () -> tick(member, run));
		schedule(this.random.nextLong(TimeUnit.SECONDS.toNanos(1)), () -> readVmList(member, run));
	}

	private void tick(SimulatedMember member, int run) {
		if (member.run() == run && member.live()) {
			if (!member.frozen()) {
				flush(member);
			}
			schedule(TICK_NANOS, () -> tick(member, run));
		}
	}

	private void readVmList(SimulatedMember member, int run) {
		if (member.run() == run && member.live()) {
			MembershipEvent.CandidatesListed read = this.vmList;
			act(member, () -> member.accept(read, this.now));
			schedule(VM_LIST_NANOS, () -> readVmList(member, run));
		}
	}

	private void act(SimulatedMember member, Runnable work) {
		if (!member.live()) {
			return;
		}
		if (member.frozen()) {
			member.defer(work);
			return;
		}
		work.run();
		flush(member);
	}

	private void flush(SimulatedMember member) {
		member.tick(this.now).forEach((send) -> transmit(member, send));
		int run = member.run();
		for (SimulatedMember.Read read : member.reads()) {
			switch (read) {
				case SimulatedMember.Read.Head _ -> schedule(STORE_NANOS, () -> answerHead(member, run));
				case SimulatedMember.Read.Store _ -> schedule(2 * STORE_NANOS, () -> answerStore(member, run));
				case SimulatedMember.Read.Peer peer -> readFromPeer(member, run, peer.address());
			}
		}
	}

	private void transmit(SimulatedMember from, MembershipCommand.Send send) {
		int bytes = this.encode ? SimulatedNetwork.bytes(send.message()) : 0;
		from.sent(bytes);
		SimulatedMember.index(send.address()).filter((index) -> index < this.members.size()).ifPresent((index) -> {
			SimulatedMember to = this.members.get(index);
			for (long delay : this.network.delays(from.index(), to.index())) {
				schedule(delay, () -> deliver(from, to, send.message(), bytes));
			}
		});
	}

	private void deliver(SimulatedMember from, SimulatedMember to, MembershipMessage message, int bytes) {
		act(to, () -> {
			to.received(bytes);
			to.accept(new MembershipEvent.MessageArrived(from.address(), message), this.now);
		});
	}

	// -- table service and reads between members

	private void answerHead(SimulatedMember member, int run) {
		boolean reached = !this.storeDown && this.network.reachesStore(member.index());
		answer(member, run, reached ? new ConfigurationEvent.HeadRead(this.head) : new ConfigurationEvent.HeadFailed());
	}

	private void answerStore(SimulatedMember member, int run) {
		boolean reached = !this.storeDown && this.network.reachesStore(member.index());
		answer(member, run, reached ? new ConfigurationEvent.ConfigurationRead(Configuration.of(this.head, List.of()))
				: new ConfigurationEvent.ReadFailed());
	}

	private void readFromPeer(SimulatedMember member, int run, String address) {
		SimulatedMember peer = this.members.get(SimulatedMember.index(address).orElseThrow());
		boolean reached = peer.live() && !peer.frozen() && this.network.connected(member.index(), peer.index());
		long trip = this.network.delayNanos();
		if (!reached) {
			schedule(READ_TIMEOUT_NANOS, () -> answer(member, run, new ConfigurationEvent.ReadFailed()));
			return;
		}
		member.countRead();
		schedule(2 * trip, () -> {
			Configuration read = peer.configuration();
			schedule(2 * trip, () -> answer(member, run, new ConfigurationEvent.ConfigurationRead(read)));
		});
	}

	private void answer(SimulatedMember member, int run, ConfigurationEvent event) {
		if (member.run() == run) {
			act(member, () -> member.accept(event, this.now));
		}
	}

	// -- queries

	/**
	 * The members, the dead ones too.
	 * @return by index
	 */
	public List<SimulatedMember> members() {
		return this.members;
	}

	/**
	 * The network, to set its faults.
	 * @return the network
	 */
	public SimulatedNetwork network() {
		return this.network;
	}

	private void refreshVmList() {
		if (!this.vmListFrozen) {
			this.vmList = new MembershipEvent.CandidatesListed(this.members.stream()
				.filter(SimulatedMember::live)
				.map((member) -> new MembershipEvent.Candidate(member.id().vm(), member.address()))
				.toList());
		}
	}

	private void schedule(long delayNanos, Runnable work) {
		this.sequence++;
		this.queue.add(new Scheduled(this.now + delayNanos, this.sequence, work));
	}

	private record Scheduled(long at, long sequence, Runnable work) implements Comparable<Scheduled> {

		@Override
		public int compareTo(Scheduled other) {
			int byTime = Long.compare(this.at, other.at);
			return (byTime != 0) ? byTime : Long.compare(this.sequence, other.sequence);
		}

	}

}
