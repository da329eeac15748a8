package org.rosemaryfront.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.rosemaryfront.configuration.ConfigurationCommand;
import org.rosemaryfront.configuration.ConfigurationEvent;
import org.rosemaryfront.configuration.ConfigurationState;
import org.rosemaryfront.configuration.ConfigurationTiming;
import org.rosemaryfront.membership.DepartureNotice;
import org.rosemaryfront.membership.MemberId;
import org.rosemaryfront.membership.MemberRecord;
import org.rosemaryfront.membership.MemberState;
import org.rosemaryfront.membership.Membership;
import org.rosemaryfront.membership.MembershipCommand;
import org.rosemaryfront.membership.MembershipEvent;
import org.rosemaryfront.membership.MembershipSettings;
import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.VmId;

/**
 * One member of a {@link MembershipSimulation}, with what it was told and what broke.
 */
public final class SimulatedMember {

	private static final int FIRST_PORT = 10_000;

	private static final long FIRST_INCARNATION = 1_764_700_000_000L;

	private static final long DEPARTURE_MILLIS = 30_000;

	private final int index;

	private final MemberId id;

	private final Set<VmId> departures = new HashSet<>();

	private final List<String> broken = new ArrayList<>();

	private final List<Runnable> deferred = new ArrayList<>();

	private final List<Read> reads = new ArrayList<>();

	private final List<MemberRecord> changes = new ArrayList<>();

	private Membership membership;

	private ConfigurationState state;

	private int run;

	private boolean live = true;

	private boolean frozen;

	private long sentMessages;

	private long sentBytes;

	private long receivedBytes;

	private long configurationReads;

	private SimulatedMember(int index) {
		this.index = index;
		this.id = new MemberId(new VmId("vm-%04d".formatted(index)), MemberId.ENTRY);
	}

	// -- factories

	static SimulatedMember start(int index, long seed, long now) {
		SimulatedMember member = new SimulatedMember(index);
		member.begin(seed, now);
		return member;
	}

	private void begin(long seed, long now) {
		MemberRecord self = new MemberRecord(this.id, address(), "zone-" + this.index % 3,
				FIRST_INCARNATION + this.run * 1_000L, MemberState.ALIVE, 0);
		this.membership = Membership.start(self, MembershipSettings.standard(), seed, now);
		this.state = ConfigurationState.start(ConfigurationTiming.of(10, Duration.ofSeconds(30)), seed, now);
		this.departures.clear();
		this.changes.clear();
		this.reads.clear();
		this.membership.accept(new MembershipEvent.UsageMeasured(Map.of("builder-large", 180_000L, "cleaners-tunis",
				40_000L, "cleaners-sfax", 9_000L, "homes", 512L, "developers", 77L)), now);
	}

	// -- faults

	void kill() {
		this.live = false;
		this.frozen = false;
		this.deferred.clear();
	}

	void restart(long seed, long now) {
		this.run++;
		this.live = true;
		this.frozen = false;
		this.deferred.clear();
		begin(seed, now);
	}

	void freeze() {
		this.frozen = true;
	}

	List<Runnable> thaw() {
		this.frozen = false;
		List<Runnable> work = List.copyOf(this.deferred);
		this.deferred.clear();
		return work;
	}

	void defer(Runnable work) {
		this.deferred.add(work);
	}

	// -- events

	void accept(MembershipEvent event, long now) {
		this.membership.accept(event, now);
	}

	void accept(ConfigurationEvent event, long now) {
		this.state.accept(event, now);
	}

	void departureKnown(VmId vm, long now) {
		this.departures.add(vm);
		accept(new MembershipEvent.DepartureDetected(new DepartureNotice(vm, DEPARTURE_MILLIS)), now);
	}

	// -- systems

	List<MembershipCommand.Send> tick(long now) {
		List<MembershipCommand.Send> sends = new ArrayList<>();
		take(this.membership.tick(now), sends, now);
		for (ConfigurationCommand command : this.state.tick(this.membership.size(), now)) {
			take(command, now);
		}
		take(this.membership.tick(now), sends, now);
		return sends;
	}

	private void take(List<MembershipCommand> commands, List<MembershipCommand.Send> sends, long now) {
		for (MembershipCommand command : commands) {
			switch (command) {
				case MembershipCommand.Send send -> sends.add(send);
				case MembershipCommand.DepartureReceived learned -> this.departures.add(learned.notice().vm());
				case MembershipCommand.PeerMessageReceived peer -> this.state
					.accept(new ConfigurationEvent.PeerRevisionReceived(peer.address(), peer.revision()), now);
				case MembershipCommand.MemberChanged changed -> this.changes.add(changed.record());
				case MembershipCommand.Refuted _, MembershipCommand.PauseDetected _ -> {
				}
			}
		}
	}

