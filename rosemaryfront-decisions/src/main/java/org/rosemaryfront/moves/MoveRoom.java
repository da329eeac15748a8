package org.rosemaryfront.moves;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import org.rosemaryfront.dispatch.BackendServer;

/**
 * The room of the servers that may take over runs, less what moves of this gateway need.
 */
final class MoveRoom {

	private final List<MoveTarget> targets;

	private final Map<String, Integer> slotsTaken = new HashMap<>();

	private final Map<String, Long> tokensTaken = new HashMap<>();

	private MoveRoom(List<MoveTarget> targets) {
		this.targets = targets;
	}

	static MoveRoom of(List<MoveTarget> targets, MoveTable moves) {
		MoveRoom room = new MoveRoom(targets);
		moves.moves(Move::needsRoomAtTarget).forEach((move) -> room.take(move.target(), move.run()));
		return room;
	}

	void take(BackendServer target, RunState run) {
		this.slotsTaken.merge(target.id(), 1, Integer::sum);
		this.tokensTaken.merge(target.id(), run.tokensAtEnd(), Long::sum);
	}

	boolean hasServer(BackendServer server, BackendServer source) {
		return this.targets.stream()
			.anyMatch((target) -> target.server().incarnation().equals(server.incarnation())
					&& target.canContinue(source));
	}

	/**
	 * Chooses a server in proportion to its free slots, in the zone of the source if one
	 * there has room, since copies to other zones take longer. All gateways see the same
	 * aged reports, so that the server with the most room would be chosen by all of them.
	 * @param run the run
	 * @param source its server
	 * @param refused the identifiers of servers that could not take it over
	 * @return the server, empty if none has room
	 */
	Optional<BackendServer> choose(RunState run, BackendServer source, Set<String> refused) {
		List<MoveTarget> fitting = this.targets.stream()
			.filter((target) -> target.canContinue(source) && fits(target, run))
			.filter((target) -> !refused.contains(target.server().id()))
			.toList();
		List<MoveTarget> near = fitting.stream()
			.filter((target) -> target.server().zone().equals(source.zone()))
			.toList();
		return (near.isEmpty() ? fitting : near).stream()
			.min((one, other) -> Double.compare(rank(one, run), rank(other, run)))
			.map(MoveTarget::server);
	}

	private boolean fits(MoveTarget target, RunState run) {
		return freeSlots(target) > 0
				&& target.freeTokens() - this.tokensTaken.getOrDefault(target.server().id(), 0L) >= run.tokensAtEnd();
	}

	private int freeSlots(MoveTarget target) {
		return target.freeSlots() - this.slotsTaken.getOrDefault(target.server().id(), 0);
	}

	// Weighted rendezvous hashing.
	private double rank(MoveTarget target, RunState run) {
		return -Math.log(uniform(run.call(), target.server())) / freeSlots(target);
	}

	/**
	 * Returns a number that is random but the same for a call and a server each time.
	 * @param call the identifier of the call
	 * @param server the server
	 * @return a number above 0 and at most 1
	 */
	static double uniform(String call, BackendServer server) {
		long seed = 31L * call.hashCode() + server.id().hashCode();
		return 1 - new SplittableRandom(seed).nextDouble();
	}

}
