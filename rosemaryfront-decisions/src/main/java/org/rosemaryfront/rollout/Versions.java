package org.rosemaryfront.rollout;

import java.util.Set;

import org.rosemaryfront.dispatch.BackendServer;

/** Which versions of a service's servers a call may go to. */
public sealed interface Versions {

	/**
	 * All versions: no roll-out is under way.
	 * @return the rule
	 */
	static Versions any() {
		return new Any();
	}

	/**
	 * One version only.
	 * @param version the version
	 * @return the rule
	 */
	static Versions only(String version) {
		return new Only(version);
	}

	/**
	 * All versions but one.
	 * @param version the version that gets no calls
	 * @return the rule
	 */
	static Versions without(String version) {
		return new Without(version);
	}

	/**
	 * Some servers of a version that is on trial.
	 * @param servers the ids of the servers
	 * @return the rule
	 */
	static Versions trial(Set<String> servers) {
		return new Trial(servers);
	}

	/**
	 * Whether a server may get the call.
	 * @param server the server
	 * @return true when it may
	 */
	default boolean allows(BackendServer server) {
		return switch (this) {
			case Any _ -> true;
			case Only only -> server.version().equals(only.version);
			case Without without -> !server.version().equals(without.version);
			case Trial trial -> trial.servers.contains(server.id());
		};
	}

	/** All versions. */
	record Any() implements Versions {
	}

	/**
	 * One version only.
	 *
	 * @param version the version
	 */
	record Only(String version) implements Versions {
	}

	/**
	 * All versions but one.
	 *
	 * @param version the version that gets no calls
	 */
	record Without(String version) implements Versions {
	}

	/**
	 * Some servers of a version that is on trial.
	 *
	 * @param servers the ids of the servers
	 */
	record Trial(Set<String> servers) implements Versions {

		public Trial {
			servers = Set.copyOf(servers);
		}

	}

}