	private void take(ConfigurationCommand command, long now) {
		switch (command) {
			case ConfigurationCommand.ReadHead _ -> this.reads.add(new Read.Head());
			case ConfigurationCommand.ReadFromStore _ -> this.reads.add(new Read.Store());
			case ConfigurationCommand.ReadFromPeer read -> this.reads.add(new Read.Peer(read.address()));
			case ConfigurationCommand.Applied applied -> applied(applied.configuration().revision(), now);
			case ConfigurationCommand.HeadBehind behind -> this.broken.add("head behind: " + behind);
			case ConfigurationCommand.Dropped _, ConfigurationCommand.FreshnessChanged _ -> {
			}
		}
	}

	private void applied(long revision, long now) {
		if (revision <= this.membership.self().revision()) {
			this.broken.add("reverted from " + this.membership.self().revision() + " to " + revision);
		}
		this.membership.accept(new MembershipEvent.RevisionInForce(revision), now);
	}

	List<Read> reads() {
		List<Read> open = List.copyOf(this.reads);
		this.reads.clear();
		return open;
	}

	// -- counters

	void countRead() {
		this.configurationReads++;
	}

	void received(int bytes) {
		this.receivedBytes += bytes;
	}

	void sent(int bytes) {
		this.sentMessages++;
		this.sentBytes += bytes;
	}

	/**
	 * What it sent and received so far.
	 * @return the counters
	 */
	public Traffic traffic() {
		return new Traffic(this.sentMessages, this.sentBytes, this.receivedBytes, this.configurationReads);
	}

	// -- queries

	/**
	 * Its address.
	 * @return {@code host:port}
	 */
	public String address() {
		return "10.0." + this.index / 250 + "." + this.index % 250 + ":" + (FIRST_PORT + this.index);
	}

	static Optional<Integer> index(String address) {
		int colon = address.lastIndexOf(':');
		return (colon < 0) ? Optional.empty()
				: Optional.of(Integer.parseInt(address.substring(colon + 1)) - FIRST_PORT);
	}

	/**
	 * What broke so far: each entry is a broken promise.
	 * @return empty when all is well
	 */
	public List<String> broken() {
		return this.broken;
	}

	/**
	 * All changes of other members that it saw, in order.
	 * @return the records
	 */
	public List<MemberRecord> changes() {
		return this.changes;
	}

	/**
	 * The configuration in force at it.
	 * @return the configuration
	 */
	public Configuration configuration() {
		return this.state.inForce();
	}

	/**
	 * Backend servers that it knows to be leaving.
	 * @return the VMs
	 */
	public Set<VmId> departures() {
		return this.departures;
	}

	/**
	 * Whether it takes new work.
	 * @return true when its configuration is known and someone was reached lately
	 */
	public boolean fresh() {
		return this.state.fresh();
	}

	/**
	 * Its identity.
	 * @return the VM and the role
	 */
	public MemberId id() {
		return this.id;
	}

	int index() {
		return this.index;
	}

	/**
	 * Whether it runs.
	 * @return false after it was killed
	 */
	public boolean live() {
		return this.live;
	}

	boolean frozen() {
		return this.frozen;
	}

	/**
	 * What it knows of another member.
	 * @param other the other one
	 * @return the record, empty when it never heard of it
	 */
	public Optional<MemberRecord> view(SimulatedMember other) {
		return this.membership.members().stream().filter((record) -> record.id().equals(other.id)).findFirst();
	}

	/**
	 * The decisions that it runs.
	 * @return the membership
	 */
	public Membership membership() {
		return this.membership;
	}

	int run() {
		return this.run;
	}

	/**
	 * What a member sent and received.
	 *
	 * @param sentMessages datagrams sent
	 * @param sentBytes bytes sent
	 * @param receivedBytes bytes received
	 * @param configurationReads configurations read from peers
	 */
	public record Traffic(long sentMessages, long sentBytes, long receivedBytes, long configurationReads) {
	}

	/**
	 * Something that it wants to read.
	 */
	sealed interface Read {

		/** The head. */
		record Head() implements Read {
		}

		/** The configuration in the table service. */
		record Store() implements Read {
		}

		/**
		 * The configuration of a peer.
		 *
		 * @param address the peer
		 */
		record Peer(String address) implements Read {
		}

	}

}
