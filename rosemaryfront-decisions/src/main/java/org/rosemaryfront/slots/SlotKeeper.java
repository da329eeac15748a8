package org.rosemaryfront.slots;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.rosemaryfront.dispatch.BackendServer.Incarnation;
import org.rosemaryfront.limits.PermitQueue;
import org.rosemaryfront.slots.SlotMessage.Addressed;
import org.rosemaryfront.slots.SlotMessage.Ask;
import org.rosemaryfront.slots.SlotMessage.Decline;
import org.rosemaryfront.slots.SlotMessage.Full;
import org.rosemaryfront.slots.SlotMessage.Grant;
import org.rosemaryfront.slots.SlotMessage.Held;
import org.rosemaryfront.slots.SlotMessage.Outcome;
import org.rosemaryfront.slots.SlotMessage.Passed;
import org.rosemaryfront.slots.SlotMessage.Release;

/**
 * Grants the slots of one service to the gateways that ask.
 *
 * <p>
 * Gateways that tell their use of slots themselves are counted by what they tell, and all
 * others by their last reports. A keeper that has just begun, or returns from a pause,
 * therefore needs nothing from its predecessor. Confined to one thread.
 */
public final class SlotKeeper {

	/** The time after which a slot is free again whose use was not told. */
	static final long LEASE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	/** The time for which a gateway is counted by what it told itself. */
	private static final long HEARD_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** The interval at which gateways are told of keepers that are passed over. */
	private static final long PASSED_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	/** The maximum time after which a refused caller is told to return. */
	private static final long MAX_RETRY_NANOS = TimeUnit.SECONDS.toNanos(5);

	/** The longest time that a request may say that it can wait, in milliseconds. */
	private static final int MAX_USEFUL_MILLIS = 60_000;

	/** The weight of a new measurement in the mean time for which slots are held. */
	private static final double HOLD_WEIGHT = 0.05;

	/** The maximum number of slots in use and of waiting requests. */
	private static final int MAX_HOLDERS = 4_096;

	private final Map<Holder, Hold> holds = new HashMap<>();

	private final Map<Holder, Waiting> waiting = new HashMap<>();

	private final PermitQueue<Waiting> queue = PermitQueue.empty();

	/** When each gateway last sent a message. */
	private final Map<String, Long> heardNanos = new HashMap<>();

	/** Until when servers that rejected a call get none. */
	private final Map<Incarnation, Long> closedUntilNanos = new HashMap<>();

	private final List<Addressed> messages = new ArrayList<>();

	private List<SlotServer> servers = List.of();

	private boolean serving = true;

	/** The mean time for which a slot is held, 0 while none was given back. */
	private double meanHoldNanos;

	/** The last time for which a refused caller was told to return, empty for none. */
	private OptionalLong promisedNanos = OptionalLong.empty();

	/** When gateways were last told of keepers that are passed over. */
	private OptionalLong passedNanos = OptionalLong.empty();

	private long invalidMessages;

	private SlotKeeper() {
	}

	/**
	 * Creates a keeper that knows no server.
	 * @return the keeper
	 */
	public static SlotKeeper empty() {
		return new SlotKeeper();
	}

	/**
	 * Sets the servers whose slots are granted.
	 * @param eligible the servers that may get calls
	 */
	public void servers(List<SlotServer> eligible) {
		this.servers = List.copyOf(eligible);
	}

	/**
	 * Sets whether slots are granted here. A keeper that not all gateways reach declines,
	 * so that they agree on the next one.
	 * @param reached whether all live gateways exchange reports with this one
	 */
	public void serving(boolean reached) {
		this.serving = reached;
		if (!reached) {
			List.copyOf(this.waiting.keySet()).forEach(this::decline);
		}
	}

	private void decline(Holder holder) {
		stopWaiting(holder);
		send(holder.gateway, new Decline(holder.number));
	}

