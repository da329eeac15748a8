package org.rosemaryfront.admission;

import java.util.Locale;
import java.util.Random;

import org.junit.jupiter.api.Test;

import org.rosemaryfront.admission.AdmissionDecision.Admitted;
import org.rosemaryfront.admission.AdmissionDecision.Reason;
import org.rosemaryfront.admission.AdmissionDecision.Refused;
import org.rosemaryfront.admission.AdmissionLoad.Faults;
import org.rosemaryfront.admission.AdmissionLoad.Rule;

class AdmissionLoadTests {

	/** Each call alone, at a limit by its priority. */
	private static final Rule EACH_ALONE = AdmissionLoadTests::alone;

	private static final Rule COMMON_LIMITS = (admission, call, expected, _) -> admission.decide(call, expected);

	private static AdmissionDecision alone(Admission admission, CallDemand call, ExpectedTime expected, Random random) {
		double limit = call.targetMillis() * Math.max(0.8, 1.8 - 0.4 * call.priority());
		return (expected.firstTokenMillis() <= limit) ? new Admitted(limit)
				: new Refused(limit, 250 + random.nextInt(500), Reason.LATE);
	}

	@Test
	void trial() {
		for (int count : new int[] { 9, 72 }) {
			for (long seed = 1; seed <= 2; seed++) {
				print("unloaded", AdmissionLoad.run(count, seed, EACH_ALONE, Faults.NONE, false));
				print("alone", AdmissionLoad.run(count, seed, EACH_ALONE, Faults.NONE, true));
				print("common", AdmissionLoad.run(count, seed, COMMON_LIMITS, Faults.NONE, true));
			}
		}
	}

	private static void print(String name, AdmissionLoad load) {
		System.out.println(String.format(Locale.ROOT,
				"%-9s urgent %.3f modest %.3f (%.3f %.3f %.3f) greedy %.3f (%.3f %.3f %.3f) work %.3f after %.3f", name,
				load.inTime((r) -> r.kind == 0), load.inTime((r) -> r.organisation != 0),
				load.inTime((r) -> r.organisation != 0 && r.kind == 0),
				load.inTime((r) -> r.organisation != 0 && r.kind == 1),
				load.inTime((r) -> r.organisation != 0 && r.kind == 2), load.inTime((r) -> r.organisation == 0),
				load.inTime((r) -> r.organisation == 0 && r.kind == 0),
				load.inTime((r) -> r.organisation == 0 && r.kind == 1),
				load.inTime((r) -> r.organisation == 0 && r.kind == 2), load.work(),
				load.inTime((_) -> true, 10_000, 11_000)));
	}

}
