package org.rosemaryfront.slots;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.rosemaryfront.dispatch.BackendServer.Incarnation;
import org.rosemaryfront.slots.SlotAnswer.Answered;
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
 * The requests of one gateway for slots. Each gets one answer, within an eighth of the
 * target of its call. Confined to one thread.
 */
public final class SlotRequests {

	/** The part of the target within which a request is answered, as a divisor. */
	private static final int TARGET_DIVISOR = 8;

	/** The part of that time that is left for the way of a refusal, as a divisor. */
	private static final int WAY_DIVISOR = 4;

	/** The number of times that a request is sent while there is no answer. */
	private static final int SENDINGS = 6;

	/** The interval at which the use of a slot is told, several times in a lease. */
	private static final long HELD_NANOS = SlotKeeper.LEASE_NANOS / 4;

	/** The time after which a release is sent again, since a datagram may be lost. */
	private static final long RELEASE_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

	/**
	 * The time for which a silent keeper is not asked: until reports show that it is
	 * gone.
	 */
	private static final long SILENCE_NANOS = TimeUnit.SECONDS.toNanos(2);

	/** The number of possible keepers that know the slots in use. */
	private static final int INFORMED = 2;

	/** The most keepers that may be passed over at once. */
	private static final int MAX_PASSED = 8;

	/** The longest time that a keeper may tell a caller to wait, in milliseconds. */
	private static final int MAX_RETRY_MILLIS = 60_000;

	private final int start;

	private final Predicate<Incarnation> known;

	private final Map<Long, Waiting> waiting = new HashMap<>();

	private final Map<Long, Holding> holding = new HashMap<>();

	/** Releases that are sent once more. */
	private final List<Repeat> repeats = new ArrayList<>();

	/** Until when keepers are not asked, by name. */
	private final Map<String, Long> silentUntilNanos = new HashMap<>();

	/** When each keeper was last heard. */
	private final Map<String, Long> heardNanos = new HashMap<>();

	/** The gateways that are told of the slots in use, by service. */
	private final Map<String, List<String>> keepers = new HashMap<>();

	private final List<Addressed> messages = new ArrayList<>();

	private final List<Answered> answers = new ArrayList<>();

	private int lastRequest;

	private long invalidMessages;

	private long lateMessages;

	private SlotRequests(int start, Predicate<Incarnation> known) {
		this.start = start;
		this.known = known;
	}

	/**
	 * Creates the requests of a gateway that has made none.
	 * @param start a number that identifies this start of the gateway
	 * @param known whether a run of a server exists
	 * @return the requests
	 */
	public static SlotRequests of(int start, Predicate<Incarnation> known) {
		return new SlotRequests(start, known);
	}

	// -- calls

	/**
	 * Asks for a slot.
	 * @param call the call
	 * @param order the gateways that may keep the slots of the service, in the order that
	 * is the same at all gateways
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the number of the request
	 */
	public long ask(SlotCall call, List<String> order, long nowNanos) {
		long number = ((long) this.start << Integer.SIZE) | Integer.toUnsignedLong(++this.lastRequest);
		ask(number, call, order, nowNanos, nowNanos);
		return number;
	}

	private void ask(long number, SlotCall call, List<String> order, long askedNanos, long nowNanos) {
		Optional<String> keeper = order.stream().filter((name) -> !isSilent(name, nowNanos)).findFirst();
		if (keeper.isEmpty()) {
			this.answers.add(new Answered(number, new SlotAnswer.ChooseAlone()));
			return;
		}
		useKeepers(call.service, informed(keeper.get(), order), nowNanos);
		Waiting request = new Waiting(call, order, keeper.get(), askedNanos, nowNanos);
		this.waiting.put(number, request);
		send(number, request, nowNanos);
	}

	private static List<String> informed(String keeper, List<String> order) {
		return Stream.concat(Stream.of(keeper), order.stream()).distinct().limit(INFORMED).toList();
	}

	// A new keeper does not know what its predecessor granted.
	private void useKeepers(String service, List<String> informed, long nowNanos) {
		List<String> previous = this.keepers.put(service, informed);
		if (informed.equals(previous)) {
			return;
		}
		this.holding.replaceAll((number, held) -> {
			if (!held.service.equals(service)) {
				return held;
			}
			Holding told = new Holding(service, informed, held.server, nowNanos);
			tell(number, told);
			return told;
		});
	}

