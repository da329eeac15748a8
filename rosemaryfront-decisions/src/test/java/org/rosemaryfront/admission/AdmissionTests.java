package org.rosemaryfront.admission;

import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rosemaryfront.admission.AdmissionDecision.Admitted;
import org.rosemaryfront.admission.AdmissionDecision.Reason;
import org.rosemaryfront.admission.AdmissionDecision.Refused;

import static org.assertj.core.api.Assertions.assertThat;

class AdmissionTests {

	private static final String SERVICE = "answers";

	private static final long TARGET_MILLIS = 1_000;

	private static final long REMAINING_MILLIS = 9_000;

	private double draw = 0.5;

	private final Admission admission = Admission.of(() -> this.draw);

	AdmissionTests() {
		this.admission.urgentTargets(Map.of(SERVICE, new UrgentTarget(0, TARGET_MILLIS)));
		this.admission.demands(
				Map.of("modest", new OrganisationDemand(100, 1), "greedy", new OrganisationDemand(700, 1)),
				TimeUnit.MILLISECONDS.toNanos(200));
	}

	@ParameterizedTest
	@CsvSource({ "0,1800", "1,1400", "2,1000", "3,800", "9,800" })
	void shouldLimitFirstTokenByPriorityAloneWhenCallerHasNoOrganisation(int priority, double limit) {
		CallDemand call = call("", priority);
		assertThat(decide(call, limit - 1, limit)).isEqualTo(new Admitted(limit));
		assertThat(decide(call, 0, limit + 1)).isInstanceOf(Refused.class);
	}

	@ParameterizedTest
	@CsvSource({ "modest,0", "modest,3", "greedy,0", "greedy,2" })
	void shouldAdmitAllWhenWaitIsShort(String organisation, int priority) {
		this.draw = 0.999;
		assertThat(decide(call(organisation, priority), 300, 800)).isInstanceOf(Admitted.class);
	}

	@Test
	void shouldRefuseLessUrgentBeforeMoreUrgentWhenWaitGrows() {
		double[] limits = { limit(call("modest", 0)), limit(call("modest", 1)), limit(call("modest", 2)),
				limit(call("modest", 3)) };
		assertThat(limits[0]).isGreaterThan(TARGET_MILLIS);
		assertThat(limits[1]).isLessThan(TARGET_MILLIS).isGreaterThan(limits[2]);
		assertThat(limits[2]).isGreaterThan(limits[3]);
	}

	@ParameterizedTest
	@ValueSource(ints = { 0, 1, 2, 3 })
	void shouldRefuseOrganisationThatAsksForMoreBeforeOthers(int priority) {
		assertThat(limit(call("greedy", priority))).isLessThan(limit(call("modest", priority)));
		assertThat(decide(call("greedy", 1), 600, 650)).isInstanceOfSatisfying(Refused.class,
				(refused) -> assertThat(refused.reason()).isEqualTo(Reason.OVER_SHARE));
	}

	@Test
	void shouldTreatOrganisationsAlikeWhenDemandIsProportionalToWeight() {
		this.admission
			.demands(Map.of("modest", new OrganisationDemand(100, 1), "greedy", new OrganisationDemand(700, 7)), 0);
		assertThat(limit(call("greedy", 1))).isEqualTo(limit(call("modest", 1)));
	}

	// Guards against refusing a call always because its own prompt takes longer than the
	// target, and against sending it where it waits long or cannot be answered.
	@ParameterizedTest
	@CsvSource({ "1500, 300, 9000, true", "1500, 340, 9000, false", "1500, 0, 1400, false", "1000, 450, 9000, false" })
	void shouldAdmitCallLateByItsOwnPromptWhenItHardlyWaits(double ownMillis, double waitMillis, long remainingMillis,
			boolean admitted) {
		CallDemand call = new CallDemand(SERVICE, "modest", 1, 1_000, TARGET_MILLIS, remainingMillis, TARGET_MILLIS);
		AdmissionDecision decision = this.admission.decide(call,
				new ExpectedTime(waitMillis, ownMillis + waitMillis, ownMillis));
		assertThat(decision instanceof Admitted).isEqualTo(admitted);
	}

