package org.rosemaryfront.capacity;

import java.util.Optional;

import org.rosemaryfront.capacity.CloudVm.State;
import org.rosemaryfront.model.VmId;

/** A VM in the tables of the capacity decisions. */
final class VmRow {

	final VmId id;

	final long firstSeenNanos;

	CloudVm vm;

	boolean draining;

	long drainSinceNanos;

	String drainReason = "";

	// What the engine last said, empty before its first answer under this lease.
	Optional<ServerState> actual = Optional.empty();

	long actualAskedNanos;

	boolean exchanging;

	long nextReadNanos;

	/** When the engine's silence began; 0 while it answers. */
	long silentSinceNanos;

	/** Since when old versions wait for their streams; 0 when there are none. */
	long oldVersionsSinceNanos;

	boolean releasing;

	boolean announced;

	long nextReleaseNanos;

	/**
	 * The last loading order, so that one order is not repeated while it is carried out.
	 */
	String ordered = "";

	VmRow(CloudVm vm, long nowNanos) {
		this.id = vm.id();
		this.vm = vm;
		this.firstSeenNanos = nowNanos;
		this.nextReadNanos = nowNanos;
	}

	// Whether it adds to its pool's size.
	boolean counts() {
		return !this.draining && (this.vm.state() == State.STARTING || this.vm.state() == State.RUNNING);
	}

	boolean isRunning() {
		return this.vm.state() == State.RUNNING && !this.vm.address().isEmpty();
	}

	void drain(long nowNanos, String reason) {
		if (!this.draining) {
			this.draining = true;
			this.drainSinceNanos = nowNanos;
			this.drainReason = reason;
			this.nextReadNanos = nowNanos;
		}
	}

	String zone() {
		return this.vm.sort().zone();
	}

}