	/**
	 * Processes a message of a gateway. An invalid one is counted and changes nothing.
	 * @param gateway the name of the gateway
	 * @param message the message
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void receive(String gateway, SlotMessage message, long nowNanos) {
		if (!isValid(message)) {
			this.invalidMessages++;
			return;
		}
		this.heardNanos.put(gateway, nowNanos);
		Holder holder = new Holder(gateway, message.number());
		switch (message) {
			case Ask ask -> {
				tellPassed(ask, nowNanos);
				asked(holder, ask, nowNanos);
			}
			case Held held -> held(holder, held.server(), nowNanos);
			case Release release -> released(holder, release.outcome(), nowNanos);
			case Grant _, Full _, Decline _, Passed _ -> {
			}
		}
		grant(nowNanos);
	}

	private boolean isValid(SlotMessage message) {
		boolean room = this.holds.size() < MAX_HOLDERS && this.waiting.size() < MAX_HOLDERS;
		return switch (message) {
			case Ask ask ->
				room && ask.priority() >= 0 && ask.usefulMillis() > 0 && ask.usefulMillis() <= MAX_USEFUL_MILLIS;
			case Held held -> room && this.servers.stream().anyMatch((server) -> server.run().equals(held.server()));
			case Release _ -> true;
			case Grant _, Full _, Decline _, Passed _ -> false;
		};
	}

	private void tellPassed(Ask ask, long nowNanos) {
		boolean told = this.passedNanos.isPresent() && nowNanos - this.passedNanos.getAsLong() < PASSED_NANOS;
		if (!ask.passed().isEmpty() && !told) {
			this.passedNanos = OptionalLong.of(nowNanos);
			knownGateways().forEach((gateway) -> send(gateway, new Passed(ask.number(), ask.passed())));
		}
	}

	// A gateway with few calls is seldom heard.
	private Set<String> knownGateways() {
		Stream<String> reporting = this.servers.stream().flatMap((server) -> server.reportedCalls().keySet().stream());
		return Stream.concat(this.heardNanos.keySet().stream(), reporting).collect(Collectors.toSet());
	}

	private void asked(Holder holder, Ask ask, long nowNanos) {
		Hold granted = this.holds.get(holder);
		if (granted != null) {
			send(holder.gateway, new Grant(ask.number(), granted.server));
		}
		else if (!this.serving || this.servers.isEmpty()) {
			decline(holder);
		}
		else if (!this.waiting.containsKey(holder)) {
			enqueue(holder, ask, nowNanos);
		}
	}

	private void enqueue(Holder holder, Ask ask, long nowNanos) {
		long usefulUntil = nowNanos + TimeUnit.MILLISECONDS.toNanos(ask.usefulMillis());
		double wait = hasFreeSlot(ask, nowNanos) ? 0 : (this.queue.ahead(ask.priority()) + 1) * nanosPerSlot();
		Waiting request = new Waiting(holder, ask);
		if (this.queue.offerWithWait(request, ask.priority(), usefulUntil, wait, nowNanos)) {
			this.waiting.put(holder, request);
		}
		else {
			refuse(holder, wait, nowNanos);
		}
	}

	private void held(Holder holder, Incarnation server, long nowNanos) {
		long since = Optional.ofNullable(this.holds.get(holder)).map((hold) -> hold.sinceNanos).orElse(nowNanos);
		this.holds.put(holder, new Hold(server, since, nowNanos));
		stopWaiting(holder);
	}

	private void released(Holder holder, Outcome outcome, long nowNanos) {
		stopWaiting(holder);
		Hold hold = this.holds.remove(holder);
		if (hold == null) {
			return;
		}
		switch (outcome) {
			case ENDED -> recordHold(nowNanos - hold.sinceNanos);
			case REJECTED -> this.closedUntilNanos.put(hold.server, nowNanos + (long) this.meanHoldNanos);
			case UNUSED -> {
			}
		}
	}

	private void stopWaiting(Holder holder) {
		Optional.ofNullable(this.waiting.remove(holder)).ifPresent(this.queue::remove);
	}

	private void recordHold(long nanos) {
		this.meanHoldNanos += (this.meanHoldNanos == 0) ? nanos : HOLD_WEIGHT * (nanos - this.meanHoldNanos);
	}

	/**
	 * Ends what has lapsed and refuses requests that have waited for too long.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void tick(long nowNanos) {
		this.holds.values().removeIf((hold) -> nowNanos - hold.toldNanos >= LEASE_NANOS);
		this.heardNanos.values().removeIf((heard) -> nowNanos - heard >= HEARD_NANOS);
		this.closedUntilNanos.values().removeIf((until) -> nowNanos - until >= 0);
		for (Waiting late : this.queue.removeLate(nowNanos)) {
			this.waiting.remove(late.holder);
			refuse(late.holder, (this.queue.size() + 1) * nanosPerSlot(), nowNanos);
		}
		grant(nowNanos);
	}

	// Callers that are refused in a row are told different times, at the rate at which
	// slots become free.
	private void refuse(Holder holder, double waitNanos, long nowNanos) {
		long afterLast = this.promisedNanos.orElse(nowNanos) - nowNanos + (long) nanosPerSlot();
		long retryNanos = Math.min(MAX_RETRY_NANOS, Math.max((long) waitNanos, afterLast));
		this.promisedNanos = OptionalLong.of(nowNanos + retryNanos);
		int millis = (int) TimeUnit.NANOSECONDS.toMillis(retryNanos) + 1;
		send(holder.gateway, new Full(holder.number, millis));
	}

	private void grant(long nowNanos) {
		for (Waiting request : this.queue.calls()) {
			freeServer(request.ask, nowNanos).ifPresent((server) -> grant(request.holder, server.run(), nowNanos));
		}
	}

	private void grant(Holder holder, Incarnation server, long nowNanos) {
		stopWaiting(holder);
		this.holds.put(holder, new Hold(server, nowNanos, nowNanos));
		send(holder.gateway, new Grant(holder.number, server));
	}

	private boolean hasFreeSlot(Ask ask, long nowNanos) {
		return this.queue.ahead(ask.priority()) == 0 && freeServer(ask, nowNanos).isPresent();
	}

	private Optional<SlotServer> freeServer(Ask ask, long nowNanos) {
		return this.servers.stream()
			.filter((server) -> !ask.tried().contains(server.run().id()))
			.filter((server) -> nowNanos - this.closedUntilNanos.getOrDefault(server.run(), nowNanos) >= 0)
			.filter((server) -> callsAt(server) < server.slots())
			.min(Comparator.comparingDouble(
					(server) -> server.timeFactor() * (callsAt(server) + 1) / Math.max(1, server.slots())));
	}

	private long callsAt(SlotServer server) {
		long told = this.holds.values().stream().filter((hold) -> hold.server.equals(server.run())).count();
		return told + server.reportedCalls()
			.entrySet()
			.stream()
			.filter((reported) -> !this.heardNanos.containsKey(reported.getKey()))
			.mapToInt(Map.Entry::getValue)
			.sum();
	}

	private double nanosPerSlot() {
		return this.meanHoldNanos / Math.max(1, this.servers.stream().mapToInt(SlotServer::slots).sum());
	}

	private void send(String gateway, SlotMessage message) {
		this.messages.add(new Addressed(gateway, message));
	}

	/**
	 * Returns the messages to send and forgets them.
	 * @return the messages
	 */
	public List<Addressed> takeMessages() {
		List<Addressed> taken = List.copyOf(this.messages);
		this.messages.clear();
		return taken;
	}

	/**
	 * Returns the number of requests that wait for a slot.
	 * @return the number
	 */
	public int waiting() {
		return this.queue.size();
	}

	/**
	 * Returns the number of invalid messages.
	 * @return the number since the keeper was created
	 */
	public long invalidMessages() {
		return this.invalidMessages;
	}

	private record Holder(String gateway, long number) {
	}

	private record Waiting(Holder holder, Ask ask) {
	}

	private record Hold(Incarnation server, long sinceNanos, long toldNanos) {
	}

}
