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
 * Calls to models wait for the prompts that a server reads before theirs, so that the
 * server is chosen at which the fewest prompt tokens are to be read until the call's
 * first token. Calls that share a part of their prompt have a common order of servers for
 * it: the first one has the part in its cache, the second may have it, at the others it
 * would be read again. Two thirds of a long prompt are shared, and the shared parts fit
 * the memory of a pool only if each is kept by a server or two.
 *
 * <p>
 * Other calls go to the least loaded server, their own zone first.
 */
public final class Dispatcher {

	/**
	 * The prompt tokens that a model engine reads in a millisecond, from the sheets of
	 * the engines in use (74.8 and 93.6); the lower one.
	 */
	private static final double TOKENS_PER_MILLI = 74.8;

	/** The time from a prompt that is read to its first token, in milliseconds. */
	private static final long FIRST_TOKEN_MILLIS = 90;

	/** The part of a shared part that the second server in its order is taken to lack. */
	private static final double SECOND_LACKS = 0.5;

	/**
	 * After this time the first server of an order is taken to have its shared parts: in
	 * it a call to each of some hundred parts comes along, at tens of calls a second.
	 */
	private static final double WARM_NANOS = 15e9;

	/**
	 * What each running call adds to the cost of a server, in tokens: it slows the steps
	 * of all others by a tenth of a millisecond.
	 */
	private static final double TOKENS_PER_CALL = 40;

	/**
	 * How far over the target the expected first token may be, as a factor, for the most
	 * urgent calls: beyond that a call would be late and make those behind it late too.
	 * Less urgent calls give way earlier, so that a server that is short of capacity
	 * never turns away an urgent call for one that is not.
	 */
	private static final double LATE_FACTOR = 1.8;

	private static final double LATE_FACTOR_STEP = 0.4;

	private static final double LATE_FACTOR_LEAST = 0.8;

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
	 * @param wish what the call needs
	 * @param tried servers that had the call before
	 * @param nowNanos the time
	 * @return the choice
	 */
	public Choice choose(Wish wish, Collection<String> tried, long nowNanos) {
		List<BackendRow> takers = this.table.takers(wish.service(), tried);
		if (takers.isEmpty()) {
			return new Choice.NoServer();
		}
		List<BackendRow> sound = takers.stream().filter((row) -> !row.avoided(nowNanos)).toList();
		List<BackendRow> candidates = sound.isEmpty() ? takers : sound;
		List<BackendRow> free = candidates.stream().filter((row) -> row.load() < row.server.slots()).toList();
		if (free.isEmpty()) {
			return new Choice.Full(candidates.size(), 0);
		}
		return (wish.ownTokens() == 0) ? leastLoaded(free) : soonest(wish, free, nowNanos);
	}

	private Choice leastLoaded(List<BackendRow> free) {
		BackendRow chosen = free.stream()
			.min(Comparator.comparingInt(BackendRow::load)
				.thenComparing((row) -> !row.server.zone().equals(this.zone))
				.thenComparingLong((row) -> row.lastSent)
				.thenComparing((row) -> row.server.id()))
			.orElseThrow();
		return new Choice.Chosen(chosen.server, chosen.load(), 0, 0, free.size());
	}

	private Choice soonest(Wish wish, List<BackendRow> free, long nowNanos) {
		List<BackendRow> order = free.stream()
			.sorted(Comparator.comparingLong((BackendRow row) -> rank(wish.sharedPart(), row.server.id())))
			.toList();
		Optional<Priced> best = Optional.empty();
		for (int i = 0; i < order.size(); i++) {
			Priced priced = price(wish, order.get(i), i, nowNanos);
			if (best.isEmpty() || priced.cost < best.get().cost) {
				best = Optional.of(priced);
			}
		}
		Priced chosen = best.orElseThrow();
		long millis = (long) chosen.cost;
		double factor = Math.max(LATE_FACTOR_LEAST, LATE_FACTOR - LATE_FACTOR_STEP * wish.priority());
		if (millis > wish.targetMillis() * factor) {
			return new Choice.Full(free.size(), millis);
		}
		return new Choice.Chosen(chosen.row.server, chosen.row.load(), chosen.unread, millis, free.size());
	}

	private static Priced price(Wish wish, BackendRow row, int place, long nowNanos) {
		double cold = cold(row, nowNanos);
		double lacks = switch (place) {
			case 0 -> cold;
			case 1 -> Math.max(cold, SECOND_LACKS);
			default -> 1;
		};
		long unread = wish.ownTokens() + (long) (wish.sharedTokens() * lacks);
		double tokens = row.unreadTokens() + unread + TOKENS_PER_CALL * row.load();
		return new Priced(row, unread, row.slowness * (tokens / TOKENS_PER_MILLI + FIRST_TOKEN_MILLIS));
	}

	// The part of its shared parts that the first server of an order is taken to lack.
	// Guards a process that was just restarted: taken as new, the servers that it finds
	// seemed to have every prompt to read anew, and 200 calls were refused for that in
	// the
	// two seconds behind a kill of all processes.
	private static double cold(BackendRow row, long nowNanos) {
		return row.registeredNanos.isPresent()
				? Math.max(0, 1 - (nowNanos - row.registeredNanos.getAsLong()) / WARM_NANOS) : 0;
	}

	private static long rank(String sharedPart, String server) {
		return Hashing.wyhashFinal4().hashCharsToLong(sharedPart + '@' + server);
	}

	/**
	 * What a call needs.
	 *
	 * @param service the service
	 * @param sharedPart the part of its prompt that it shares with other calls
	 * @param sharedTokens the tokens that it shares with other calls
	 * @param ownTokens the tokens of its prompt that no other call has; 0 for a call that
	 * has no prompt
	 * @param targetMillis the time that is left until its first token should come
	 * @param priority its rank, 0 for the most urgent
	 */
	public record Wish(String service, String sharedPart, int sharedTokens, int ownTokens, long targetMillis,
			int priority) {

		/**
		 * The time that is left until a call's first token should come. A call that has
		 * run is not refused for being late: its caller has the beginning of its answer,
		 * or nobody may promise that it did not run, so that all of its time is left.
		 * Held to the target of a first token, no stream went on at another server once
		 * its own had run for longer than that.
		 * @param targetMillis the target less the call's age, in milliseconds
		 * @param remainingMillis what is left of the call's time, in milliseconds
		 * @param ran whether a server may have run it
		 * @return the time in milliseconds, never negative
		 */
		public static long millisLeft(long targetMillis, long remainingMillis, boolean ran) {
			return Math.max(0, ran ? remainingMillis : targetMillis);
		}

	}

	/** What came of a choice. */
	public sealed interface Choice {

		/**
		 * A server takes the call.
		 *
		 * @param server the server
		 * @param load its calls, of all processes
		 * @param unreadTokens the prompt tokens that it has to read for the call
		 * @param expectedMillis the time to the first token, 0 when it is not known
		 * @param candidates the servers that were weighed
		 */
		record Chosen(BackendServer server, int load, long unreadTokens, long expectedMillis,
				int candidates) implements Choice {
		}

		/**
		 * All servers are full.
		 *
		 * @param servers the servers that would take calls if they had room
		 * @param expectedMillis the time to the first token at the best of them, 0 when
		 * none has a slot
		 */
		record Full(int servers, long expectedMillis) implements Choice {
		}

		/** No server takes calls. */
		record NoServer() implements Choice {
		}

	}

	private record Priced(BackendRow row, long unread, double cost) {
	}

}
