package org.rosemaryfront.entry;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import java.util.function.IntSupplier;

import org.rosemaryfront.events.Invariants;
import org.rosemaryfront.program.ControlLoop;
import org.rosemaryfront.serving.ServingCommand;
import org.rosemaryfront.serving.ServingDecisions;
import org.rosemaryfront.serving.ServingEvent;

/**
 * Runs the serving decisions on the control thread: traffic threads post events, commands
 * go back to them, and what they may read is published as immutable values.
 */
final class ServingControl implements AutoCloseable {

	private static final long PUBLISH_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private final ServingDecisions decisions;

	private final ControlLoop loop;

	private final Consumer<ServingCommand> executor;

	private volatile Map<String, Long> tokensInFlight = Map.of();

	private long publishedNanos = System.nanoTime();

	private ServingControl(ServingDecisions decisions, Duration interval, Consumer<ServingCommand> executor) {
		this.decisions = decisions;
		this.executor = executor;
		this.loop = ControlLoop.start("control", interval, this::tick);
	}

	/**
	 * Starts the control thread.
	 * @param decisions the decisions, used by this thread only from now on
	 * @param interval the greatest time between two ticks
	 * @param executor carries out commands; must not block
	 * @return the running control
	 */
	static ServingControl start(ServingDecisions decisions, Duration interval, Consumer<ServingCommand> executor) {
		Objects.requireNonNull(decisions, "decisions is null");
		Objects.requireNonNull(executor, "executor is null");
		return new ServingControl(decisions, interval, executor);
	}

	/**
	 * Posts an event; never blocks.
	 * @param event what happened
	 */
	void accept(ServingEvent event) {
		this.loop.post((now) -> this.decisions.accept(event, now));
	}

	/**
	 * Posts the progress of an attempt, read when the event is taken, so that many tokens
	 * cost one event.
	 * @param event makes the event from the number of tokens
	 * @param tokens the number of tokens so far
	 */
	void acceptProgress(IntFunction<ServingEvent> event, IntSupplier tokens) {
		this.loop.post((now) -> this.decisions.accept(event.apply(tokens.getAsInt()), now));
	}

	/**
	 * What this process has in flight, as published by the control thread.
	 * @return tokens in flight by organisation
	 */
	Map<String, Long> tokensInFlight() {
		return this.tokensInFlight;
	}

	@Override
	public void close() {
		this.loop.close();
	}

	private void tick(long now) {
		this.decisions.tick(now).forEach(this.executor);
		this.decisions.takeViolations()
			.forEach((violation) -> Invariants.check(false, ServingEvents.DECISION_INVARIANT_BROKEN, "violation",
					violation));
		if (now - this.publishedNanos >= PUBLISH_NANOS) {
			this.publishedNanos = now;
			this.tokensInFlight = Map.copyOf(this.decisions.tokensInFlight());
		}
	}

}
