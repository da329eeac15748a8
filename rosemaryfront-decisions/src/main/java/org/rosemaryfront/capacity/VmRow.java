package org.rosemaryfront.capacity;

import java.util.Optional;
import java.util.OptionalLong;

import org.rosemaryfront.capacity.CloudVm.State;
import org.rosemaryfront.model.VmId;

/** A VM in the tables of the capacity decisions. */
final class VmRow {

	final VmId id;

	final long firstSeenNanos;

	CloudVm vm;

	boolean draining;

	long drainStartNanos;

	String drainReason = "";

	// What the engine last said, empty before its first answer under this lease.
	Optional<ServerState> actualState = Optional.empty();

	long stateRequestedNanos;

	boolean requestPending;

	long nextReadNanos;

	/** When the engine's silence began; empty while it answers. */
	OptionalLong unresponsiveSinceNanos = OptionalLong.empty();

	/** Since when old versions wait for their streams; empty when there are none. */
	OptionalLong oldVersionsSinceNanos = OptionalLong.empty();

	boolean releasePending;

	boolean leavingAnnounced;

	long nextReleaseNanos;

	/**
	 * The last loading order, so that one order is not repeated while it is carried out.
	 */
	String lastLoadOrder = "";

	VmRow(CloudVm vm, long nowNanos) {
		this.id = vm.id();
		this.vm = vm;
		this.firstSeenNanos = nowNanos;
		this.nextReadNanos = nowNanos;
		this.nextReleaseNanos = nowNanos;
	}

	// Whether it adds to its pool's size.
	boolean countsTowardsSize() {
		return !this.draining && (this.vm.state() == State.STARTING || this.vm.state() == State.RUNNING);
	}

	boolean isRunning() {
		return this.vm.state() == State.RUNNING && !this.vm.address().isEmpty();
	}

	void startDrain(long nowNanos, String reason) {
		if (!this.draining) {
			this.draining = true;
			this.drainStartNanos = nowNanos;
			this.drainReason = reason;
			this.nextReadNanos = nowNanos;
		}
	}

	String zone() {
		return this.vm.sort().zone();
	}

}
