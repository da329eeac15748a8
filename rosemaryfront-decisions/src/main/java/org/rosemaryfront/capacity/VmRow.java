package org.rosemaryfront.capacity;

import java.util.Optional;
import java.util.OptionalLong;

import org.rosemaryfront.capacity.CloudVm.State;
import org.rosemaryfront.model.VmId;

/** The state of a VM and of its engine. */
final class VmRow {

	final VmId id;

	final long firstSeenNanos;

	CloudVm vm;

	boolean draining;

	long drainStartNanos;

	String drainReason = "";

	// The engine's last report, empty before its first response under this lease.
	Optional<ServerState> actualState = Optional.empty();

	long stateRequestedNanos;

	boolean requestPending;

	long nextReadNanos;

	/** When the engine became unresponsive; empty while it responds. */
	OptionalLong unresponsiveSinceNanos = OptionalLong.empty();

	/** Since when old versions are kept for their streams; empty if there are none. */
	OptionalLong oldVersionsSinceNanos = OptionalLong.empty();

	boolean releasePending;

	boolean leavingAnnounced;

	long nextReleaseNanos;

	/**
	 * The versions of the last order, so that a load order is not repeated while it is in
	 * progress.
	 */
	String lastLoadOrder = "";

	VmRow(CloudVm vm, long nowNanos) {
		this.id = vm.id();
		this.vm = vm;
		this.firstSeenNanos = nowNanos;
		this.nextReadNanos = nowNanos;
		this.nextReleaseNanos = nowNanos;
	}

	// Returns whether the VM counts towards its pool's size.
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
