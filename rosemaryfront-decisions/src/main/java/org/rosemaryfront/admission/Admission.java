package org.rosemaryfront.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

import org.rosemaryfront.admission.AdmissionDecision.Admitted;
import org.rosemaryfront.admission.AdmissionDecision.Reason;
import org.rosemaryfront.admission.AdmissionDecision.Refused;

/**
 * Decides which calls of organisations are admitted while a service has less room than is
 * asked for. Confined to one thread.
 *
 * <p>
 * Each call draws a place in the demand of its organisation: a random part of what the
 * organisation asks, relative to the average organisation, and several times that for
 * less urgent calls. The longer the wait at the best server, the lower are the places
 * that are admitted. The wait therefore settles where the admitted places fill the room.
 * Organisations that ask for less than this level are not affected, all others get the
 * same, and no gateway has to know the room.
 */
public final class Admission {

	/**
	 * The factor by which the expected time to first token may exceed the target for the
	 * most urgent calls: beyond it the call would be late and delay the calls queued
	 * after it. The factor is lower for less urgent calls, so that a server short of
	 * capacity never rejects an urgent call in favour of a less urgent one.
	 */
	private static final double LATENESS_FACTOR = 1.8;

	private static final double LATENESS_FACTOR_STEP = 0.4;

	private static final double MIN_LATENESS_FACTOR = 0.8;

	/** The wait up to which no call yields, relative to the target of the most urgent. */
	private static final double MIN_WAIT_FACTOR = 0.32;

	/**
	 * The longest wait of a call that yields to more urgent ones, relative to their
	 * target. The rest of the target is left for the prompt before theirs and their own.
	 */
	private static final double MAX_WAIT_FACTOR = 0.65;

	/** The factor between the places of one priority and those of the next. */
	private static final double PRIORITY_FACTOR = 3;

	/** Sets how far the waits of low places and those of high places are apart. */
	private static final double PLACE_EXPONENT = 1.5;

	/** The lowest places of each organisation and priority, which yield to no other. */
	private static final double KEPT_FRACTION = 0.03;

	/**
	 * Of the calls that are late by their own prompts, the lowest places, which get room
	 * like the others of their kind; the rest yields to calls that can be in time.
	 */
	private static final double KEPT_LATE_FRACTION = 0.5;

	/**
	 * Of the calls that are believed to time out although none is before them, the
	 * highest places, which are sent nevertheless: what is believed is corrected by calls
	 * only.
	 */
	private static final double TRIAL_FRACTION = 0.2;

	/** The part of the time left within which a refused caller returns. */
	private static final double RETRY_FRACTION = 1 / 3.0;

	/** The time to come back without a wait to drain, in milliseconds. */
	private static final double MIN_RETRY_MILLIS = 250;

	private final DoubleSupplier random;

	private final Map<String, UrgentTarget> urgentTargets = new HashMap<>();

	private final Map<String, Double> demandRatios = new HashMap<>();

	/** Read on any thread. */
	private final Map<Reason, Long> refusals = new ConcurrentHashMap<>();

	private OptionalLong demandsNanos = OptionalLong.empty();

	private long invalidDemands;

	private Admission(DoubleSupplier random) {
		this.random = random;
	}

	/**
	 * Creates an admission that knows no demand and no targets.
	 * @param random a source of random numbers from 0 (inclusive) to 1 (exclusive)
	 * @return the admission
	 */
	public static Admission of(DoubleSupplier random) {
		return new Admission(random);
	}

	/**
	 * Sets the targets of the most urgent calls.
	 * @param targets the targets by service
	 */
	public void urgentTargets(Map<String, UrgentTarget> targets) {
		this.urgentTargets.clear();
		this.urgentTargets.putAll(targets);
	}

	/**
	 * Sets what the organisations ask at all gateways. Values out of range are counted
	 * and ignored.
	 * @param demands the demand by organisation
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void demands(Map<String, OrganisationDemand> demands, long nowNanos) {
		Map<String, OrganisationDemand> valid = new HashMap<>(demands);
		valid.values().removeIf((demand) -> !demand.isValid());
		this.invalidDemands += demands.size() - valid.size();
		double tokens = valid.values().stream().mapToDouble(OrganisationDemand::tokensPerSecond).sum();
		double weights = valid.values().stream().mapToDouble(OrganisationDemand::weight).sum();
		this.demandRatios.clear();
		if (tokens > 0) {
			valid.forEach((name, demand) -> this.demandRatios.put(name, demand.perWeight() * weights / tokens));
		}
		this.demandsNanos = OptionalLong.of(nowNanos);
	}

	/**
	 * Decides on a call. A call without an organisation, or whose time to its first token
	 * is all of its remaining time because it may have run, is refused only if it would
	 * be late. A call whose own prompt makes it late is refused only if it would also
	 * wait for others, or, but for a part of them, if it is expected to time out.
	 * @param call the call
	 * @param expected the expected times
	 * @return the decision
	 */
	public AdmissionDecision decide(CallDemand call, ExpectedTime expected) {
		double draw = this.random.getAsDouble();
		double latest = latestMillis(call, expected, draw);
		Place place = place(call, draw);
		if (expected.firstTokenMillis() > latest) {
			return refused(call, expected, latest, expected.firstTokenMillis() - latest, place, Reason.LATE);
		}
		double limit = Math.min(latest, place.maxWaitMillis());
		if (expected.waitMillis() > limit) {
			return refused(call, expected, limit, expected.waitMillis() - limit, place, place.reason());
		}
		return new Admitted(limit);
	}

