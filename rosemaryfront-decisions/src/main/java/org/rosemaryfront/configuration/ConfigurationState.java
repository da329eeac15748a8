package org.rosemaryfront.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;

import org.rosemaryfront.model.Configuration;

/**
 * Which configuration is in force at a member and what it must read to learn a later one.
 * Deterministic: no input or output, the time and the seed are passed in. Used by one
 * thread only.
 *
 * <p>
 * Members read the head of the table service at a rate that is bounded for all of them
 * together; who sees a change reads it there, and the others hear of its revision from
 * their peers and read it from them. Only a higher revision replaces the one in force.
 *
 * <pre>
 * ConfigurationState state = ConfigurationState.start(ConfigurationTiming.standard(), seed, now);
 * state.accept(new ConfigurationEvent.HeadRead(7), now);
 * state.tick(members, now).forEach(this::execute);
 * </pre>
 */
public final class ConfigurationState {

	/** Reads that fail at peers before the table service is asked. */
	private static final int PEER_ATTEMPTS = 2;

	private final ConfigurationTiming timing;

	private final SplittableRandom random;

	private final Map<String, PeerRevision> peers = new TreeMap<>();

	private final List<ConfigurationCommand> commands = new ArrayList<>();

	private final long startedAt;

	private Configuration inForce = Configuration.empty();

	private boolean known;

	private boolean headOpen;

	private long headAskedAt;

	private long nextHeadAt;

	private long headRevision;

	/** No peer has told a higher revision; spares a tick the search of all peers. */
	private long greatestHeard;

	private Optional<Long> readingSince = Optional.empty();

	private int failedReads;

	private long nextReadAt;

	private Optional<Long> contactAt = Optional.empty();

	private boolean fresh;

	private ConfigurationState(ConfigurationTiming timing, long seed, long now) {
		this.timing = timing;
		this.random = new SplittableRandom(seed);
		this.startedAt = now;
		this.nextHeadAt = now;
		this.nextReadAt = now;
	}

	// -- factories

	/**
	 * Starts without a configuration.
	 * @param timing the limits and intervals
	 * @param seed the seed of its random choices
	 * @param nowNanos the time on the monotonic clock, in nanoseconds
	 * @return the state
	 */
	public static ConfigurationState start(ConfigurationTiming timing, long seed, long nowNanos) {
		Objects.requireNonNull(timing, "timing is null");
		return new ConfigurationState(timing, seed, nowNanos);
	}

	// -- events

	/**
	 * Takes an event into the state.
	 * @param event what happened
	 * @param nowNanos the time on the monotonic clock, in nanoseconds
	 */
	public void accept(ConfigurationEvent event, long nowNanos) {
		switch (event) {
			case ConfigurationEvent.HeadRead head -> headRead(head.revision(), nowNanos);
			case ConfigurationEvent.HeadFailed _ -> this.headOpen = false;
			case ConfigurationEvent.PeerHeard peer -> peerHeard(peer.address(), peer.revision(), nowNanos);
			case ConfigurationEvent.ConfigurationRead read -> configurationRead(read.configuration());
			case ConfigurationEvent.ReadFailed _ -> readFailed(nowNanos);
		}
	}

	private void headRead(long revision, long now) {
		this.headOpen = false;
		this.contactAt = Optional.of(now);
		this.headRevision = Math.max(this.headRevision, revision);
		if (revision == 0 && this.inForce.revision() == 0) {
			this.known = true;
		}
		if (revision < this.inForce.revision()) {
			this.commands.add(new ConfigurationCommand.HeadBehind(revision));
		}
	}

	private void peerHeard(String address, long revision, long now) {
		this.contactAt = Optional.of(now);
		this.greatestHeard = Math.max(this.greatestHeard, revision);
		this.peers.put(address, new PeerRevision(revision, now));
	}

	// A configuration can arrive late: read from a peer that was behind, or from a table
	// service that answered an old question. Without this comparison an accepted
	// configuration would revert to the older one.
	private void configurationRead(Configuration configuration) {
		this.readingSince = Optional.empty();
		this.failedReads = 0;
		if (configuration.revision() > this.inForce.revision()) {
			this.inForce = configuration;
			this.known = true;
			this.commands.add(new ConfigurationCommand.Applied(configuration));
		}
		else {
			this.commands.add(new ConfigurationCommand.Dropped(configuration.revision()));
		}
	}

	private void readFailed(long now) {
		this.readingSince = Optional.empty();
		this.failedReads++;
		long backOff = this.timing.shortestPollNanos() / 4;
		this.nextReadAt = now + backOff + this.random.nextLong(backOff);
	}

