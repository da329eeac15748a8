package org.rosemaryfront.dispatch;

import java.util.List;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Divides the slots of servers that must not reject requests among the gateways, without
 * asking any of them. Where there are more gateways than slots, the slots go to others
 * each turn.
 *
 * @param self the name of this gateway
 * @param gateways the names of all live gateways
 * @param turn a number that all gateways change at the same time
 */
public record SlotShares(String self, List<String> gateways, long turn) {

	/** The shares of a gateway that knows no other one. */
	public static final SlotShares ALONE = new SlotShares("", List.of(""), 0);

	public SlotShares {
		gateways = List.copyOf(gateways);
	}

	/**
	 * Returns the slots of a server that this gateway may use.
	 * @param server the id of the server
	 * @param slots the slots that are divided
	 * @return the number, which is 0 or 1 where there are more gateways than slots
	 */
	int slotsOf(String server, int slots) {
		int share = slots / Math.max(1, this.gateways.size());
		return (share > 0) ? share : isAmongFirst(slots, server) ? 1 : 0;
	}

	private boolean isAmongFirst(int count, String server) {
		long own = hash(server, this.self);
		return this.gateways.stream().filter((gateway) -> hash(server, gateway) < own).limit(count).count() < count;
	}

	private long hash(String server, String gateway) {
		return Hashing.wyhashFinal4().hashCharsToLong(server + '/' + gateway + '/' + this.turn);
	}

}