	private void tell(long number, Holding held) {
		held.keepers.forEach((keeper) -> send(keeper, new Held(number, held.server)));
	}

	private boolean isSilent(String keeper, long nowNanos) {
		Long until = this.silentUntilNanos.get(keeper);
		return until != null && nowNanos - until < 0;
	}

	private void send(long number, Waiting request, long nowNanos) {
		long left = request.deadlineNanos() - request.answerNanos() / WAY_DIVISOR - nowNanos;
		// The last ones ask for an answer that was lost.
		int millis = Math.max(1, (int) TimeUnit.NANOSECONDS.toMillis(left));
		send(request.keeper, new Ask(number, request.call.service, request.call.priority, millis, request.call.tried,
				request.passed()));
	}

	/**
	 * Records that a call was sent to a server that this gateway chose by itself.
	 * @param number the number of the request that was not answered
	 * @param service the service
	 * @param server the run of the server
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void chosenAlone(long number, String service, Incarnation server, long nowNanos) {
		hold(number, new Holding(service, this.keepers.getOrDefault(service, List.of()), server, nowNanos));
	}

	private void hold(long number, Holding held) {
		this.holding.put(number, held);
		tell(number, held);
	}

	/**
	 * Records that a call has ended or was cancelled, before or after its answer.
	 * @param number the number of its request
	 * @param outcome what came of it
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void ended(long number, Outcome outcome, long nowNanos) {
		Optional.ofNullable(this.waiting.remove(number))
			.ifPresent((request) -> release(number, request.keeper, outcome, nowNanos));
		Optional.ofNullable(this.holding.remove(number))
			.ifPresent((held) -> held.keepers.forEach((keeper) -> release(number, keeper, outcome, nowNanos)));
	}

	private void release(long number, String keeper, Outcome outcome, long nowNanos) {
		Release release = new Release(number, outcome);
		send(keeper, release);
		this.repeats.add(new Repeat(new Addressed(keeper, release), nowNanos + RELEASE_NANOS));
	}

	// -- keepers

	/**
	 * Processes a message of a keeper. One that does not fit a request is counted; a slot
	 * that is not needed any more is given back.
	 * @param keeper the name of the gateway that sent it
	 * @param message the message
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void receive(String keeper, SlotMessage message, long nowNanos) {
		if (!isValid(message)) {
			this.invalidMessages++;
			return;
		}
		this.heardNanos.put(keeper, nowNanos);
		if (message instanceof Passed passing) {
			passing.passed().forEach((passed) -> this.silentUntilNanos.put(passed, nowNanos + SILENCE_NANOS));
			return;
		}
		Waiting request = this.waiting.get(message.number());
		if (request != null && request.keeper.equals(keeper)) {
			this.waiting.remove(message.number());
			answer(message, request, nowNanos);
			return;
		}
		this.lateMessages++;
		Holding held = this.holding.get(message.number());
		if (message instanceof Grant && (held == null || !held.keepers.contains(keeper))) {
			release(message.number(), keeper, Outcome.UNUSED, nowNanos);
		}
	}

	private boolean isValid(SlotMessage message) {
		boolean own = message.number() >> Integer.SIZE == this.start
				&& Integer.compareUnsigned((int) message.number(), this.lastRequest) <= 0;
		return switch (message) {
			case Grant grant -> own && this.known.test(grant.server());
			case Full full -> own && full.retryMillis() > 0 && full.retryMillis() <= MAX_RETRY_MILLIS;
			case Decline _ -> own;
			case Passed passing -> passing.passed().size() <= MAX_PASSED;
			case Ask _, Held _, Release _ -> false;
		};
	}

	private void answer(SlotMessage message, Waiting request, long nowNanos) {
		switch (message) {
			case Grant grant -> {
				List<String> informed = informed(request.keeper, request.order);
				this.holding.put(grant.number(), new Holding(request.call.service, informed, grant.server(), nowNanos));
				informed.stream().skip(1).forEach((other) -> send(other, new Held(grant.number(), grant.server())));
				this.answers.add(new Answered(grant.number(), new SlotAnswer.Send(grant.server())));
			}
			case Full full -> this.answers.add(new Answered(full.number(), new SlotAnswer.Refuse(full.retryMillis())));
			case Decline decline -> {
				this.silentUntilNanos.put(request.keeper, nowNanos + SILENCE_NANOS);
				ask(decline.number(), request.call, request.order, request.askedNanos, nowNanos);
			}
			case Ask _, Held _, Release _, Passed _ -> {
			}
		}
	}

	/**
	 * Repeats what may have been lost, and ends the wait for keepers that do not answer.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void tick(long nowNanos) {
		List.copyOf(this.waiting.entrySet()).forEach((entry) -> tick(entry.getKey(), entry.getValue(), nowNanos));
		this.holding.replaceAll((number, held) -> {
			if (nowNanos - held.toldNanos < HELD_NANOS) {
				return held;
			}
			tell(number, held);
			return new Holding(held.service, held.keepers, held.server, nowNanos);
		});
		this.silentUntilNanos.values().removeIf((until) -> nowNanos - until >= 0);
		this.repeats.removeIf((repeat) -> {
			boolean due = nowNanos - repeat.atNanos >= 0;
			if (due) {
				this.messages.add(repeat.message);
			}
			return due;
		});
	}

	private void tick(long number, Waiting request, long nowNanos) {
		if (nowNanos - request.deadlineNanos() >= 0) {
			this.waiting.remove(number);
			recordSilence(request, nowNanos);
			release(number, request.keeper, Outcome.UNUSED, nowNanos);
			this.answers.add(new Answered(number, new SlotAnswer.ChooseAlone()));
		}
		else if (nowNanos - request.sentNanos >= request.answerNanos() / SENDINGS) {
			this.waiting.put(number, request.sentAgain(nowNanos));
			send(number, request, nowNanos);
		}
	}

	private void recordSilence(Waiting request, long nowNanos) {
		Long heard = this.heardNanos.get(request.keeper);
		if (heard == null || heard - request.askedNanos < 0) {
			this.silentUntilNanos.put(request.keeper, nowNanos + SILENCE_NANOS);
		}
	}

	private void send(String keeper, SlotMessage message) {
		this.messages.add(new Addressed(keeper, message));
	}

	// -- results

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
	 * Returns the answers to requests and forgets them.
	 * @return the answers, one for each request
	 */
	public List<Answered> takeAnswers() {
		List<Answered> taken = List.copyOf(this.answers);
		this.answers.clear();
		return taken;
	}

