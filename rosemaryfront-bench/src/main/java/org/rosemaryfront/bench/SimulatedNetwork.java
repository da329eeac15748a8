package org.rosemaryfront.bench;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.rosemaryfront.membership.MembershipMessage;
import org.rosemaryfront.peer.DatagramCodec;

/**
 * A network in memory that loses, delays, repeats and cuts off datagrams.
 */
public final class SimulatedNetwork {

	/** Headers of IP and UDP. */
	private static final int HEADER_BYTES = 28;

	private static final String REGION = "pl-central";

	private final SplittableRandom random;

	private final Set<Integer> cutFromStore = new HashSet<>();

	private final Set<Integer> island = new HashSet<>();

	private long minNanos = TimeUnit.MICROSECONDS.toNanos(200);

	private long maxNanos = TimeUnit.MILLISECONDS.toNanos(2);

	private double loss;

	private double repeats;

	private double late;

	private long lateNanos;

	SimulatedNetwork(SplittableRandom random) {
		this.random = random;
	}

	/**
	 * The size of a message on the network.
	 * @param message the message
	 * @return bytes, with the headers of IP and UDP
	 */
	static int bytes(MembershipMessage message) {
		return HEADER_BYTES + DatagramCodec.encode(message, REGION).toByteArray().length;
	}

	// -- faults

	/**
	 * The share of datagrams lost.
	 * @param share 0 to 1
	 */
	public void loss(double share) {
		this.loss = share;
	}

	/**
	 * The share of datagrams that arrive a second time, much later.
	 * @param share 0 to 1
	 */
	public void repeats(double share) {
		this.repeats = share;
	}

	/**
	 * The share of datagrams that arrive late.
	 * @param share 0 to 1
	 * @param millis the greatest lateness, in milliseconds
	 */
	public void late(double share, long millis) {
		this.late = share;
		this.lateNanos = TimeUnit.MILLISECONDS.toNanos(millis);
	}

	/**
	 * Cuts some members off from all others.
	 * @param members their indexes; empty heals the network
	 */
	public void island(Set<Integer> members) {
		this.island.clear();
		this.island.addAll(members);
	}

	/**
	 * Cuts some members off from the table service.
	 * @param members their indexes; empty heals
	 */
	public void cutFromStore(Set<Integer> members) {
		this.cutFromStore.clear();
		this.cutFromStore.addAll(members);
	}

	// -- traffic

	boolean connected(int from, int to) {
		return this.island.contains(from) == this.island.contains(to);
	}

	boolean reachesStore(int member) {
		return !this.cutFromStore.contains(member);
	}

	long delayNanos() {
		return this.random.nextLong(this.minNanos, this.maxNanos);
	}

	/**
	 * When a datagram arrives.
	 * @param from the sender
	 * @param to the receiver
	 * @return a delay in nanoseconds for each copy that arrives
	 */
	long[] delays(int from, int to) {
		if (!connected(from, to) || this.random.nextDouble() < this.loss) {
			return new long[0];
		}
		long delay = delayNanos();
		if (this.late > 0 && this.random.nextDouble() < this.late) {
			delay += this.random.nextLong(this.lateNanos);
		}
		if (this.repeats > 0 && this.random.nextDouble() < this.repeats) {
			return new long[] { delay, delay + this.random.nextLong(Math.max(1, this.lateNanos)) };
		}
		return new long[] { delay };
	}

}
