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
 * Tracks the configuration in force at a member and decides what the member reads to
 * obtain a newer one. Deterministic and free of I/O: the caller passes in the current
 * time and the seed. Not thread-safe; must be confined to one thread.
 *
 * <p>
 * Members poll the head revision in the table service at a rate that is bounded for all
 * members together. A member that finds a new revision there reads the configuration from
 * the table service, unless a peer already has it; the other members receive the revision
 * from their peers and read the configuration from them. Only a configuration with a
 * higher revision replaces the one in force.
 *
 * <pre>
 * ConfigurationState state = ConfigurationState.start(ConfigurationTiming.standard(), seed, now);
 * state.accept(new ConfigurationEvent.HeadRead(7), now);
 * state.tick(members, now).forEach(this::execute);
 * </pre>
 */
public final class ConfigurationState {

	/** The number of failed reads from peers before the table service is tried. */
	private static final int PEER_ATTEMPTS = 2;

	private final ConfigurationTiming timing;

	private final SplittableRandom random;

	private final Map<String, PeerRevision> peers = new TreeMap<>();

	private final List<ConfigurationCommand> commands = new ArrayList<>();

	private final long startedAt;

	private Configuration inForce = Configuration.empty();

	private boolean configurationKnown;

	private boolean headReadPending;

	private long headReadStartedAt;

	private long nextHeadReadAt;

	private long headRevision;

	/**
	 * The highest revision reported by any peer; lets a tick skip the scan of all peers.
	 */
	private long highestPeerRevision;

	private Optional<Long> readStartedAt = Optional.empty();

	private int failedReads;

	private long nextReadAt;

	private Optional<Long> lastContactAt = Optional.empty();

	private boolean fresh;

	private ConfigurationState(ConfigurationTiming timing, long seed, long now) {
		this.timing = timing;
		this.random = new SplittableRandom(seed);
		this.startedAt = now;
		this.nextHeadReadAt = now;
		this.nextReadAt = now;
	}

	/**
	 * Creates a state without a configuration.
	 * @param timing the limits and intervals
	 * @param seed the seed for random choices
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the state
	 */
	public static ConfigurationState start(ConfigurationTiming timing, long seed, long nowNanos) {
		Objects.requireNonNull(timing, "timing is null");
		return new ConfigurationState(timing, seed, nowNanos);
	}

	/**
	 * Applies an event to the state.
	 * @param event the event
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void accept(ConfigurationEvent event, long nowNanos) {
		switch (event) {
			case ConfigurationEvent.HeadRead head -> headRead(head.revision(), nowNanos);
			case ConfigurationEvent.HeadFailed _ -> this.headReadPending = false;
			case ConfigurationEvent.PeerRevisionReceived peer ->
				peerRevisionReceived(peer.address(), peer.revision(), nowNanos);
			case ConfigurationEvent.ConfigurationRead read -> configurationRead(read.configuration());
			case ConfigurationEvent.ReadFailed _ -> readFailed(nowNanos);
		}
	}

	private void headRead(long revision, long now) {
		this.headReadPending = false;
		this.lastContactAt = Optional.of(now);
		this.headRevision = Math.max(this.headRevision, revision);
		if (revision == 0 && this.inForce.revision() == 0) {
			this.configurationKnown = true;
		}
		if (revision < this.inForce.revision()) {
			this.commands.add(new ConfigurationCommand.HeadBehind(revision));
		}
	}

	private void peerRevisionReceived(String address, long revision, long now) {
		this.lastContactAt = Optional.of(now);
		this.highestPeerRevision = Math.max(this.highestPeerRevision, revision);
		this.peers.put(address, new PeerRevision(revision, now));
	}

	// An older configuration can arrive late, from a peer that was behind or as the table
	// service's response to an earlier request. Without this comparison it would replace
	// a newer configuration that was already accepted.
	private void configurationRead(Configuration configuration) {
		this.readStartedAt = Optional.empty();
		this.failedReads = 0;
		if (configuration.revision() > this.inForce.revision()) {
			this.inForce = configuration;
			this.configurationKnown = true;
			this.commands.add(new ConfigurationCommand.Applied(configuration));
		}
		else {
			this.commands.add(new ConfigurationCommand.Dropped(configuration.revision()));
		}
	}

	private void readFailed(long now) {
		this.readStartedAt = Optional.empty();
		this.failedReads++;
		long backOff = this.timing.shortestPollNanos() / 4;
		this.nextReadAt = now + backOff + this.random.nextLong(backOff);
	}

	/**
	 * Polls the head revision when due, starts a read if this member is behind, and
	 * updates the freshness.
	 * @param members the number of members that may respond, including this one
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the commands for the caller to execute, in order
	 */
	public List<ConfigurationCommand> tick(int members, long nowNanos) {
		pollHead(members, nowNanos);
		readIfBehind(nowNanos);
		updateFreshness(nowNanos);
		List<ConfigurationCommand> result = List.copyOf(this.commands);
		this.commands.clear();
		return result;
	}

