package org.rosemaryfront.controller;

import java.time.Duration;

import org.rosemaryfront.capacity.CapacitySettings;
import org.rosemaryfront.lease.LeaseTiming;
import org.rosemaryfront.platform.PlatformSettings;
import org.rosemaryfront.tls.TlsSettings;

/**
 * The settings of the controller; the schema gives units, defaults and reasons.
 *
 * @param vm the VM it runs on
 * @param region the region
 * @param zone its availability zone
 * @param platform the platform
 * @param peers the listener for peers
 * @param status the listener of the status page
 * @param lease the times of the lease
 * @param capacity the limits of the capacity decisions
 */
record ControllerSettings(String vm, String region, String zone, PlatformSettings platform, Listener peers,
		Listener status, Lease lease, Capacity capacity) {

	ControllerSettings {
		lease = (lease != null) ? lease : new Lease(null, null);
		capacity = (capacity != null) ? capacity
				: new Capacity(null, null, null, null, null, null, null, null, null, null, null, null, null);
	}

	/**
	 * An address to listen on.
	 *
	 * @param host an IP number
	 * @param port the port, 0 to let the system choose
	 * @param tls the TLS of the listener
	 */
	record Listener(String host, int port, TlsSettings tls) {

		Listener {
			tls = (tls != null) ? tls : TlsSettings.none();
		}

	}

	/**
	 * The times of the lease, in milliseconds.
	 *
	 * @param termMillis how long it holds
	 * @param marginMillis how long before its end the holder stops
	 */
	record Lease(Long termMillis, Long marginMillis) {

		private static final long TERM_MILLIS = 10_000;

		private static final long MARGIN_MILLIS = 1_000;

		Lease {
			termMillis = (termMillis != null) ? termMillis : TERM_MILLIS;
			marginMillis = (marginMillis != null) ? marginMillis : MARGIN_MILLIS;
			if (marginMillis >= termMillis) {
				throw new IllegalArgumentException("/lease/marginMillis: must be less than termMillis");
			}
		}

		LeaseTiming terms() {
			return LeaseTiming.of(Duration.ofMillis(this.termMillis), Duration.ofMillis(this.marginMillis));
		}

	}

	/**
	 * The limits of the capacity decisions; absent ones have the defaults of
	 * {@link CapacitySettings#defaults}.
	 */
	record Capacity(Integer startsAtOnce, Integer loadsAtOnce, Long backOffMillis, Long backOffLimitMillis,
			Long drainMillis, Long serviceDrainMillis, Long bootMillis, Long unreachableMillis,
			Long orderValidityMillis, Long pollMillis, Long pollPerVmMillis, Double reclaimCostHours,
			Double busyShare) {

		Capacity {
			CapacitySettings standard = CapacitySettings.defaults();
			startsAtOnce = or(startsAtOnce, standard.startsAtOnce());
			loadsAtOnce = or(loadsAtOnce, standard.loadsAtOnce());
			backOffMillis = or(backOffMillis, standard.backOffMillis());
			backOffLimitMillis = or(backOffLimitMillis, standard.backOffLimitMillis());
			drainMillis = or(drainMillis, standard.drainMillis());
			serviceDrainMillis = or(serviceDrainMillis, standard.serviceDrainMillis());
			bootMillis = or(bootMillis, standard.bootMillis());
			unreachableMillis = or(unreachableMillis, standard.unreachableMillis());
			orderValidityMillis = or(orderValidityMillis, standard.orderValidityMillis());
			pollMillis = or(pollMillis, standard.pollMillis());
			pollPerVmMillis = or(pollPerVmMillis, standard.pollPerVmMillis());
			reclaimCostHours = or(reclaimCostHours, standard.reclaimCostHours());
			busyShare = or(busyShare, standard.busyShare());
		}

		CapacitySettings limits() {
			return new CapacitySettings(this.startsAtOnce, this.loadsAtOnce, this.backOffMillis,
					this.backOffLimitMillis, this.drainMillis, this.serviceDrainMillis, this.bootMillis,
					this.unreachableMillis, this.orderValidityMillis, this.pollMillis, this.pollPerVmMillis,
					this.reclaimCostHours, this.busyShare);
		}

		private static <T> T or(T value, T standard) {
			return (value != null) ? value : standard;
		}

	}

}