	// Guards against long prompts that are late anyway ahead of calls that can be in
	// time.
	@ParameterizedTest
	@CsvSource({ "0.4, 400, true", "0.6, 400, false", "0.6, 300, true" })
	void shouldRefuseHalfOfCallsLateByTheirOwnPromptsWhenOthersYield(double draw, double meanWaitMillis,
			boolean admitted) {
		this.draw = draw;
		AdmissionDecision decision = this.admission.decide(call("modest", 1),
				new ExpectedTime(meanWaitMillis, 1_600, 1_500));
		assertThat(decision instanceof Admitted).isEqualTo(admitted);
	}

	// Guards against admitting calls late that only waited for too long at a gateway.
	@Test
	void shouldRefuseCallThatWaitedWhenItsOwnPromptIsShort() {
		CallDemand call = new CallDemand(SERVICE, "modest", 1, 1_000, 100, REMAINING_MILLIS, TARGET_MILLIS);
		assertThat(this.admission.decide(call, new ExpectedTime(0, 500, 400))).isInstanceOf(Refused.class);
	}

	// Guards against starving the least urgent calls while more urgent ones fill the
	// room.
	@Test
	void shouldKeepLowestPlacesWhenWaitIsLong() {
		this.draw = 0.02;
		assertThat(decide(call("greedy", 2), 900, 950)).isInstanceOf(Admitted.class);
	}

	// Guards against breaking off streams for more urgent calls.
	@Test
	void shouldAdmitLessUrgentCallThatMayHaveRunWhenWaitIsLong() {
		CallDemand begun = new CallDemand(SERVICE, "greedy", 2, 1_000, REMAINING_MILLIS, REMAINING_MILLIS,
				TARGET_MILLIS);
		assertThat(decide(begun, 2_000, 2_100)).isInstanceOf(Admitted.class);
	}

	@Test
	void shouldCallBackWithinThirdOfRemainingTimeTheMoreUrgentTheSooner() {
		long last = 0;
		for (int priority = 0; priority < 4; priority++) {
			Refused refused = (Refused) decide(call("greedy", priority), 1_700, 1_750);
			assertThat(refused.retryAfterMillis()).isGreaterThan(last).isLessThanOrEqualTo(REMAINING_MILLIS / 3);
			last = refused.retryAfterMillis();
		}
	}

	@Test
	void shouldCallBackOnceWaitHasDrainedToLimit() {
		Refused refused = (Refused) decide(call("modest", 1), 2_000, 1_300);
		assertThat(refused.retryAfterMillis()).isGreaterThanOrEqualTo((long) (2_000 - refused.limitMillis()));
	}

	@Test
	void shouldCallBackWithinThirdOfRemainingTimeWhenLittleIsLeft() {
		CallDemand call = new CallDemand(SERVICE, "modest", 1, 1_000, 20, 90, TARGET_MILLIS);
		assertThat(((Refused) decide(call, 2_000, 2_050)).retryAfterMillis()).isBetween(1L, 30L);
	}

	@ParameterizedTest
	@CsvSource({ "NaN,1", "-1,1", "Infinity,1", "5,0", "5,-1", "5,NaN" })
	void shouldCountAndIgnoreDemandWhenItIsOutOfRange(double tokens, double weight) {
		this.admission.demands(Map.of("modest", new OrganisationDemand(100, 1), "greedy",
				new OrganisationDemand(700, 1), "broken", new OrganisationDemand(tokens, weight)), 0);
		assertThat(this.admission.invalidDemands()).isOne();
		assertThat(this.admission.demandRatio("greedy")).isEqualTo(1.75);
	}

	@Test
	void shouldCountRefusalsByReason() {
		decide(call("greedy", 1), 900, 950);
		decide(call("modest", 1), 900, 950);
		decide(call("", 1), 900, 2_000);
		assertThat(Reason.values()).allSatisfy((reason) -> assertThat(this.admission.refusals(reason)).isOne());
	}

	@Test
	void shouldReturnAgeOfDemands() {
		assertThat(this.admission.demandsAgeMillis(TimeUnit.MILLISECONDS.toNanos(450))).hasValue(250);
		assertThat(Admission.of(() -> 0).demandsAgeMillis(0)).isEmpty();
	}

	private double limit(CallDemand call) {
		return ((Admitted) decide(call, 0, 100)).limitMillis();
	}

	private AdmissionDecision decide(CallDemand call, double waitMillis, double firstTokenMillis) {
		return this.admission.decide(call, new ExpectedTime(waitMillis, firstTokenMillis, 0));
	}

	private static CallDemand call(String organisation, int priority) {
		return new CallDemand(SERVICE, organisation, priority, 1_000, TARGET_MILLIS, REMAINING_MILLIS, TARGET_MILLIS);
	}

}
