package org.rosemaryfront.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Chooses the backend server of a call.
 *
 * <p>
 * Calls that share a part of their prompt go to the same server, which has that part in
 * its cache, as long as its load stays within a bound of the mean; the next server in
 * that part's own order takes what is over. Calls without a shared part go to the least
 * loaded server, their own zone first. Two thirds of a long prompt are shared, and all
 * shared parts fit the memory of a pool only if each is kept by a server or two.
 */
public final class Dispatcher {

	/** How far over the mean load a server with the prompt's part may be. */
	private static final double LOAD_BOUND = 1.25;

	/**
	 * Calls that the bound allows beside, so that it does not bind a nearly idle pool.
	 */
	private static final int LOAD_SLACK = 3;

	private final BackendTable table;

	private final String zone;

	/**
	 * A dispatcher.
	 * @param table the servers
	 * @param zone the availability zone of this process
	 */
	public Dispatcher(BackendTable table, String zone) {
		this.table = table;
		this.zone = zone;
	}

	/**
	 * Chooses a server.
	 * @param service the service
	 * @param sharedPart the part of the prompt that the call shares with others, empty
	 * for none
	 * @param tried servers that had the call before
	 * @param nowNanos the time
	 * @return the choice, empty when no server takes calls
	 */
	public Choice choose(String service, String sharedPart, Collection<String> tried, long nowNanos) {
		List<BackendRow> takers = this.table.takers(service, tried);
		if (takers.isEmpty()) {
			return new Choice.NoServer();
		}
		List<BackendRow> sound = takers.stream().filter((row) -> !row.avoided(nowNanos)).toList();
		List<BackendRow> candidates = sound.isEmpty() ? takers : sound;
		List<BackendRow> free = candidates.stream().filter((row) -> row.load() < row.server.slots()).toList();
		if (free.isEmpty()) {
			return new Choice.Full(candidates.size());
		}
		BackendRow chosen = sharedPart.isEmpty() ? leastLoaded(free) : keeper(sharedPart, free);
		return new Choice.Chosen(chosen.server, chosen.load(), candidates.size());
	}

	private BackendRow leastLoaded(List<BackendRow> candidates) {
		return candidates.stream()
			.min(Comparator.comparingInt(BackendRow::load)
				.thenComparing((row) -> !row.server.zone().equals(this.zone))
				.thenComparing((row) -> row.server.id()))
			.orElseThrow();
	}

	private static BackendRow keeper(String sharedPart, List<BackendRow> candidates) {
		double mean = candidates.stream().mapToInt(BackendRow::load).average().orElse(0);
		double bound = LOAD_BOUND * mean + LOAD_SLACK;
		Optional<BackendRow> within = candidates.stream()
			.filter((row) -> row.load() <= bound)
			.max(Comparator.comparingLong((row) -> rank(sharedPart, row.server.id())));
		return within.orElseThrow();
	}

	private static long rank(String sharedPart, String server) {
		return Hashing.wyhashFinal4().hashCharsToLong(sharedPart + '@' + server);
	}

	/** What came of a choice. */
	public sealed interface Choice {

		/**
		 * A server takes the call.
		 *
		 * @param server the server
		 * @param load its calls, of all processes
		 * @param candidates the servers that were weighed
		 */
		record Chosen(BackendServer server, int load, int candidates) implements Choice {
		}

		/**
		 * All servers are full.
		 *
		 * @param servers the servers that would take calls if they had room
		 */
		record Full(int servers) implements Choice {
		}

		/** No server takes calls. */
		record NoServer() implements Choice {
		}

	}

}
