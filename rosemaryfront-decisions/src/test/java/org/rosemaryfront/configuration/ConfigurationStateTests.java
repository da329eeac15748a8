package org.rosemaryfront.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.rosemaryfront.model.Configuration;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigurationStateTests {

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	private static final ConfigurationTiming TIMING = ConfigurationTiming.of(10, Duration.ofSeconds(30));

	private final ConfigurationState state = ConfigurationState.start(TIMING, 7, 0);

	// -- configuration in force

	@Property(tries = 300, seed = "20261202")
	void shouldNeverRevertWhenOlderConfigurationArrivesLate(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
		// Two operators apply changes one after the other. An entry reads the second
		// change and then receives a late response to an earlier request from a peer that
		// was behind. If the late response took effect, an accepted configuration would
		// revert on this entry only.
		SplittableRandom random = new SplittableRandom(seed);
		ConfigurationState randomizedState = ConfigurationState.start(TIMING, seed, 0);
		long now = 0;
		long inForce = 0;
		for (int step = 0; step < 60; step++) {
			now += random.nextLong(SECOND);
			randomizedState.accept(randomEvent(random), now);
			for (ConfigurationCommand command : randomizedState.tick(3, now)) {
				if (command instanceof ConfigurationCommand.Applied applied) {
					assertThat(applied.configuration().revision()).isGreaterThan(inForce);
				}
			}
			assertThat(randomizedState.inForce().revision()).isGreaterThanOrEqualTo(inForce);
			inForce = randomizedState.inForce().revision();
		}
	}

	private static ConfigurationEvent randomEvent(SplittableRandom random) {
		long revision = random.nextLong(20);
		return switch (random.nextInt(5)) {
			case 0 -> new ConfigurationEvent.HeadRead(revision);
			case 1 -> new ConfigurationEvent.HeadFailed();
			case 2 -> new ConfigurationEvent.PeerRevisionReceived("peer-" + random.nextInt(3), revision);
			case 3 -> new ConfigurationEvent.ReadFailed();
			default -> new ConfigurationEvent.ConfigurationRead(Configuration.of(revision, List.of()));
		};
	}

	@Test
	void shouldKeepConfigurationWhenHeadIsBehind() {
		receiveConfiguration(9);
		this.state.accept(new ConfigurationEvent.HeadRead(8), 0);
		assertThat(this.state.tick(3, 0)).contains(new ConfigurationCommand.HeadBehind(8));
		assertThat(this.state.inForce().revision()).isEqualTo(9);
	}

	// -- startup

	@Test
	void shouldReadFromPeerWithHighestRevisionWhenStoreIsDownAtStartup() {
		// An entry starts during an outage of the table service, and the first peer that
		// reports a revision is behind. If the entry read from that peer, it would serve
		// an older configuration than all other members until the outage ends.
		this.state.accept(new ConfigurationEvent.HeadFailed(), 0);
		receiveRevision("old", 3, 0);
		assertThat(configurationReads(this.state.tick(4, 0))).isEmpty();
		receiveRevision("new", 5, SECOND);
		assertThat(configurationReads(this.state.tick(4, SECOND))).isEmpty();
		receiveRevision("middle", 4, SECOND);
		assertThat(configurationReads(this.state.tick(4, SECOND)))
			.containsExactly(new ConfigurationCommand.ReadFromPeer("new", 0));
	}

	@Test
	void shouldReadFromOnlyPeerWhenStartupWaitEnds() {
		receiveRevision("only", 3, 0);
		assertThat(configurationReads(this.state.tick(2, 0))).isEmpty();
		assertThat(configurationReads(this.state.tick(2, 3 * SECOND)))
			.containsExactly(new ConfigurationCommand.ReadFromPeer("only", 0));
	}

	// -- source of a read

	@Test
	void shouldReadFromPeerWhenPeerHasHeadRevision() {
		receiveConfiguration(4);
		this.state.accept(new ConfigurationEvent.HeadRead(5), 0);
		receiveRevision("behind", 4, 0);
		receiveRevision("current", 5, 0);
		assertThat(configurationReads(this.state.tick(3, 0)))
			.containsExactly(new ConfigurationCommand.ReadFromPeer("current", 4));
	}

	@Test
	void shouldReadFromStoreWhenNoPeerHasHeadRevision() {
		receiveConfiguration(4);
		receiveRevision("behind", 4, 0);
		this.state.accept(new ConfigurationEvent.HeadRead(5), 0);
		assertThat(configurationReads(this.state.tick(3, 0)))
			.containsExactly(new ConfigurationCommand.ReadFromStore(4));
	}

	@Test
	void shouldReadFromStoreWhenReadsFromPeersFail() {
		receiveConfiguration(4);
		this.state.accept(new ConfigurationEvent.HeadRead(5), 0);
		receiveRevision("silent", 5, 0);
		List<ConfigurationCommand> issuedReads = new ArrayList<>();
		for (int attempt = 0; attempt < 3; attempt++) {
			issuedReads.addAll(configurationReads(this.state.tick(3, attempt * SECOND)));
			this.state.accept(new ConfigurationEvent.ReadFailed(), attempt * SECOND);
		}
		assertThat(issuedReads).hasSize(3).last().isEqualTo(new ConfigurationCommand.ReadFromStore(4));
	}

	// -- polling of the head

	@ParameterizedTest
	@ValueSource(ints = { 3, 9, 81, 380 })
	void shouldLimitTotalHeadReadRateWhenFleetGrows(int members) {
		int seconds = 200;
		int headReads = 0;
		for (long now = 0; now < seconds * SECOND; now += SECOND / 20) {
			for (ConfigurationCommand command : this.state.tick(members, now)) {
				if (command instanceof ConfigurationCommand.ReadHead) {
					headReads++;
					this.state.accept(new ConfigurationEvent.HeadRead(0), now);
				}
			}
		}
		assertThat((double) headReads * members / seconds).isLessThan(15);
	}

	// -- staleness

	@Test
	void shouldStopAcceptingWorkWhenNeitherStoreNorPeersAreReached() {
		this.state.accept(new ConfigurationEvent.HeadRead(1), 0);
		receiveConfiguration(1);
		this.state.tick(3, 0);
		assertThat(this.state.fresh()).isTrue();
		receiveRevision("peer", 1, 20 * SECOND);
		this.state.tick(3, 49 * SECOND);
		assertThat(this.state.fresh()).isTrue();
		this.state.tick(3, 51 * SECOND);
		assertThat(this.state.fresh()).isFalse();
		assertThat(this.state.inForce().revision()).isEqualTo(1);
	}

	@Test
	void shouldNotAcceptWorkWhenNoConfigurationIsKnown() {
		receiveRevision("peer", 0, 0);
		this.state.tick(3, 0);
		assertThat(this.state.fresh()).isFalse();
	}

	// -- helpers

	private void receiveRevision(String address, long revision, long now) {
		this.state.accept(new ConfigurationEvent.PeerRevisionReceived(address, revision), now);
	}

	private void receiveConfiguration(long revision) {
		this.state.accept(new ConfigurationEvent.ConfigurationRead(Configuration.of(revision, List.of())), 0);
	}

	private static List<ConfigurationCommand> configurationReads(List<ConfigurationCommand> commands) {
		return commands.stream()
			.filter((command) -> command instanceof ConfigurationCommand.ReadFromPeer
					|| command instanceof ConfigurationCommand.ReadFromStore)
			.toList();
	}

}