	/**
	 * Returns the number of messages that fit no request of this start, or name a server
	 * or a time that cannot be.
	 * @return the number since this gateway started
	 */
	public long invalidMessages() {
		return this.invalidMessages;
	}

	/**
	 * Returns the number of answers to requests that were answered before.
	 * @return the number since this gateway started
	 */
	public long lateMessages() {
		return this.lateMessages;
	}

	/**
	 * A call that needs a slot.
	 *
	 * @param service the service
	 * @param priority its priority, 0 for the most urgent
	 * @param targetMillis the target of the call, in milliseconds
	 * @param tried ids of the servers to which it was already sent
	 */
	public record SlotCall(String service, int priority, long targetMillis, Set<String> tried) {

		public SlotCall {
			tried = Set.copyOf(tried);
		}

	}

	private record Waiting(SlotCall call, List<String> order, String keeper, long askedNanos, long sentNanos) {

		private Set<String> passed() {
			return this.order.stream()
				.takeWhile((name) -> !name.equals(this.keeper))
				.limit(MAX_PASSED)
				.collect(Collectors.toSet());
		}

		private Waiting sentAgain(long nowNanos) {
			return new Waiting(this.call, this.order, this.keeper, this.askedNanos, nowNanos);
		}

		private long answerNanos() {
			return TimeUnit.MILLISECONDS.toNanos(this.call.targetMillis) / TARGET_DIVISOR;
		}

		private long deadlineNanos() {
			return this.askedNanos + answerNanos();
		}

	}

	private record Holding(String service, List<String> keepers, Incarnation server, long toldNanos) {
	}

	private record Repeat(Addressed message, long atNanos) {
	}

}
