package org.rosemaryfront.gateway;

import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.fleet.Fleet.Sharing;

/** Logs how quotas are shared with other gateways, when that changes. */
final class SharingLog {

	private Sharing logged = Sharing.UNKNOWN;

	void update(Sharing sharing) {
		if (!sharing.isSharedAs(this.logged)) {
			EventLog.info(GatewayEvents.QUOTA_SHARING, "gateways", sharing.group(), "of", sharing.members(), "agreed",
					sharing.agreed());
		}
		this.logged = sharing;
	}

}
