package org.rosemaryfront.load;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

import org.rosemaryfront.load.LoadReport.Bookings;

/** What callers were told about each booking, to be compared with what ran. */
final class BookingLedger {

	private final Map<String, Set<Told>> told = new ConcurrentHashMap<>();

	private final LongAdder calls = new LongAdder();

	void sent(String key) {
		this.calls.increment();
		this.told.computeIfAbsent(key, (_) -> EnumSet.noneOf(Told.class));
	}

	void told(String key, Told answer) {
		this.told.computeIfPresent(key, (_, answers) -> {
			answers.add(answer);
			return answers;
		});
	}

	// Compares with how often each key ran, unless nobody was asked.
	Bookings compare(Map<String, Integer> executions, boolean compared) {
		long created = 0;
		long notRun = 0;
		long uncertain = 0;
		long unanswered = 0;
		long doubled = 0;
		long falseNotRun = 0;
		long misled = 0;
		long phantom = 0;
		List<String> wrong = new ArrayList<>();
		for (Map.Entry<String, Set<Told>> booking : this.told.entrySet()) {
			Set<Told> answers = booking.getValue();
			int ran = executions.getOrDefault(booking.getKey(), 0);
			boolean onlyNotRun = answers.equals(EnumSet.of(Told.NOT_RUN));
			created += answers.contains(Told.CREATED) ? 1 : 0;
			notRun += onlyNotRun ? 1 : 0;
			uncertain += (answers.contains(Told.MAY_HAVE_RUN) && !answers.contains(Told.CREATED)) ? 1 : 0;
			unanswered += EnumSet.of(Told.NOTHING).containsAll(answers) ? 1 : 0;
			boolean twice = compared && ran > 1;
			boolean ranAfterAll = compared && onlyNotRun && ran > 0;
			boolean never = compared && answers.contains(Told.CREATED) && ran == 0;
			doubled += twice ? 1 : 0;
			falseNotRun += ranAfterAll ? 1 : 0;
			misled += (compared && answers.equals(EnumSet.of(Told.NOT_RUN, Told.NOTHING)) && ran > 0) ? 1 : 0;
			phantom += never ? 1 : 0;
			if (twice || ranAfterAll || never) {
				wrong.add(booking.getKey());
			}
		}
		return new Bookings(this.told.size(), this.calls.sum(), created, notRun, uncertain, unanswered, doubled,
				falseNotRun, misled, phantom, compared, wrong);
	}

	/** What a caller was told. */
	enum Told {

		/** It ran; the service's own answer. */
		CREATED,

		/** It ran, the answer is gone. */
		RAN,

		/** It may have run. */
		MAY_HAVE_RUN,

		/** It did not run. */
		NOT_RUN,

		/** The connection broke without an answer. */
		NOTHING

	}

}
