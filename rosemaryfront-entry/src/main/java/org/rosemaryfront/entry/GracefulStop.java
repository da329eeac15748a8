package org.rosemaryfront.entry;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;

import reactor.core.publisher.Mono;

import org.rosemaryfront.events.EventLog;

/**
 * The graceful stop of an entry process.
 *
 * <p>
 * Readiness goes off at once, but the balancer goes on sending requests until it has seen
 * that. These are accepted and served like any other, since refusing them would show
 * every planned stop to callers; after the time for the balancer new ones are refused as
 * not run. What does not finish in the drain time is handed over to peers.
 */
final class GracefulStop {

	private static final Duration POLL = Duration.ofMillis(20);

	/** The part of a reclaim notice kept for handing requests over. */
	private static final double HANDOVER_SHARE = 0.5;

	/** The part of what is left of a reclaim notice in which hand-offs are repeated. */
	private static final double LAST_SHARE = 0.9;

	private final AtomicBoolean begun = new AtomicBoolean();

	private final EntrySettings.Stop settings;

	private final Steps steps;

	private volatile ProcessPhase phase = ProcessPhase.SERVING;

	private volatile long goneAtNanos = Long.MAX_VALUE;

	GracefulStop(EntrySettings.Stop settings, Steps steps) {
		this.settings = settings;
		this.steps = steps;
	}

	/**
	 * How far the process is in its life.
	 * @return the phase
	 */
	ProcessPhase phase() {
		return this.phase;
	}

	/**
	 * Stops when the VM of this process is reclaimed, within the time that is left.
	 * @param remainingMillis the time left, in milliseconds, negative when unknown
	 */
	void reclaimed(long remainingMillis) {
		if (remainingMillis >= 0) {
			this.goneAtNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(remainingMillis);
		}
		if (!this.begun.get()) {
			EventLog.info(ServingEvents.OWN_RECLAIM, "remainingMillis", remainingMillis);
			Thread thread = new Thread(this::run, "reclaim");
			thread.setDaemon(true);
			thread.start();
		}
	}

	/**
	 * Runs the stop up to the point where nothing is held here any more; a second call
	 * waits for the first.
	 */
	synchronized void run() {
		if (!this.begun.compareAndSet(false, true)) {
			return;
		}
		this.phase = ProcessPhase.LEAVING;
		this.steps.leave();
		EventLog.info(ServingEvents.STOP_STARTED, "acceptMillis", this.settings.acceptMillis());
		sleep(withinNotice(this.settings.acceptMillis(), HANDOVER_SHARE / 2));
		this.phase = ProcessPhase.DRAINING;
		this.steps.acceptNothing();
		EventLog.info(ServingEvents.STOP_DRAINING, "drainMillis", this.settings.drainMillis());
		await(this.steps::drained, withinNotice(this.settings.drainMillis(), HANDOVER_SHARE));
		handOverUntilDrained();
		this.steps.failRest();
		await(this.steps::drained, Duration.ofMillis(this.settings.lingerMillis()));
		EventLog.info(ServingEvents.STOP_DRAINED, "whole", this.steps.drained());
	}

	// Guards against a stop that cuts off what no peer takes at once, such as calls to
	// plain services, which cannot move, or streams while every peer is leaving too.
	private void handOverUntilDrained() {
		long end = System.nanoTime() + withinNotice(this.settings.lastMillis(), LAST_SHARE).toNanos();
		do {
			handOver();
			await(this.steps::drained, Duration.ofMillis(this.settings.lingerMillis()));
		}
		while (!this.steps.drained() && System.nanoTime() < end);
	}

	private void handOver() {
		try {
			this.steps.handOver(Duration.ofMillis(this.settings.handoverMillis())).block();
		}
		catch (RuntimeException ex) {
			EventLog.error(ex, ServingEvents.HANDOVER_FAILED, "cause", ex);
		}
	}

	private Duration withinNotice(long millis, double share) {
		if (this.goneAtNanos == Long.MAX_VALUE) {
			return Duration.ofMillis(millis);
		}
		long left = TimeUnit.NANOSECONDS.toMillis(this.goneAtNanos - System.nanoTime());
		return Duration.ofMillis(Math.clamp((long) (left * share), 0, millis));
	}

	private static void await(BooleanSupplier condition, Duration limit) {
		long end = System.nanoTime() + limit.toNanos();
		while (!condition.getAsBoolean() && System.nanoTime() < end) {
			sleep(POLL);
		}
	}

	private static void sleep(Duration time) {
		try {
			Thread.sleep(time);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/** What the stop does with the rest of the process. */
	interface Steps {

		/** Refuses every new request from now on as not run. */
		void acceptNothing();

		/** Gives every request that is still open its final answer. */
		void failRest();

		/** Tells the peers that this process is leaving. */
		void leave();

		/**
		 * Whether no request is open here.
		 * @return whether nothing is left to finish
		 */
		boolean drained();

		/**
		 * Hands over what is held.
		 * @param limit the limit of one try at one peer
		 * @return when every request was tried
		 */
		Mono<Void> handOver(Duration limit);

	}

}
