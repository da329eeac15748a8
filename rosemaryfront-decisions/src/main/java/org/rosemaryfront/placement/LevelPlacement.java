package org.rosemaryfront.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.ToLongFunction;

/**
 * Chooses a server for a call while many gateways choose from the same aged reports.
 *
 * <p>
 * The server with the lowest expected time would be the same one at all gateways until
 * the next reports. Each server is therefore chosen with a probability in proportion to
 * the room that it has below the level to which unreported work fills the servers. A
 * server at which the call itself takes longer, for lack of a cached prompt, has less
 * room for it. Without unreported work the server with the lowest expected time is
 * chosen.
 *
 * <p>
 * What is drawn follows from the common order of the servers for a prompt, so that calls
 * with the same prompt prefix meet while the room stays about the same.
 */
public final class LevelPlacement {

	private static final double UNIFORM_SCALE = 0x1.0p-53;

	private LevelPlacement() {
	}

	/**
	 * Chooses a server.
	 * @param servers the servers that may get the call
	 * @param unreportedMillis the work that no report names, as the time that a single
	 * server takes for it, in milliseconds
	 * @param rank a hash of a server and the prompt of the call, from which the common
	 * order of the servers for the prompt follows
	 * @param <T> the servers
	 * @return the server with the time expected there, empty if there is none
	 */
	public static <T> Optional<Placed<T>> choose(List<Candidate<T>> servers, double unreportedMillis,
			ToLongFunction<T> rank) {
		if (servers.isEmpty()) {
			return Optional.empty();
		}
		double level = FillLevel.of(waits(servers), unreportedMillis);
		List<Placed<T>> placed = new ArrayList<>(servers.size());
		Placed<T> best = Placed.at(servers.getFirst(), level);
		for (Candidate<T> server : servers) {
			Placed<T> here = Placed.at(server, level);
			placed.add(here);
			best = here.isBetterThan(best, rank) ? here : best;
		}
		return Optional.of(draw(placed, best, level, rank));
	}

	private static <T> double[] waits(List<Candidate<T>> servers) {
		double[] waits = new double[servers.size()];
		for (int i = 0; i < waits.length; i++) {
			waits[i] = servers.get(i).waitMillis();
		}
		return waits;
	}

	// Weighted rendezvous hashing: the lowest of exponentially distributed numbers, each
	// over the room of its server, belongs to a server in proportion to its room.
	private static <T> Placed<T> draw(List<Placed<T>> placed, Placed<T> best, double level, ToLongFunction<T> rank) {
		double lowest = Double.POSITIVE_INFINITY;
		Placed<T> drawn = best;
		for (Placed<T> server : placed) {
			double room = server.room(level, best.expectedMillis());
			double number = (room > 0) ? -Math.log(uniform(rank.applyAsLong(server.server()))) / room : lowest;
			if (number < lowest) {
				lowest = number;
				drawn = server;
			}
		}
		return drawn;
	}

	// A number above 0 and at most 1.
	private static double uniform(long hash) {
		return ((hash >>> 11) + 1) * UNIFORM_SCALE;
	}

	/**
	 * A server that may get a call.
	 *
	 * @param server the server
	 * @param waitMillis how long the call waits for others there as reported, in
	 * milliseconds
	 * @param ownMillis how long the call itself takes there, in milliseconds
	 * @param <T> the servers
	 */
	public record Candidate<T>(T server, double waitMillis, double ownMillis) {
	}

	/**
	 * A server with the time that a call is expected to take there.
	 *
	 * @param candidate the server
	 * @param expectedMillis the expected time with unreported work, in milliseconds
	 * @param <T> the servers
	 */
	public record Placed<T>(Candidate<T> candidate, double expectedMillis) {

		private static <T> Placed<T> at(Candidate<T> candidate, double level) {
			return new Placed<>(candidate, Math.max(candidate.waitMillis, level) + candidate.ownMillis);
		}

		private boolean isBetterThan(Placed<T> other, ToLongFunction<T> rank) {
			int order = Double.compare(this.expectedMillis, other.expectedMillis);
			return order < 0 || (order == 0 && isPreferredTo(other, rank));
		}

		// Of servers that the work fills up alike, the one with the shortest wait.
		private boolean isPreferredTo(Placed<T> other, ToLongFunction<T> rank) {
			int order = Double.compare(this.candidate.waitMillis, other.candidate.waitMillis);
			return order < 0 || (order == 0 && rank.applyAsLong(server()) < rank.applyAsLong(other.server()));
		}

		/**
		 * Returns the server.
		 * @return the server
		 */
		public T server() {
			return this.candidate.server;
		}

		private double room(double level, double bound) {
			double extra = this.expectedMillis - bound;
			return Math.max(0, level - this.candidate.waitMillis - extra);
		}

	}

}
