package org.rosemaryfront.standin.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Random;

import org.rosemaryfront.standin.platform.Fault.Kind;
import org.rosemaryfront.standin.platform.Fault.Mode;
import org.rosemaryfront.standin.platform.Fault.Service;

/**
 * The faults in force; decides from the time passed in and seeded randomness what strikes
 * a call. Safe for use by several threads.
 */
final class Faults {

	private final List<Active> active = new ArrayList<>();

	/**
	 * Puts a fault in force.
	 * @param fault the fault
	 * @param nowMillis the time now, in milliseconds
	 */
	synchronized void begin(Fault fault, long nowMillis) {
		Objects.requireNonNull(fault, "fault is null");
		this.active.add(new Active(fault, nowMillis + fault.millis(), fault.random()));
	}

	/** Ends all faults. */
	synchronized void clear() {
		this.active.clear();
	}

	/**
	 * Whether a fault of a kind strikes now; for kinds that are not about single calls.
	 * @param kind the kind
	 * @param nowMillis the time now, in milliseconds
	 * @return whether one strikes
	 */
	synchronized boolean strikes(Kind kind, long nowMillis) {
		return inForce(nowMillis).stream().anyMatch((each) -> each.fault.kind() == kind && each.draw());
	}

	/**
	 * What strikes a call.
	 * @param service the service called
	 * @param table the table called, empty for none
	 * @param write whether the call changes something
	 * @param nowMillis the time now, in milliseconds
	 * @return the effect on the call
	 */
	synchronized Effect on(Service service, String table, boolean write, long nowMillis) {
		Effect effect = Effect.NONE;
		for (Active each : inForce(nowMillis)) {
			if (each.fault.strikes(service, table) && each.draw()) {
				effect = effect.and(each.fault, write);
			}
		}
		return effect;
	}

	private List<Active> inForce(long nowMillis) {
		this.active.removeIf((each) -> each.endMillis <= nowMillis);
		return this.active;
	}

	/** What becomes of a call. */
	enum Ending {

		/** It takes effect and is answered. */
		ANSWERED,

		/** It takes effect, and the connection closes without an answer. */
		LOST,

		/** It takes effect, and no answer comes. */
		LOST_AND_SILENT,

		/** It has no effect, and no answer comes. */
		SILENT,

		/** It has no effect, and the answer says so. */
		REFUSED

	}

	/**
	 * The effect of all faults on one call.
	 *
	 * @param delayMillis how long it waits before it takes effect, in milliseconds
	 * @param ending what becomes of it
	 */
	record Effect(long delayMillis, Ending ending) {

		/** No fault. */
		static final Effect NONE = new Effect(0, Ending.ANSWERED);

		private Effect and(Fault fault, boolean write) {
			boolean hang = fault.mode() == Mode.HANG;
			return switch (fault.kind()) {
				case OUTAGE -> worse(hang ? Ending.SILENT : Ending.REFUSED);
				case LOST_ANSWER -> write ? worse(hang ? Ending.LOST_AND_SILENT : Ending.LOST) : this;
				case SLOW -> new Effect(this.delayMillis + fault.delayMillis(), this.ending);
				case REFUSE_STARTS, FREEZE_VM_LIST, LOSE_NOTICES -> this;
			};
		}

		private Effect worse(Ending other) {
			return (other.compareTo(this.ending) > 0) ? new Effect(this.delayMillis, other) : this;
		}

	}

	private record Active(Fault fault, long endMillis, Random random) {

		boolean draw() {
			return this.random.nextDouble() < this.fault.probability();
		}

	}

}
