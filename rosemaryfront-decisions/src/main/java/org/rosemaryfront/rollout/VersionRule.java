package org.rosemaryfront.rollout;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.rosemaryfront.dispatch.BackendServer;

/** A rule that restricts a call to servers of some versions of a service. */
public sealed interface VersionRule {

	/**
	 * Returns a rule that allows all versions.
	 * @return the rule
	 */
	static VersionRule any() {
		return new Any();
	}

	/**
	 * Returns a rule that allows one version.
	 * @param version the version
	 * @return the rule
	 */
	static VersionRule only(String version) {
		return new Only(version);
	}

	/**
	 * Returns a rule that allows all versions except one.
	 * @param version the excluded version
	 * @return the rule
	 */
	static VersionRule without(String version) {
		return new Without(version);
	}

	/**
	 * Returns a rule that allows only given servers of a candidate version in the trial
	 * phase.
	 * @param servers the ids of the servers
	 * @return the rule
	 */
	static VersionRule trial(Set<String> servers) {
		return new Trial(servers);
	}

	/**
	 * Returns the rules for a call that may go on with a stream. The version that began
	 * the stream goes first, whatever a roll-out says of it: at any other one the stream
	 * cannot go on.
	 * @param rules the rules of the roll-out
	 * @param streamVersion the version that began the stream, empty for any other call
	 * @return the rules in the order in which they are tried
	 */
	static List<VersionRule> forStream(List<VersionRule> rules, Optional<String> streamVersion) {
		return streamVersion.map(VersionRule::only).map(List::of).orElse(rules);
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
	record Any() implements VersionRule {
	}

	/**
	 * Allows one version.
	 *
	 * @param version the version
	 */
	record Only(String version) implements VersionRule {
	}

	/**
	 * Allows all versions except one.
	 *
	 * @param version the excluded version
	 */
	record Without(String version) implements VersionRule {
	}

	/**
	 * Allows only given servers of a candidate version in the trial phase.
	 *
	 * @param servers the ids of the servers
	 */
	record Trial(Set<String> servers) implements VersionRule {

		public Trial {
			servers = Set.copyOf(servers);
		}

	}

}
