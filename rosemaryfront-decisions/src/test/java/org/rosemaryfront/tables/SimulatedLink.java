package org.rosemaryfront.tables;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongConsumer;

/** A link whose capacity the transfers on it share equally. */
final class SimulatedLink {

	private static final long STEP_NANOS = 5 * SimulatedFleet.MILLI;

	private final long bytesPerSecond;

	private final Set<Transfer> transfers = new LinkedHashSet<>();

	/**
	 * Creates a link.
	 * @param bytesPerSecond its capacity
	 */
	SimulatedLink(long bytesPerSecond) {
		this.bytesPerSecond = bytesPerSecond;
	}

	private double share() {
		return (double) this.bytesPerSecond * STEP_NANOS / 1e9 / this.transfers.size();
	}

	/**
	 * Sends bytes over several links one behind the other.
	 * @param fleet schedules the parts
	 * @param links the links
	 * @param bytes the number of bytes
	 * @param arrived is told of the bytes of each part
	 * @param end is called once all have arrived
	 * @return the transfer
	 */
	static Transfer send(SimulatedFleet fleet, List<SimulatedLink> links, long bytes, LongConsumer arrived,
			Runnable end) {
		Transfer transfer = new Transfer(fleet, links, bytes, arrived, end);
		links.forEach((link) -> link.transfers.add(transfer));
		fleet.at(STEP_NANOS, transfer::step);
		return transfer;
	}

	/** Bytes on their way. */
	static final class Transfer {

		private final SimulatedFleet fleet;

		private final List<SimulatedLink> links;

		private double remaining;

		private final LongConsumer arrived;

		private final Runnable end;

		private Transfer(SimulatedFleet fleet, List<SimulatedLink> links, long bytes, LongConsumer arrived,
				Runnable end) {
			this.fleet = fleet;
			this.links = links;
			this.remaining = bytes;
			this.arrived = arrived;
			this.end = end;
		}

		/** Ends the transfer before all bytes have arrived. */
		void cancel() {
			this.links.forEach((link) -> link.transfers.remove(this));
		}

		private void step() {
			if (!this.links.getFirst().transfers.contains(this)) {
				return;
			}
			double part = this.links.stream().mapToDouble(SimulatedLink::share).min().orElseThrow();
			this.remaining -= part;
			this.arrived.accept(Math.round(part));
			if (this.remaining > 0) {
				this.fleet.at(STEP_NANOS, this::step);
				return;
			}
			cancel();
			this.end.run();
		}

	}

}
