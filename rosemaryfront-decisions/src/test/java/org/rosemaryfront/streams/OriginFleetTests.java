package org.rosemaryfront.streams;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rosemaryfront.streams.OriginFleet.Way;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests in virtual time at which version streams go on that their callers take up. */
class OriginFleetTests {

	/** The share of the streams taken up that go on while two servers serve. */
	private static final double TARGET = 0.95;

	// Guards against streams of two versions, and against streams that are refused
	// because
	// the gateway that began them was killed.
	@ParameterizedTest
	@CsvSource({ "9, 20, 1", "9, 20, 2", "9, 100, 3", "87, 200, 4" })
	void shouldGoOnAtVersionThatBeganStreamWhenGatewaysFail(int gateways, double rate, long seed) {
		assertTarget(play(Way.HOLDERS, gateways, rate, seed));
	}

	@ParameterizedTest
	@CsvSource({ "385, 1200, 5" })
	void shouldGoOnAtVersionThatBeganStreamInLargeFleet(int gateways, double rate, long seed) {
		assertTarget(playBriefly(Way.HOLDERS, gateways, rate, seed));
	}

	private static void assertTarget(OriginFleet fleet) {
		assertThat(fleet.joined()).as(fleet.summary()).isZero();
		assertThat(fleet.takenUp()).as(fleet.summary()).isGreaterThan(12);
		assertThat((double) fleet.wentOn() / fleet.takenUp()).as(fleet.summary()).isGreaterThan(TARGET);
	}

	static OriginFleet playBriefly(Way way, int gateways, double rate, long seed) {
		OriginFleet fleet = new OriginFleet(way, gateways, seed);
		fleet.streamsPerSecond(rate, 0.02);
		fleet.servers("v1", 6);
		fleet.run(1_500);
		fleet.servers("v2", 3);
		fleet.servers("v3", 3);
		fleet.lose(0.02);
		fleet.kill(fleet.some(gateways / 9));
		fleet.run(2_000);
		fleet.kill(fleet.some(gateways / 9));
		fleet.cutOff(fleet.some(gateways / 20), 1_000);
		fleet.run(2_000);
		return fleet;
	}

	static OriginFleet play(Way way, int gateways, double rate, long seed) {
		OriginFleet fleet = new OriginFleet(way, gateways, seed);
		fleet.streamsPerSecond(rate, 0.05);
		fleet.servers("v1", 6);
		fleet.run(4_000);
		fleet.servers("v2", 3);
		int part = Math.max(1, gateways / 9);
		fleet.kill(fleet.some(part));
		fleet.run(2_000);
		fleet.kill(fleet.some(gateways / 2));
		fleet.run(4_000);
		fleet.servers("v1", 3);
		fleet.lose(0.05);
		fleet.cutOff(fleet.some(part), 3_000);
		fleet.run(1_000);
		fleet.kill(fleet.some(part));
		fleet.run(3_000);
		fleet.servers("v3", 3);
		fleet.pause(fleet.some(1).getFirst(), 2_000);
		List<Integer> series = fleet.some(gateways / 3);
		for (int gateway : series) {
			fleet.kill(List.of(gateway));
			fleet.run(3_000 / series.size());
		}
		fleet.lose(0);
		fleet.run(3_000);
		fleet.killAll(20_000 / gateways);
		fleet.servers("v1", 0);
		fleet.run(4_000);
		return fleet;
	}

}
