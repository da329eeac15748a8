package org.rosemaryfront.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.rosemaryfront.fleet.Fleet.Report;
import org.rosemaryfront.fleet.Fleet.ReportStatus;

/**
 * Gateways that report to one another in virtual time. Reports may be late, lost or cut
 * in one direction, and processes may be paused, killed and started.
 *
 * @param <R> the content of a report
 */
public final class VirtualFleet<R> {

	private static final int TICK_MILLIS = 50;

	/**
	 * The network delay between gateways. The rest of the transit time is the wait for
	 * the next tick of a thread.
	 */
	private static final int DELAY_MILLIS = 15;

	private final Random random;

	private final Factory<R> factory;

	private final int count;

	private final List<Node> nodes = new ArrayList<>();

	/** The reports in transit, in the order of their arrival. */
	private final Deque<ReportInTransit<R>> inTransit = new ArrayDeque<>();

	/** Messages in transit between two gateways, by arrival. */
	private final PriorityQueue<MessageInTransit<R>> messages = new PriorityQueue<>();

	private double lossFraction;

	private long nowMillis;

	/**
	 * Starts gateways.
	 * @param count the number of gateways
	 * @param startedMillis when they start
	 * @param random the source of all random numbers
	 * @param factory creates the processes
	 */
	public VirtualFleet(int count, long startedMillis, Random random, Factory<R> factory) {
		this.count = count;
		this.random = random;
		this.factory = factory;
		for (int i = 0; i < count; i++) {
			this.nodes.add(new Node(i, startedMillis));
		}
	}

	/**
	 * Advances the time.
	 * @param millis the time in milliseconds
	 * @param load runs in each millisecond, after the reports that arrive in it
	 */
	public void run(long millis, Runnable load) {
		for (long until = this.nowMillis + millis; this.nowMillis < until; this.nowMillis++) {
			deliver();
			load.run();
			this.nodes.forEach(Node::tick);
		}
	}

	private void deliver() {
		while (!this.inTransit.isEmpty() && this.inTransit.getFirst().arrivalMillis <= this.nowMillis) {
			ReportInTransit<R> delivery = this.inTransit.removeFirst();
			this.nodes.get(delivery.to).receive(delivery);
		}
		while (!this.messages.isEmpty() && this.messages.peek().arrivalMillis <= this.nowMillis) {
			MessageInTransit<R> next = this.messages.remove();
			this.nodes.get(next.to).receive(next);
		}
	}

	/**
	 * Sends a message beside the reports. It is lost where a report would be, and waits
	 * for the next read of the receiver.
	 * @param from the sender
	 * @param to the receiver
	 * @param delivery processes the message at the receiver
	 */
	public void send(int from, int to, Consumer<Process<R>> delivery) {
		if (!isLost()) {
			long arrival = this.nowMillis + DELAY_MILLIS + this.random.nextInt(TICK_MILLIS);
			this.messages.add(new MessageInTransit<>(from, to, delivery, arrival));
		}
	}

	private boolean isLost() {
		return this.lossFraction > 0 && this.random.nextDouble() < this.lossFraction;
	}

	// -- faults

	/**
	 * Cuts or restores the link from one gateway to another.
	 * @param from the gateway whose reports are lost
	 * @param to the gateway that does not receive them
	 * @param cut whether the link is cut
	 */
	public void cut(int from, int to, boolean cut) {
		if (cut) {
			this.nodes.get(to).cutLinks.add(from);
		}
		else {
			this.nodes.get(to).cutLinks.remove(from);
		}
	}

	/**
	 * Cuts a group off from all others in both directions, or reconnects it.
	 * @param group the gateways
	 * @param cut whether they are cut off
	 */
	public void cutOff(List<Integer> group, boolean cut) {
		for (int i = 0; i < this.nodes.size(); i++) {
			for (int inside : group) {
				if (!group.contains(i)) {
					cut(i, inside, cut);
					cut(inside, i, cut);
				}
			}
		}
	}

	/**
	 * Cuts or restores all links to a gateway, which still reaches the others.
	 * @param receiver the gateway
	 * @param cut whether the links are cut
	 */
	public void cutIncoming(int receiver, boolean cut) {
		for (int other = 0; other < this.count; other++) {
			if (other != receiver) {
				cut(other, receiver, cut);
			}
		}
	}

	/**
	 * Cuts links drawn at random, each in one direction.
	 * @param random draws the links
	 * @param fraction the fraction of the links that are cut, from 0 to 1
	 */
	public void cutLinks(Random random, double fraction) {
		for (int from = 0; from < this.count; from++) {
			for (int to = 0; to < this.count; to++) {
				if (random.nextDouble() < fraction) {
					cut(from, to, true);
				}
			}
		}
	}

