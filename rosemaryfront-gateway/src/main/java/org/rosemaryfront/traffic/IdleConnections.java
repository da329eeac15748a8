package org.rosemaryfront.traffic;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/** The connections to one server that carry no call. Used on the traffic thread only. */
final class IdleConnections {

	private final Deque<ServerConnection> connections = new ArrayDeque<>();

	void add(ServerConnection connection) {
		this.connections.addLast(connection);
	}

	void remove(ServerConnection connection) {
		this.connections.remove(connection);
	}

	boolean contains(ServerConnection connection) {
		return this.connections.contains(connection);
	}

	/**
	 * Removes the connection that was used last of those that may carry a call, and
	 * closes those behind it that can carry none.
	 * @param requestId the request of the call
	 * @param state what is known of the path to the server
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the connection, empty if there is none or the path is doubtful
	 */
	Optional<ServerConnection> take(String requestId, PathState state, long nowNanos) {
		Iterator<ServerConnection> lastFirst = this.connections.descendingIterator();
		while (lastFirst.hasNext()) {
			ServerConnection idle = lastFirst.next();
			boolean unneededTunnel = state != PathState.LOST && idle.tunnel().isPresent();
			if (!idle.isReady() || idle.isStale(nowNanos) || unneededTunnel) {
				lastFirst.remove();
				idle.close();
			}
			else if (state == PathState.DOUBTFUL) {
				return Optional.empty();
			}
			else if (idle.mayCarry(requestId)) {
				lastFirst.remove();
				return Optional.of(idle);
			}
		}
		return Optional.empty();
	}

	/**
	 * Removes and closes a connection that may not carry a call, since another one is
	 * opened for it: callers that repeat an identifier must not fill the pool.
	 * @param requestId the request of the call
	 * @return the connection, empty if each may carry the call
	 */
	Optional<ServerConnection> closeUnfit(String requestId) {
		Optional<ServerConnection> unfit = this.connections.stream()
			.filter((idle) -> !idle.mayCarry(requestId))
			.findFirst();
		unfit.ifPresent((idle) -> {
			this.connections.remove(idle);
			idle.close();
		});
		return unfit;
	}

	/**
	 * Closes connections.
	 * @param matching which ones
	 */
	void close(Predicate<ServerConnection> matching) {
		List.copyOf(this.connections).stream().filter(matching).forEach(ServerConnection::close);
	}

	/** What is known of the path to a server over the own links. */
	enum PathState {

		/** The server is reached. */
		REACHED,

		/** The server was not heard for long. */
		DOUBTFUL,

		/** The server is not reached. */
		LOST

	}

}
