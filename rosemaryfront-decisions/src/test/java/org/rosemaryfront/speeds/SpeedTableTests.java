package org.rosemaryfront.speeds;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rosemaryfront.dispatch.BackendServer.Incarnation;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class SpeedTableTests {

	private static final String SERVICE = "llm";

	private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	/** The deviation of the logarithm of a measured time. */
	private static final double NOISE = 0.3;

	private final SpeedTable table = SpeedTable.empty();

	private final Random random = new Random(7);

	// -- learning

	@Test
	void shouldExpectTypicalServerWhenNothingIsKnown() {
		ServerSpeed speed = speed(server(1), 0);
		assertThat(speed.timeFactor()).isEqualTo(1);
		assertThat(speed.calls()).isZero();
	}

	// Guards against a factor that settles at the square root of the true one.
	@ParameterizedTest
	@ValueSource(doubles = { 0.6, 1.0, 1.6 })
	void shouldKnowSpeedWithinFifthWhenServerHadFourCallsASecondForTwoSeconds(double factor) {
		long now = learnTypicalServers(0);
		now = calls(server(99), factor, 8, 250 * MILLI, now);
		assertThat(speed(server(99), now + SECOND).timeFactor()).isCloseTo(factor, within(factor / 5));
	}

	// Guards against measurements of all gateways that shift together, because the
	// expected time is that of the servers that get most calls.
	@Test
	void shouldCompareWithMedianWhenAllServersTakeLongerThanExpected() {
		for (int id = 0; id < 9; id++) {
			calls(server(id), (id == 8) ? 4 : 2, 32, 100 * MILLI, 0);
		}
		assertThat(speed(server(0), 10 * SECOND).timeFactor()).isCloseTo(1, within(0.15));
		assertThat(speed(server(8), 10 * SECOND).timeFactor()).isCloseTo(2, within(0.4));
	}

	@Test
	void shouldKnowSpeedAgainWhenServerChanges() {
		long now = learnTypicalServers(0);
		now = calls(server(99), 0.6, 200, 100 * MILLI, now);
		now = calls(server(99), 1.6, 100, 100 * MILLI, now);
		assertThat(speed(server(99), now + 2 * SECOND).timeFactor()).isCloseTo(1.6, within(0.32));
	}

	@Test
	void shouldForgetSpeedWhenItsMeasurementsAreOld() {
		long now = learnTypicalServers(0);
		now = calls(server(99), 3, 100, 100 * MILLI, now);
		assertThat(speed(server(99), now + 300 * SECOND).timeFactor()).isCloseTo(1, within(0.1));
		assertThat(speed(server(99), now + 300 * SECOND).deviation()).isGreaterThan(speed(server(99), now).deviation());
	}

	// -- slow phases

	@Test
	void shouldBelieveSlowPhaseOnlyWhileItsMeasurementsAreYoung() {
		long now = learnTypicalServers(0);
		now = calls(server(1), 2.5, 6, 50 * MILLI, now);
		assertThat(speed(server(1), now).timeFactor()).isGreaterThan(1.6);
		assertThat(speed(server(1), now + SECOND).timeFactor()).isLessThan(1.35);
	}

	// Guards against a server that attracts calls by fast responses for a moment.
	@Test
	void shouldNotBelieveFastPhase() {
		long now = learnTypicalServers(0);
		now = calls(server(1), 0.2, 4, 50 * MILLI, now);
		assertThat(speed(server(1), now).timeFactor()).isGreaterThan(0.75);
	}

	// -- exchange between gateways

	@Test
	void shouldKnowSameSpeedWhenAnotherGatewayReportsIt() {
		SpeedTable other = SpeedTable.empty();
		for (int i = 0; i < 10; i++) {
			this.table.record(server(1), SERVICE, 1.5, i * MILLI);
		}
		this.table.takeSamples().forEach((sample) -> assertThat(other.receive(sample, SERVICE, 9 * MILLI)).isTrue());
		assertThat(other.speed(server(1), SERVICE, SECOND).timeFactor())
			.isCloseTo(speed(server(1), SECOND).timeFactor(), within(0.01));
		assertThat(other.speed(server(1), SERVICE, SECOND).calls()).isEqualTo(10);
		assertThat(other.takeSamples()).isEmpty();
		assertThat(this.table.takeSamples()).isEmpty();
	}

	@ParameterizedTest
	@CsvSource({ "0, 0", "-1, 1", "1, NaN", "1, Infinity", "1, 2", "10, -20", "2000000000, 0" })
	void shouldChangeNothingWhenSampleIsInvalid(int calls, double logRatioSum) {
		assertThat(this.table.receive(new SpeedSample(server(1), calls, logRatioSum), SERVICE, 0)).isFalse();
		assertThat(speed(server(1), 0).calls()).isZero();
	}

	@ParameterizedTest
	@ValueSource(doubles = { 0, -1, Double.NaN, Double.POSITIVE_INFINITY })
	void shouldChangeNothingWhenRatioIsInvalid(double ratio) {
		this.table.record(server(1), SERVICE, ratio, 0);
		assertThat(this.table.takeSamples()).isEmpty();
	}

	// -- servers that come and go

	@Test
	void shouldStartAtTypicalSpeedWhenServerRestarts() {
		calls(server(1), 3, 30, 100 * MILLI, 0);
		Incarnation restarted = new Incarnation("s1", 77);
		this.table.retain(Set.of(restarted));
		assertThat(speed(restarted, 3 * SECOND).timeFactor()).isEqualTo(1);
		assertThat(speed(server(1), 3 * SECOND).calls()).isZero();
	}

	@Test
	void shouldTellChangeOnceWhenLastingSpeedMoves() {
		long now = learnTypicalServers(0);
		now = calls(server(99), 1.6, 40, 100 * MILLI, now);
		assertThat(this.table.takeChanges(now)).extracting(SpeedTable.SpeedChange::server).containsExactly(server(99));
		assertThat(this.table.takeChanges(now)).isEqualTo(List.of());
	}

	private long learnTypicalServers(long now) {
		for (int id = 0; id < 9; id++) {
			calls(server(id), 1, 32, 100 * MILLI, now);
		}
		return now + 32 * 100 * MILLI;
	}

	private long calls(Incarnation server, double factor, int count, long intervalNanos, long start) {
		long now = start;
		for (int i = 0; i < count; i++) {
			this.table.record(server, SERVICE, factor * Math.exp(NOISE * this.random.nextGaussian()), now);
			now += intervalNanos;
		}
		return now;
	}

	private ServerSpeed speed(Incarnation server, long now) {
		return this.table.speed(server, SERVICE, now);
	}

	private static Incarnation server(int id) {
		return new Incarnation("s" + id, 0);
	}

}