	// A call that is late by its own prompt is late whenever it comes. It is sent where
	// it hardly waits for others, if it can be answered at all, or to learn whether it
	// can.
	private double latestMillis(CallDemand call, ExpectedTime expected, double draw) {
		double factor = latenessFactor(call.priority());
		double latest = call.targetMillis() * factor;
		double shortWait = MIN_WAIT_FACTOR * urgentTarget(call).millis();
		double unavoidable = expected.ownMillis() + shortWait - call.fullTargetMillis() * factor;
		boolean waits = expected.waitMillis() > shortWait;
		if (unavoidable <= 0 || (waits && draw >= KEPT_LATE_FRACTION)) {
			return latest;
		}
		boolean isTrial = !waits && draw >= 1 - TRIAL_FRACTION && call.remainingMillis() > call.fullTargetMillis();
		return Math.max(latest,
				isTrial ? expected.firstTokenMillis() : Math.min(latest + unavoidable, call.remainingMillis()));
	}

	private UrgentTarget urgentTarget(CallDemand call) {
		return this.urgentTargets.getOrDefault(call.service(), new UrgentTarget(call.priority(), call.targetMillis()));
	}

	private static double latenessFactor(int priority) {
		return Math.max(MIN_LATENESS_FACTOR, LATENESS_FACTOR - LATENESS_FACTOR_STEP * priority);
	}

	private Place place(CallDemand call, double draw) {
		UrgentTarget urgent = urgentTarget(call);
		int rank = Math.max(0, call.priority() - urgent.priority());
		double place = draw * demandRatio(call.organisation()) * Math.pow(PRIORITY_FACTOR, rank - 1);
		boolean yields = !call.organisation().isEmpty() && call.targetMillis() < call.remainingMillis()
				&& draw >= KEPT_FRACTION;
		double maxWait = yields ? waitFactor(rank, place) * urgent.millis() : Double.POSITIVE_INFINITY;
		return new Place(place, maxWait, reason(call, rank));
	}

	private Reason reason(CallDemand call, int rank) {
		if (demandRatio(call.organisation()) > 1) {
			return Reason.OVER_SHARE;
		}
		return (rank > 0) ? Reason.LESS_URGENT : Reason.LATE;
	}

	// The most urgent calls yield to one another only beyond the wait at which all less
	// urgent ones have yielded.
	private static double waitFactor(int rank, double place) {
		double least = (rank == 0) ? MAX_WAIT_FACTOR : MIN_WAIT_FACTOR;
		double most = (rank == 0) ? LATENESS_FACTOR : MAX_WAIT_FACTOR;
		return least + (most - least) / (1 + Math.pow(place, PLACE_EXPONENT));
	}

	/**
	 * Returns what an organisation asks for, relative to the average organisation of its
	 * weight.
	 * @param organisation the name of the organisation
	 * @return the ratio, 1 if it is not known
	 */
	public double demandRatio(String organisation) {
		return this.demandRatios.getOrDefault(organisation, 1.0);
	}

	// A caller returns when the wait has drained to its limit, the later the less urgent
	// it is and the longer it can wait.
	private Refused refused(CallDemand call, ExpectedTime expected, double limit, double drainMillis, Place place,
			Reason reason) {
		double longest = Math.max(1, call.remainingMillis() * RETRY_FRACTION);
		double earliest = Math.min(longest, Math.max(MIN_RETRY_MILLIS, drainMillis));
		double square = place.position() * place.position();
		double spread = (longest - earliest) * square / (1 + square);
		this.refusals.merge(reason, 1L, Long::sum);
		return new Refused(limit, (long) (earliest + spread), expected.waitMillis(), reason);
	}

	/**
	 * Returns the age of the sums of what the organisations ask.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the age in milliseconds, empty before the first
	 */
	public OptionalLong demandsAgeMillis(long nowNanos) {
		return this.demandsNanos.isEmpty() ? OptionalLong.empty()
				: OptionalLong.of(TimeUnit.NANOSECONDS.toMillis(nowNanos - this.demandsNanos.getAsLong()));
	}

	/**
	 * Returns the refused calls since the start, on any thread.
	 * @param reason the reason
	 * @return the number of calls
	 */
	public long refusals(Reason reason) {
		return this.refusals.getOrDefault(reason, 0L);
	}

	/**
	 * Returns the demands that were out of range since the start.
	 * @return the number of demands
	 */
	public long invalidDemands() {
		return this.invalidDemands;
	}

	/**
	 * The place of a call in the demand of its organisation, with its longest wait and
	 * why it yields beyond it.
	 */
	private record Place(double position, double maxWaitMillis, Reason reason) {
	}

}