	// -- systems

	/**
	 * Runs all systems over the state.
	 * @param members the number of members that may answer, this one included
	 * @param nowNanos the time on the monotonic clock, in nanoseconds
	 * @return what the caller must do, in order
	 */
	public List<ConfigurationCommand> tick(int members, long nowNanos) {
		pollHead(members, nowNanos);
		readWhenBehind(nowNanos);
		judgeFreshness(nowNanos);
		List<ConfigurationCommand> result = List.copyOf(this.commands);
		this.commands.clear();
		return result;
	}

	private void pollHead(int members, long now) {
		if (this.headOpen && now - this.headAskedAt > this.timing.readTimeoutNanos()) {
			this.headOpen = false;
		}
		long poll = this.timing.pollNanos(members);
		this.nextHeadAt = Math.min(this.nextHeadAt, now + poll * 3 / 2);
		if (!this.headOpen && now >= this.nextHeadAt) {
			this.headOpen = true;
			this.headAskedAt = now;
			this.nextHeadAt = now + poll / 2 + this.random.nextLong(poll);
			this.peers.values().removeIf((peer) -> !heardLately(peer, now));
			this.commands.add(new ConfigurationCommand.ReadHead());
		}
	}

	private void readWhenBehind(long now) {
		if (this.readingSince.filter((since) -> now - since > this.timing.readTimeoutNanos()).isPresent()) {
			readFailed(now);
		}
		if (Math.max(this.headRevision, this.greatestHeard) <= this.inForce.revision()) {
			return;
		}
		long highest = highestRevision(now);
		if (this.readingSince.isPresent() || now < this.nextReadAt || highest <= this.inForce.revision()) {
			return;
		}
		if (this.known || this.headRevision > 0 || heardEnoughToStart(now)) {
			this.readingSince = Optional.of(now);
			this.commands.add(source(highest, now));
		}
	}

	private ConfigurationCommand source(long highest, long now) {
		List<String> holders = this.peers.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().revision() == highest && heardLately(entry.getValue(), now))
			.map(Map.Entry::getKey)
			.toList();
		boolean tryStore = this.failedReads % (PEER_ATTEMPTS + 1) == PEER_ATTEMPTS && this.headRevision > 0;
		if (holders.isEmpty() || tryStore) {
			return new ConfigurationCommand.ReadFromStore(this.inForce.revision());
		}
		String holder = holders.get(this.random.nextInt(holders.size()));
		return new ConfigurationCommand.ReadFromPeer(holder, this.inForce.revision());
	}

	// A member that starts while the table service is down must not take the first
	// configuration it hears of, since that peer may be behind; it waits for several.
	private boolean heardEnoughToStart(long now) {
		long heard = this.peers.values().stream().filter((peer) -> peer.revision() > 0).count();
		return heard >= this.timing.startPeers() || now - this.startedAt >= this.timing.startWaitNanos();
	}

	private long highestRevision(long now) {
		long highest = this.headRevision;
		for (PeerRevision peer : this.peers.values()) {
			if (heardLately(peer, now)) {
				highest = Math.max(highest, peer.revision());
			}
		}
		return highest;
	}

	private boolean heardLately(PeerRevision peer, long now) {
		return now - peer.heardAt() <= this.timing.stalenessNanos();
	}

	private void judgeFreshness(long now) {
		boolean reached = this.contactAt.filter((at) -> now - at <= this.timing.stalenessNanos()).isPresent();
		boolean judged = this.known && reached;
		if (judged != this.fresh) {
			this.fresh = judged;
			this.commands.add(new ConfigurationCommand.FreshnessChanged(judged));
		}
	}

	// -- queries

	/**
	 * Whether new work may be accepted, as of the last tick.
	 * @return true when a configuration is known (that none was declared yet counts, when
	 * the table service said so) and the table service or a peer was reached within the
	 * staleness limit
	 */
	public boolean fresh() {
		return this.fresh;
	}

	/**
	 * Until when new work may be accepted if nobody is reached any more. A process that
	 * was paused compares it with the clock before its control thread has run again.
	 * @return the time on the monotonic clock, in nanoseconds, empty when no
	 * configuration is known
	 */
	public Optional<Long> freshUntilNanos() {
		return this.contactAt.filter((_) -> this.known).map((at) -> at + this.timing.stalenessNanos());
	}

	/**
	 * The configuration in force.
	 * @return the configuration, empty before the first one is known
	 */
	public Configuration inForce() {
		return this.inForce;
	}

	private record PeerRevision(long revision, long heardAt) {
	}

}