	private void pollHead(int members, long now) {
		if (this.headReadPending && now - this.headReadStartedAt > this.timing.readTimeoutNanos()) {
			this.headReadPending = false;
		}
		long pollInterval = this.timing.pollIntervalNanos(members);
		this.nextHeadReadAt = Math.min(this.nextHeadReadAt, now + pollInterval * 3 / 2);
		if (!this.headReadPending && now >= this.nextHeadReadAt) {
			this.headReadPending = true;
			this.headReadStartedAt = now;
			this.nextHeadReadAt = now + pollInterval / 2 + this.random.nextLong(pollInterval);
			this.peers.values().removeIf((peer) -> !isRecent(peer, now));
			this.commands.add(new ConfigurationCommand.ReadHead());
		}
	}

	private void readIfBehind(long now) {
		if (this.readStartedAt.filter((since) -> now - since > this.timing.readTimeoutNanos()).isPresent()) {
			readFailed(now);
		}
		if (Math.max(this.headRevision, this.highestPeerRevision) <= this.inForce.revision()) {
			return;
		}
		long highest = highestRevision(now);
		if (this.readStartedAt.isPresent() || now < this.nextReadAt || highest <= this.inForce.revision()) {
			return;
		}
		if (this.configurationKnown || this.headRevision > 0 || hasEnoughReportsToStart(now)) {
			this.readStartedAt = Optional.of(now);
			this.commands.add(chooseSource(highest, now));
		}
	}

	private ConfigurationCommand chooseSource(long highest, long now) {
		List<String> upToDatePeers = this.peers.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().revision() == highest && isRecent(entry.getValue(), now))
			.map(Map.Entry::getKey)
			.toList();
		boolean tryStore = this.failedReads % (PEER_ATTEMPTS + 1) == PEER_ATTEMPTS && this.headRevision > 0;
		if (upToDatePeers.isEmpty() || tryStore) {
			return new ConfigurationCommand.ReadFromStore(this.inForce.revision());
		}
		String peerAddress = upToDatePeers.get(this.random.nextInt(upToDatePeers.size()));
		return new ConfigurationCommand.ReadFromPeer(peerAddress, this.inForce.revision());
	}

	// A member that starts while the table service is down must not read from the first
	// peer that reports a revision, since that peer may be behind. It waits for reports
	// from several peers, up to a time limit.
	private boolean hasEnoughReportsToStart(long now) {
		long reportCount = this.peers.values().stream().filter((peer) -> peer.revision() > 0).count();
		return reportCount >= this.timing.startPeers() || now - this.startedAt >= this.timing.startWaitNanos();
	}

	private long highestRevision(long now) {
		long highest = this.headRevision;
		for (PeerRevision peer : this.peers.values()) {
			if (isRecent(peer, now)) {
				highest = Math.max(highest, peer.revision());
			}
		}
		return highest;
	}

	private boolean isRecent(PeerRevision peer, long now) {
		return now - peer.receivedAt() <= this.timing.stalenessNanos();
	}

	private void updateFreshness(long now) {
		boolean reached = this.lastContactAt.filter((at) -> now - at <= this.timing.stalenessNanos()).isPresent();
		boolean freshNow = this.configurationKnown && reached;
		if (freshNow != this.fresh) {
			this.fresh = freshNow;
			this.commands.add(new ConfigurationCommand.FreshnessChanged(freshNow));
		}
	}

	/**
	 * Returns whether new work may be accepted, as of the last tick.
	 * @return true if a configuration is known, or the table service has reported that
	 * none was declared yet, and the table service or a peer was reached within the
	 * staleness limit
	 */
	public boolean fresh() {
		return this.fresh;
	}

	/**
	 * Returns until when new work may be accepted if neither the table service nor a peer
	 * is reached again. A process that resumes after a pause compares this time with the
	 * clock, because its control thread may not have run yet.
	 * @return the time on the monotonic clock, in nanoseconds; empty if no configuration
	 * is known
	 */
	public Optional<Long> freshUntilNanos() {
		return this.lastContactAt.filter((_) -> this.configurationKnown).map((at) -> at + this.timing.stalenessNanos());
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration; empty until the first one is known
	 */
	public Configuration inForce() {
		return this.inForce;
	}

	private record PeerRevision(long revision, long receivedAt) {
	}

}
