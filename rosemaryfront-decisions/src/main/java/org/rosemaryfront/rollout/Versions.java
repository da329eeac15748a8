package org.rosemaryfront.rollout;

import java.util.Set;

import org.rosemaryfront.dispatch.BackendServer;

/** A rule that restricts a call to servers of some versions of a service. */
public sealed interface Versions {

	/**
	 * Returns a rule that allows all versions.
	 * @return the rule
	 */
	static Versions any() {
		return new Any();
	}

	/**
	 * Returns a rule that allows one version.
	 * @param version the version
	 * @return the rule
	 */
	static Versions only(String version) {
		return new Only(version);
	}

	/**
	 * Returns a rule that allows all versions except one.
	 * @param version the excluded version
	 * @return the rule
	 */
	static Versions without(String version) {
		return new Without(version);
	}

	/**
	 * Returns a rule that allows only given servers of a candidate version in the trial
	 * phase.
	 * @param servers the ids of the servers
	 * @return the rule
	 */
	static Versions trial(Set<String> servers) {
		return new Trial(servers);
	}

	/**
	 * Returns whether the call may be sent to a server.
	 * @param server the server
	 * @return true if the server is allowed
	 */
	default boolean allows(BackendServer server) {
		return switch (this) {
			case Any _ -> true;
			case Only only -> server.version().equals(only.version);
			case Without without -> !server.version().equals(without.version);
			case Trial trial -> trial.servers.contains(server.id());
		};
	}

	/** Allows all versions. */
	record Any() implements Versions {
	}

	/**
	 * Allows one version.
	 *
	 * @param version the version
	 */
	record Only(String version) implements Versions {
	}

	/**
	 * Allows all versions except one.
	 *
	 * @param version the excluded version
	 */
	record Without(String version) implements Versions {
	}

	/**
	 * Allows only given servers of a candidate version in the trial phase.
	 *
	 * @param servers the ids of the servers
	 */
	record Trial(Set<String> servers) implements Versions {

		public Trial {
			servers = Set.copyOf(servers);
		}

	}

}