	/**
	 * Injects a fault, and ends it if it does not end by itself.
	 * @param fault the fault
	 * @param group the gateways that a fault of several gateways affects
	 * @param one the gateway that a fault of a single gateway affects
	 * @param meanwhile advances the time while the fault lasts
	 */
	public void inject(Fault fault, List<Integer> group, int one, Runnable meanwhile) {
		switch (fault) {
			case PARTITION -> cutOff(group, true);
			case NOTHING_RECEIVED -> group.forEach((receiver) -> cutIncoming(receiver, true));
			case PAUSE -> pause(one, true);
			case RESTART_OF_GROUP -> group.forEach(this::restart);
			case RESTART -> restart(one);
		}
		meanwhile.run();
		switch (fault) {
			case PARTITION -> cutOff(group, false);
			case NOTHING_RECEIVED -> group.forEach((receiver) -> cutIncoming(receiver, false));
			case PAUSE -> pause(one, false);
			case RESTART_OF_GROUP, RESTART -> {
			}
		}
	}

	/**
	 * Sets the fraction of all reports that are lost.
	 * @param fraction the fraction, from 0 to 1
	 */
	public void lose(double fraction) {
		this.lossFraction = fraction;
	}

	/**
	 * Pauses or resumes a gateway. What arrives meanwhile is processed when it resumes.
	 * @param gateway the gateway
	 * @param paused whether it is paused
	 */
	public void pause(int gateway, boolean paused) {
		this.nodes.get(gateway).pause(paused);
	}

	/**
	 * Kills a gateway and starts another process in its place.
	 * @param gateway the gateway
	 */
	public void restart(int gateway) {
		this.nodes.set(gateway, new Node(gateway, this.nowMillis));
	}

	/**
	 * Kills all gateways and starts other processes in their places.
	 * @param downMillis the time without any process, in milliseconds
	 */
	public void killAll(long downMillis) {
		this.nodes.forEach((node) -> node.pause(true));
		run(downMillis, () -> {
		});
		for (int i = 0; i < this.count; i++) {
			restart(i);
		}
	}

	// -- queries

	public int count() {
		return this.count;
	}

	public long nowMillis() {
		return this.nowMillis;
	}

	/**
	 * Runs a task at a gateway, once it is not paused.
	 * @param gateway the gateway
	 * @param task the task
	 */
	public void at(int gateway, Runnable task) {
		this.nodes.get(gateway).whenRunning(task);
	}

	/**
	 * Returns the process of a gateway.
	 * @param gateway the gateway
	 * @return the current process
	 */
	public Process<R> process(int gateway) {
		return this.nodes.get(gateway).process;
	}

	private long nowNanos() {
		return TimeUnit.MILLISECONDS.toNanos(this.nowMillis);
	}

	/** A fault of gateways or of the links between them. */
	public enum Fault {

		/** A group is cut off from the others in both directions. */
		PARTITION,

		/** Each gateway of a group receives no reports; its own still arrive. */
		NOTHING_RECEIVED,

		/** A gateway is paused. */
		PAUSE,

		/** All gateways of a group are killed and started again. */
		RESTART_OF_GROUP,

		/** A gateway is killed and started again. */
		RESTART

	}

	/** Creates the process of a gateway. */
	public interface Factory<R> {

		/**
		 * Creates a process.
		 * @param identity the gateway
		 * @param fleet the gateways as this one sees them
		 * @return the process
		 */
		Process<R> create(Identity identity, Fleet fleet);

	}

	/** What a gateway reports and does with the reports of others. */
	public interface Process<R> {

		/**
		 * Returns the content of the next report.
		 * @param number the number of the report
		 * @param nowNanos the current time
		 * @return the content
		 */
		R report(int number, long nowNanos);

		/**
		 * Returns whether the next report is sent without delay.
		 * @return false if it is sent after the usual interval
		 */
		default boolean isUrgent() {
			return false;
		}

		/**
		 * Called at each tick of the control thread.
		 * @param nowNanos the current time
		 */
		default void tick(long nowNanos) {
		}

		/**
		 * Called with the first report of another gateway.
		 * @param nowNanos the current time
		 */
		default void gatewayStarted(long nowNanos) {
		}

		/**
		 * Called with the first report of another gateway.
		 * @param gateway the other gateway
		 * @param nowNanos the current time
		 */
		default void gatewayStarted(Identity gateway, long nowNanos) {
		}

		/**
		 * Processes a report of another gateway.
		 * @param sender the other gateway
		 * @param report the content
		 * @param nowNanos the current time
		 */
		void reportReceived(Identity sender, R report, long nowNanos);

	}

	/**
	 * One start of a gateway.
	 *
	 * @param index the gateway
	 * @param startedMillis when it started
	 */
	public record Identity(int index, long startedMillis) {

