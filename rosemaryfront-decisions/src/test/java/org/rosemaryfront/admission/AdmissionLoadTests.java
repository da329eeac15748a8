package org.rosemaryfront.admission;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rosemaryfront.admission.AdmissionDecision.Admitted;
import org.rosemaryfront.admission.AdmissionDecision.Reason;
import org.rosemaryfront.admission.AdmissionDecision.Refused;
import org.rosemaryfront.admission.AdmissionLoad.Faults;
import org.rosemaryfront.admission.AdmissionLoad.Request;
import org.rosemaryfront.admission.AdmissionLoad.Rule;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Twice the room is asked for 6 s, when one organisation asks for 5 times its usual.
 */
class AdmissionLoadTests {

	/** Each call alone, at a limit by its priority. */
	private static final Rule EACH_ALONE = AdmissionLoadTests::alone;

	private static final Rule COMMON_LIMITS = (admission, call, expected, _) -> admission.decide(call, expected);

	private static final Predicate<Request> URGENT = (request) -> request.kind == 0;

	private static final Predicate<Request> MODEST = (request) -> request.organisation != AdmissionLoad.GREEDY;

	@ParameterizedTest
	@CsvSource({ "9,1", "9,2", "72,1", "72,2", "72,3", "385,1" })
	void shouldServeUrgentAndModestInTimeWhenOneOrganisationAsksForManyTimesItsUsual(int gateways, long seed) {
		AdmissionLoad unloaded = AdmissionLoad.run(gateways, seed, COMMON_LIMITS, Faults.NONE, false);
		AdmissionLoad alone = AdmissionLoad.run(gateways, seed, EACH_ALONE, Faults.NONE, true);
		AdmissionLoad common = AdmissionLoad.run(gateways, seed, COMMON_LIMITS, Faults.NONE, true);
		print("unloaded", gateways, seed, unloaded);
		print("each alone", gateways, seed, alone);
		print("common", gateways, seed, common);
		assertThat(common.inTime(URGENT)).isGreaterThan(0.99 * unloaded.inTime(URGENT));
		assertThat(common.inTime(MODEST)).isGreaterThan(0.98 * unloaded.inTime(MODEST));
		assertThat(common.work()).isGreaterThan(0.95);
		assertThat(common.inTime((_) -> true, AdmissionLoad.BURST_END + 1_000, AdmissionLoad.END - 3_000))
			.isGreaterThan(0.98);
	}

	@ParameterizedTest
	@CsvSource({ "9,1", "72,1" })
	void shouldRefuseNobodyWhenThereIsRoom(int gateways, long seed) {
		AdmissionLoad unloaded = AdmissionLoad.run(gateways, seed, COMMON_LIMITS, Faults.NONE, false);
		assertThat(unloaded.refused((_) -> true)).isLessThan(0.01);
		assertThat(unloaded.inTime((_) -> true)).isGreaterThan(0.99);
	}

	@ParameterizedTest
	@CsvSource({ "0.1,0.1,0,0,0", "0,0,3,0,0", "0,0,0,1,0", "0,0,0,0,2", "0.1,0.1,1,1,1" })
	void shouldServeUrgentAndModestInTimeWhenGatewaysAndLinksFail(double lost, double late, int down, int cut,
			int deaf) {
		AdmissionLoad load = AdmissionLoad.run(72, 1, COMMON_LIMITS, new Faults(lost, late, down, cut, deaf), true);
		print("faults", 72, 1, load);
		assertThat(load.inTime(URGENT)).isGreaterThan(0.98);
		assertThat(load.inTime(MODEST)).isGreaterThan(0.97);
		assertThat(load.work()).isGreaterThan(0.95);
	}

	// Guards against refusing large prompts for their own time to first token.
	@ParameterizedTest
	@CsvSource({ "0", "1", "2" })
	void shouldServeLargePromptsAsOftenAsTheirKind(int kind) {
		List<AdmissionLoad> loads = LongStream.rangeClosed(1, 4)
			.mapToObj((seed) -> AdmissionLoad.run(72, seed, COMMON_LIMITS, Faults.NONE, true))
			.toList();
		double served = mean(loads, (request) -> request.kind == kind);
		double large = mean(loads, (request) -> request.kind == kind && request.isLarge());
		System.out.println(String.format(Locale.ROOT, "kind %d: served %.3f, largest tenth %.3f", kind, served, large));
		assertThat(large).isGreaterThan(0.9 * served);
		assertThat(served).isGreaterThan(0.1);
	}

	// Guards against refusing the largest prompts always, because their own time to first
	// token exceeds the target at any server.
	@ParameterizedTest
	@CsvSource({ "0,false", "1,false", "2,false", "0,true", "1,true", "2,true" })
	void shouldServeLargestPromptsWhenTheyTakeLongerThanTarget(int kind, boolean bursting) {
		List<AdmissionLoad> loads = LongStream.rangeClosed(1, 4)
			.mapToObj((seed) -> AdmissionLoad.run(AdmissionLoad.LONG_PROMPTS, 72, seed, COMMON_LIMITS, Faults.NONE,
					bursting))
			.toList();
		double served = mean(loads, (request) -> request.kind == kind);
		double large = mean(loads, (request) -> request.kind == kind && request.isLarge());
		System.out.println(String.format(Locale.ROOT, "kind %d, burst %b: served %.3f, largest tenth %.3f", kind,
				bursting, served, large));
		assertThat(large).isGreaterThan(0.5 * served);
		assertThat(served).isGreaterThan(0.1);
	}

	@Test
	void shouldServeSameCallAlikeAtEachGatewayWhenCallersAreUnequal() {
		List<AdmissionLoad> loads = LongStream.rangeClosed(1, 6)
			.mapToObj((seed) -> AdmissionLoad.run(72, seed, COMMON_LIMITS, Faults.NONE, true))
			.toList();
		List<Double> parts = new ArrayList<>();
		for (int third : IntStream.range(0, 3).toArray()) {
			parts.add(mean(loads,
					(request) -> request.kind == 1 && !MODEST.test(request) && request.gateway / 24 == third));
		}
		System.out.println("served by third of the gateways: " + parts);
		assertThat(Collections.max(parts) - Collections.min(parts)).isLessThan(0.03);
	}

	private static double mean(List<AdmissionLoad> loads, Predicate<Request> which) {
		return loads.stream().mapToDouble((load) -> load.served(which)).average().orElseThrow();
	}

	private static AdmissionDecision alone(Admission admission, CallDemand call, ExpectedTime expected, Random random) {
		double limit = call.targetMillis() * Math.max(0.8, 1.8 - 0.4 * call.priority());
		return (expected.firstTokenMillis() <= limit) ? new Admitted(limit)
				: new Refused(limit, 250 + random.nextInt(500), expected.waitMillis(), Reason.LATE);
	}

	private static void print(String name, int gateways, long seed, AdmissionLoad load) {
		System.out.println(String.format(Locale.ROOT,
				"%-10s gateways %3d seed %d: in time urgent %.3f, modest %.3f, greedy %.3f; work %.3f, after %.3f",
				name, gateways, seed, load.inTime(URGENT), load.inTime(MODEST), load.inTime(MODEST.negate()),
				load.work(), load.inTime((_) -> true, AdmissionLoad.BURST_END + 1_000, AdmissionLoad.END - 3_000)));
	}

}
