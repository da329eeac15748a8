package org.rosemaryfront.streams;

import java.util.List;

import org.rosemaryfront.streams.OriginFleet.Question;
import org.rosemaryfront.streams.OriginFleet.Way;

/** What happens to gateways beside a release, while streams are taken up by requests. */
enum RequestTrouble {

	/** Nothing but the release. */
	RELEASE_ONLY {
		@Override
		void happen(OriginFleet fleet, int gateways) {
			fleet.run(SECOND);
		}
	},

	/** Gateways are killed one after the other. */
	ONE_KILLED {
		@Override
		void happen(OriginFleet fleet, int gateways) {
			for (int i = 0; i < 2; i++) {
				fleet.kill(fleet.some(1));
				fleet.run(4 * SECOND);
			}
		}
	},

	/** All gateways are killed at once, and the servers of the old version leave. */
	ALL_KILLED {
		@Override
		void happen(OriginFleet fleet, int gateways) {
			fleet.kill(fleet.some(gateways));
			fleet.servers("v1", 2);
			fleet.run(2 * SECOND);
		}
	},

	/** Gateways are cut off from the others and still take calls. */
	CUT_OFF {
		@Override
		void happen(OriginFleet fleet, int gateways) {
			fleet.cutOff(fleet.some(Math.max(1, gateways / PART)), 3 * SECOND);
			fleet.run(5 * SECOND);
		}
	},

	/** Gateways stand still when the new version begins to serve. */
	FROZEN {
		@Override
		void happen(OriginFleet fleet, int gateways) {
			List<Integer> frozen = fleet.some(Math.max(1, gateways / PART));
			frozen.forEach((gateway) -> fleet.pause(gateway, 3 * SECOND));
			fleet.run(5 * SECOND);
		}
	};

	private static final int SECOND = 1_000;

	/** One gateway of this many is out of step. */
	private static final int PART = 9;

	/** The streams that begin in a second at a gateway. */
	private static final double STREAMS_PER_GATEWAY = 4;

	/** Within this many seconds each request is sent once more by another caller. */
	private static final int REPEATED_SECONDS = 4;

	private static final double RESETS = 0.3;

	private static final int BEFORE_MILLIS = 18 * SECOND;

	private static final int AFTER_MILLIS = 6 * SECOND;

	abstract void happen(OriginFleet fleet, int gateways);

	/**
	 * Plays a release with this trouble in it.
	 * @param question how streams are taken up
	 * @param gateways the number of gateways
	 * @param seed the seed of all draws
	 * @return the fleet at the end
	 */
	OriginFleet play(Question question, int gateways, long seed) {
		OriginFleet fleet = new OriginFleet(Way.HOLDERS, question, gateways, seed);
		fleet.streamsPerSecond(STREAMS_PER_GATEWAY * gateways, RESETS);
		fleet.requests((int) (STREAMS_PER_GATEWAY * gateways * REPEATED_SECONDS));
		fleet.servers("v1", 6);
		fleet.run(BEFORE_MILLIS);
		fleet.countFromNow();
		fleet.servers("v2", 6);
		happen(fleet, gateways);
		fleet.run(AFTER_MILLIS);
		return fleet;
	}

}