		public String name() {
			return "gateway-" + this.index;
		}

		public String process() {
			return this.index + "/" + this.startedMillis;
		}

		public int start() {
			return process().hashCode();
		}

	}

	/** A process with its links. */
	private final class Node {

		private final Identity identity;

		private final Fleet fleet;

		private final Process<R> process;

		private final Set<Integer> cutLinks = new HashSet<>();

		/** The tasks that wait until this process resumes. */
		private final Deque<Runnable> waiting = new ArrayDeque<>();

		private boolean paused;

		private long nextReportMillis;

		private long nextTickMillis;

		private int number;

		/** The group in the last report. */
		private int group;

		/** The content of the last report; empty before the first one. */
		private final Deque<R> lastReport = new ArrayDeque<>();

		private Node(int index, long startedMillis) {
			this.identity = new Identity(index, startedMillis);
			this.fleet = new Fleet(this.identity.start());
			for (int other = 0; other < VirtualFleet.this.count; other++) {
				if (other != index) {
					this.fleet.addGateway("gateway-" + other, nowNanos());
				}
			}
			this.fleet.gatewaysListed();
			this.process = VirtualFleet.this.factory.create(this.identity, this.fleet);
			this.nextReportMillis = startedMillis + VirtualFleet.this.random.nextInt((int) reportIntervalMillis());
			this.nextTickMillis = startedMillis + VirtualFleet.this.random.nextInt(TICK_MILLIS);
		}

		private long reportIntervalMillis() {
			return TimeUnit.NANOSECONDS.toMillis(this.fleet.reportIntervalNanos());
		}

		private void pause(boolean paused) {
			this.paused = paused;
			while (!paused && !this.waiting.isEmpty()) {
				this.waiting.removeFirst().run();
			}
		}

		private void receive(ReportInTransit<R> delivery) {
			if (!this.cutLinks.contains(delivery.from.index)) {
				whenRunning(() -> {
					ReportStatus status = this.fleet.reportReceived(delivery.report, nowNanos());
					if (status == ReportStatus.LATE) {
						return;
					}
					this.process.reportReceived(delivery.from, delivery.content, nowNanos());
					if (status == ReportStatus.FIRST) {
						this.process.gatewayStarted(nowNanos());
						this.process.gatewayStarted(delivery.from, nowNanos());
						repeatReport(delivery.from.index);
					}
				});
			}
		}

		private void receive(MessageInTransit<R> message) {
			if (!this.cutLinks.contains(message.from)) {
				whenRunning(() -> message.delivery.accept(this.process));
			}
		}

		private void whenRunning(Runnable task) {
			if (this.paused) {
				this.waiting.addLast(task);
			}
			else {
				task.run();
			}
		}

		private void tick() {
			if (this.paused || VirtualFleet.this.nowMillis < this.nextTickMillis) {
				return;
			}
			this.nextTickMillis = VirtualFleet.this.nowMillis + TICK_MILLIS;
			this.process.tick(nowNanos());
			if (VirtualFleet.this.nowMillis >= this.nextReportMillis || this.process.isUrgent()) {
				this.nextReportMillis = VirtualFleet.this.nowMillis + reportIntervalMillis();
				this.number++;
				sendReports();
			}
		}

		private void sendReports() {
			this.group = this.fleet.group(nowNanos());
			this.lastReport.clear();
			this.lastReport.add(this.process.report(this.number, nowNanos()));
			this.fleet.reportSent(this.number, nowNanos());
			for (int to = 0; to < VirtualFleet.this.nodes.size(); to++) {
				if (to != this.identity.index) {
					send(to);
				}
			}
		}

		// Repeats the last report for a gateway that waits for its confirmation.
		private void repeatReport(int to) {
			if (this.number == 0) {
				this.nextReportMillis = VirtualFleet.this.nowMillis;
			}
			else {
				send(to);
			}
		}

		private void send(int to) {
			if (!isLost()) {
				Report report = new Report(this.identity.name(), this.identity.start(), this.number, false, this.group,
						false, this.fleet.confirmation("gateway-" + to, nowNanos()));
				VirtualFleet.this.inTransit.addLast(new ReportInTransit<>(this.identity, to, report,
						this.lastReport.getFirst(), VirtualFleet.this.nowMillis + DELAY_MILLIS));
			}
		}

	}

	/** A message in transit. */
	private record MessageInTransit<R>(int from, int to, Consumer<Process<R>> delivery,
			long arrivalMillis) implements Comparable<MessageInTransit<R>> {

		@Override
		public int compareTo(MessageInTransit<R> other) {
			return Long.compare(this.arrivalMillis, other.arrivalMillis);
		}

	}

	/** A report in transit. */
	private record ReportInTransit<R>(Identity from, int to, Report report, R content, long arrivalMillis) {
	}

}
