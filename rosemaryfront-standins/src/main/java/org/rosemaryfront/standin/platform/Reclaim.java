package org.rosemaryfront.standin.platform;

import org.rosemaryfront.model.VmId;

/** Which VMs are reclaimed. */
public sealed interface Reclaim {

	/**
	 * One VM, sold on any market or an entry's.
	 *
	 * @param vm the VM
	 */
	record OfVm(VmId vm) implements Reclaim {
	}

	/**
	 * All reclaimable VMs of an availability zone.
	 *
	 * @param zone the availability zone
	 */
	record OfZone(String zone) implements Reclaim {
	}

	/**
	 * A share of all reclaimable VMs.
	 *
	 * @param share the share, 0 to 1
	 * @param seed chooses them
	 */
	record OfShare(double share, long seed) implements Reclaim {

		public OfShare {
			if (!(share >= 0 && share <= 1)) {
				throw new IllegalArgumentException("share is " + share + ", must be 0 to 1");
			}
		}

	}

}
