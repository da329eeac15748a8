package org.rosemaryfront.streams;

import org.rosemaryfront.streams.OriginFleet.Way;

/** Compares the ways of telling origins on the same seeds, run by hand. */
final class OriginWays {

	private static final int LARGE = 100;

	private OriginWays() {
	}

	static void main(String[] arguments) {
		int gateways = Integer.parseInt(arguments[0]);
		double rate = Double.parseDouble(arguments[1]);
		for (long seed = Long.parseLong(arguments[2]); seed <= Long.parseLong(arguments[3]); seed++) {
			for (Way way : Way.values()) {
				OriginFleet fleet = (gateways > LARGE) ? OriginFleetTests.playBriefly(way, gateways, rate, seed)
						: OriginFleetTests.play(way, gateways, rate, seed);
				System.out.println(seed + " " + fleet.summary());
			}
		}
	}

}
