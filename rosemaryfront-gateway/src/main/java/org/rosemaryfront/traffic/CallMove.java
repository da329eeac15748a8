package org.rosemaryfront.traffic;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.ObjIntConsumer;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.moves.RunPace;
import org.rosemaryfront.ports.ForwardingMetadata.RunCopy;

/**
 * The move of a call to a server that has a copy of its run. Its state is confined to the
 * traffic thread; operations of other threads are scheduled there.
 *
 * <p>
 * From the request to stop the run on, the end of its stream says nothing: it may be the
 * one that was asked for. What would follow from it is put off until the answer.
 */
public final class CallMove {

	/** The number of earlier events while the current attempt has no response. */
	private static final long NO_RESPONSE = Long.MAX_VALUE;

	private final EventLoop loop;

	/** Sends the call to a server with a maximum number of connections. */
	private final ObjIntConsumer<BackendServer> sender;

	private final Supplier<RunPace> pace;

	/**
	 * The events of the stream that came from earlier attempts; read by any thread.
	 */
	private volatile long earlierEvents;

	/** Whether the run was ever asked to stop; read by any thread. */
	private volatile boolean stopped;

	/** Whether the server that is to continue the run may still be sent it. */
	private BooleanSupplier accepted = () -> false;

	private boolean stopping;

	private boolean mayHaveStopped;

	private Optional<Runnable> deferred = Optional.empty();

	private Optional<RunCopy> copy = Optional.empty();

	CallMove(EventLoop loop, ObjIntConsumer<BackendServer> sender, Supplier<RunPace> pace) {
		this.loop = loop;
		this.sender = sender;
		this.pace = pace;
	}

	// -- callable from any thread

	/**
	 * Returns the events received of a stream that can move to another server.
	 * @return their pace, unknown if the call cannot move or its current attempt has made
	 * no event
	 */
	public RunPace pace() {
		RunPace received = this.pace.get();
		return (received.events() > this.earlierEvents) ? received : RunPace.unknown();
	}

	/**
	 * Returns whether the gateway ever asked the run to stop.
	 * @return true also if it went on
	 */
	public boolean wasStopped() {
		return this.stopped;
	}

	/**
	 * Asks the run to stop once this thread knows of it: otherwise the end of the stream
	 * may be handled before. Nothing is asked if the attempt has failed meanwhile.
	 * @param request asks the run to stop, on the traffic thread
	 */
	public void begins(Runnable request) {
		this.loop.execute(() -> {
			if (this.earlierEvents != NO_RESPONSE) {
				this.stopping = true;
				this.stopped = true;
				request.run();
			}
		});
	}

	/**
	 * Called when the run is not continued.
	 * @param stopped whether it may have stopped
	 */
	public void cancelled(boolean stopped) {
		this.loop.execute(() -> {
			this.mayHaveStopped |= stopped;
			end().ifPresent(Runnable::run);
		});
	}

	/**
	 * Continues the run, which has stopped, at a server.
	 * @param to the server
	 * @param maxConnections the maximum number of connections of this gateway to the
	 * server
	 * @param from the copy of the run
	 * @param mayBeSent returns whether the server may still be sent requests, on the
	 * traffic thread
	 */
	public void continueAt(BackendServer to, int maxConnections, RunCopy from, BooleanSupplier mayBeSent) {
		this.earlierEvents = NO_RESPONSE;
		this.loop.execute(() -> {
			end();
			this.copy = Optional.of(from);
			this.accepted = mayBeSent;
			this.sender.accept(to, maxConnections);
		});
	}

	// -- on the traffic thread

	/**
	 * Puts off what follows from the end of the stream while the run is asked to stop.
	 * @param consequence what follows
	 * @return false if it follows at once
	 */
	boolean defers(Runnable consequence) {
		if (this.stopping && this.deferred.isEmpty()) {
			this.deferred = Optional.of(consequence);
		}
		return this.stopping;
	}

	private Optional<Runnable> end() {
		Optional<Runnable> consequence = this.deferred;
		this.deferred = Optional.empty();
		this.stopping = false;
		return consequence;
	}

	/** Called when an attempt has failed, since a copy can be used once. */
	void attemptFailed() {
		this.earlierEvents = NO_RESPONSE;
		this.copy = Optional.empty();
		this.mayHaveStopped = false;
	}

	/** Called when the current attempt gets a response. */
	void responded() {
		this.earlierEvents = this.pace.get().events();
	}

	/**
	 * Returns whether the server that is to continue the run may be sent it. This is
	 * checked immediately before the first byte is sent.
	 * @return false if it has been leaving for too long
	 */
	boolean isAccepted() {
		return this.accepted.getAsBoolean();
	}

	/**
	 * Returns the copy from which the current attempt continues.
	 * @return the copy, empty for an attempt without one
	 */
	Optional<RunCopy> copy() {
		return this.copy;
	}

	/**
	 * Returns whether a stream that ends with its connection may have been stopped.
	 * @return true if no answer told
	 */
	boolean mayHaveStopped() {
		return this.mayHaveStopped;
	}

}
