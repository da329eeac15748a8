package org.rosemaryfront.standin.platform;

import java.util.Objects;
import java.util.Optional;
import java.util.Random;

/**
 * A fault of the stand-in platform that lasts for a time.
 *
 * @param kind what goes wrong
 * @param mode how the caller of a broken call learns of it
 * @param service the service it strikes; empty strikes the storage, tables and objects
 * @param table the one table it strikes, empty for all
 * @param millis how long it lasts, in milliseconds
 * @param delayMillis the delay of a slow call, in milliseconds
 * @param probability the share of calls struck, 0 to 1
 * @param seed the seed that decides which calls are struck
 */
public record Fault(Kind kind, Mode mode, Optional<Service> service, Optional<String> table, long millis,
		long delayMillis, double probability, long seed) {

	/** Lasts until the faults are cleared. */
	public static final long FOR_GOOD = Long.MAX_VALUE / 2;

	public Fault {
		Objects.requireNonNull(kind, "kind is null");
		Objects.requireNonNull(mode, "mode is null");
		Objects.requireNonNull(service, "service is null");
		Objects.requireNonNull(table, "table is null");
		if (millis < 0 || delayMillis < 0) {
			throw new IllegalArgumentException("millis and delayMillis must be 0 or more");
		}
		if (!(probability >= 0 && probability <= 1)) {
			throw new IllegalArgumentException("probability is " + probability + ", must be 0 to 1");
		}
	}

	// -- factories

	/**
	 * A fault that strikes every call to the storage.
	 * @param kind what goes wrong
	 * @param millis how long it lasts, in milliseconds
	 * @return the fault
	 */
	public static Fault of(Kind kind, long millis) {
		return new Fault(kind, Mode.REFUSE, Optional.empty(), Optional.empty(), millis, 0, 1, 0);
	}

	// -- changes

	/**
	 * The same fault with a delay.
	 * @param delay the delay of each call, in milliseconds
	 * @return the fault
	 */
	public Fault delayed(long delay) {
		return new Fault(this.kind, this.mode, this.service, this.table, this.millis, delay, this.probability,
				this.seed);
	}

	/**
	 * The same fault on one service.
	 * @param struck the service
	 * @return the fault
	 */
	public Fault on(Service struck) {
		return new Fault(this.kind, this.mode, Optional.of(struck), this.table, this.millis, this.delayMillis,
				this.probability, this.seed);
	}

	/**
	 * The same fault on one table.
	 * @param struck the table
	 * @return the fault
	 */
	public Fault onTable(String struck) {
		return new Fault(this.kind, this.mode, Optional.of(Service.TABLES), Optional.of(struck), this.millis,
				this.delayMillis, this.probability, this.seed);
	}

	/**
	 * The same fault on a share of the calls.
	 * @param share the share, 0 to 1
	 * @param chosen the seed that decides which calls are struck
	 * @return the fault
	 */
	public Fault sometimes(double share, long chosen) {
		return new Fault(this.kind, this.mode, this.service, this.table, this.millis, this.delayMillis, share, chosen);
	}

	/**
	 * The same fault with another mode.
	 * @param other how the caller learns of it
	 * @return the fault
	 */
	public Fault with(Mode other) {
		return new Fault(this.kind, other, this.service, this.table, this.millis, this.delayMillis, this.probability,
				this.seed);
	}

	// -- queries

	Random random() {
		return new Random(this.seed);
	}

	boolean strikes(Service called, String calledTable) {
		boolean strikesService = this.service.map((struck) -> struck == Service.ALL || struck == called)
			.orElse(called == Service.TABLES || called == Service.OBJECTS);
		return strikesService && this.table.map(calledTable::equals).orElse(true);
	}

	// -- variants

	/** What goes wrong. */
	public enum Kind {

		/** Calls have no effect: they are refused or get no answer. */
		OUTAGE,

		/** Calls take effect and are answered after a delay. */
		SLOW,

		/** Writes take effect and are not answered. */
		LOST_ANSWER,

		/** The cloud has no VMs to sell. */
		REFUSE_STARTS,

		/** The VM list stays as it is. */
		FREEZE_VM_LIST,

		/** Reclaims that begin give no notice. */
		LOSE_NOTICES

	}

	/** How the caller of a broken call learns of it. */
	public enum Mode {

		/** At once: an outage answers 503, a lost answer closes the connection. */
		REFUSE,

		/** Not at all: no answer comes, and the connection stays open. */
		HANG

	}

	/** The services of the platform. */
	public enum Service {

		/** The table service. */
		TABLES,

		/** The object store. */
		OBJECTS,

		/** The cloud API. */
		CLOUD,

		/** The VM list. */
		VMLIST,

		/** The weight store. */
		WEIGHTS,

		/** All of them. */
		ALL

	}

}
