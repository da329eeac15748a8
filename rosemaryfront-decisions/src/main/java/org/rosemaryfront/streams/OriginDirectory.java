package org.rosemaryfront.streams;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import org.rosemaryfront.streams.OriginMessage.Answered;
import org.rosemaryfront.streams.OriginMessage.Asked;
import org.rosemaryfront.streams.OriginMessage.Told;

/**
 * One gateway's part of the directory in which all gateways find which version began a
 * stream. The gateway that sends the first event of a stream to its caller tells a few
 * others before, so that a caller can take the stream up at any gateway after the first
 * one was killed. An origin that nobody knows is never guessed.
 */
public final class OriginDirectory {

	/** The number of other gateways that are told the origin of a stream. */
	public static final int COPIES = 3;

	/**
	 * The number of gateways asked first: one more than were told, since one of them may
	 * have started or ended meanwhile.
	 */
	private static final int ASKED_FIRST = COPIES + 1;

	private static final int MAX_ASKED = 12;

	private final String self;

	private final BiConsumer<String, List<OriginMessage>> sender;

	private final OriginTable table = OriginTable.empty();

	private final Map<StreamKey, OriginLookup> lookups = new HashMap<>();

	private final Map<StreamKey, OriginCensus> censuses = new HashMap<>();

	private OriginHolders holders = OriginHolders.of(List.of(), Set.of());

	private final GatewaySilence silence = GatewaySilence.unbroken();

	/** The other gateways but those that have been silent for long. */
	private Set<String> present = Set.of();

	/** The gateways that are present, and this one. */
	private OriginHolders witnesses;

	private Set<String> known = Set.of();

	private Set<String> live = Set.of();

	private KnownSince knownSince;

	private OriginDirectory(String self, BiConsumer<String, List<OriginMessage>> sender, long nowNanos) {
		this.self = self;
		this.sender = sender;
		this.witnesses = this.holders.with(self);
		this.knownSince = KnownSince.start(nowNanos);
	}

	/**
	 * Creates the directory of a gateway that knows no other one.
	 * @param self the name of the gateway
	 * @param sender sends messages to another gateway; they may be lost
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the directory
	 */
	public static OriginDirectory of(String self, BiConsumer<String, List<OriginMessage>> sender, long nowNanos) {
		return new OriginDirectory(self, sender, nowNanos);
	}

	// -- the fleet

	/**
	 * Sets the other gateways. Called several times a second, which shows that this
	 * gateway runs.
	 * @param known all that may be running
	 * @param live those that were heard of late
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void gateways(Set<String> known, Set<String> live, long nowNanos) {
		running(nowNanos);
		Set<String> present = this.silence.present(known, live, nowNanos);
		if (live.size() * 2 < present.size()) {
			this.knownSince = this.knownSince.interrupted(KnownSince.Cause.CUT_OFF, nowNanos);
		}
		if (!present.equals(this.present)) {
			this.present = present;
			this.witnesses = OriginHolders.of(present, present).with(this.self);
		}
		if (known.equals(this.known) && live.equals(this.live)) {
			return;
		}
		Set<String> back = new HashSet<>(live);
		back.removeAll(this.live);
		this.known = Set.copyOf(known);
		this.live = Set.copyOf(live);
		this.holders = OriginHolders.of(known, live);
		back.forEach((gateway) -> tellKept(gateway, nowNanos));
	}

	private void running(long nowNanos) {
		this.knownSince = this.knownSince.running(nowNanos);
		this.table.droppedNanos().ifPresent((dropped) -> this.knownSince = this.knownSince.dropped(dropped));
	}

	/**
	 * Records that this gateway stood still although its monotonic clock may not show it.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void suspended(long nowNanos) {
		this.knownSince = this.knownSince.interrupted(KnownSince.Cause.PAUSE, nowNanos);
	}

	/**
	 * Tells a gateway that has just started what it should keep.
	 * @param gateway the name of the gateway
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void gatewayStarted(String gateway, long nowNanos) {
		running(nowNanos);
		tellKept(gateway, nowNanos);
	}

	// A gateway that was out of touch may have missed it.
	private void tellKept(String gateway, long nowNanos) {
		List<OriginMessage> origins = new ArrayList<>();
		for (Told told : this.table.all(nowNanos)) {
			if (this.holders.known(told.stream(), ASKED_FIRST).contains(gateway)) {
				origins.add(told);
			}
		}
		if (!origins.isEmpty()) {
			this.sender.accept(gateway, origins);
		}
	}

	/**
	 * Tells other gateways all that this one keeps, since it is stopping.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void handOver(long nowNanos) {
		Map<String, List<OriginMessage>> origins = new HashMap<>();
		for (Told told : this.table.all(nowNanos)) {
			this.holders.live(told.stream(), COPIES)
				.forEach((gateway) -> origins.computeIfAbsent(gateway, (_) -> new ArrayList<>()).add(told));
		}
		origins.forEach(this.sender);
	}

	// -- streams of this gateway

	/**
	 * Records the origin of a stream and tells it to other gateways. Called before the
	 * first event of a response is sent to the caller.
	 * @param stream the stream
	 * @param version the version of the server that made the event
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void began(StreamKey stream, String version, long nowNanos) {
		Origin origin = Origin.known(version);
		this.table.record(stream, origin, 0, nowNanos);
		List<OriginMessage> told = List.of(new Told(stream, origin, 0));
		this.holders.live(stream, COPIES).forEach((gateway) -> this.sender.accept(gateway, told));
	}

	/**
	 * Finds the origin of a stream, here or at other gateways.
	 * @param stream the stream
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @param caller receives the origin, at once or later
	 */
	public void find(StreamKey stream, long nowNanos, Consumer<Origin> caller) {
		Origin known = this.table.find(stream, nowNanos);
		if (!(known instanceof Origin.Unknown)) {
			caller.accept(known);
			return;
		}
		OriginLookup lookup = this.lookups.get(stream);
		if (lookup != null) {
			lookup.addCaller(caller);
			return;
		}
		OriginLookup started = OriginLookup.of(this.holders.known(stream, MAX_ASKED), ASKED_FIRST);
		started.addCaller(caller);
		this.lookups.put(stream, started);
		ask(stream, started, nowNanos);
	}

	/**
	 * Finds the origin of a stream by its request, which other streams may share. It is
	 * known only if no stream of the request can have been missed.
	 * @param request the key of the request
	 * @param boundMillis for how long a stream may be taken up after it began, in
	 * milliseconds
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @param caller receives the origin, at once or later
	 */
	public void findOfRequest(StreamKey request, long boundMillis, long nowNanos, Consumer<Origin> caller) {
		running(nowNanos);
		if (boundMillis > OriginTable.MAX_AGE_MILLIS) {
			caller.accept(Origin.unknown(Origin.Reason.NOT_ALL_KNOWN, 0));
			return;
		}
		// What was answered before this stream began does not count for it.
		OriginCensus before = this.censuses.get(request);
		if (before != null && (!before.hasEnded() || before.isAwaiting(nowNanos))) {
			caller.accept(Origin.unknown(Origin.Reason.UNANSWERED, OriginCensus.LATEST_ANSWER_MILLIS));
			return;
		}
		OriginCensus census = OriginCensus.of(this.witnesses.known(request, OriginCensus.WITNESSES), this.present,
				boundMillis);
		census.addCaller(caller);
		census.answered(this.self, this.table.find(request, nowNanos), this.knownSince.millis(nowNanos));
		this.censuses.put(request, census);
		ask(request, census, nowNanos);
	}

	private void ask(StreamKey request, OriginCensus census, long nowNanos) {
		List<String> asked = census.isDecided() ? List.of() : census.nextRound(nowNanos);
		if (asked.isEmpty()) {
			end(request, census, nowNanos);
			return;
		}
		List<OriginMessage> question = List.of(new Asked(request, this.self));
		asked.forEach((gateway) -> this.sender.accept(gateway, question));
	}

	private void end(StreamKey request, OriginCensus census, long nowNanos) {
		census.end();
		if (!census.isAwaiting(nowNanos)) {
			this.censuses.remove(request);
		}
	}

	/**
	 * Records that the process of a gateway has ended, so that it does not answer.
	 * @param gateway the name of the gateway
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void gatewayEnded(String gateway, long nowNanos) {
		List.copyOf(this.censuses.entrySet()).forEach((entry) -> {
			entry.getValue().gatewayEnded(gateway);
			endIfDecided(entry.getKey(), entry.getValue(), nowNanos);
		});
	}

	private void endIfDecided(StreamKey request, OriginCensus census, long nowNanos) {
		if (!census.hasEnded() && census.isDecided()) {
			end(request, census, nowNanos);
		}
	}

	private void ask(StreamKey stream, OriginLookup lookup, long nowNanos) {
		List<String> gateways = lookup.nextRound(nowNanos);
		if (gateways.isEmpty()) {
			end(stream, Origin.unknown());
			return;
		}
		List<OriginMessage> asked = List.of(new Asked(stream, this.self));
		gateways.forEach((gateway) -> this.sender.accept(gateway, asked));
	}

	private void end(StreamKey stream, Origin origin) {
		this.lookups.remove(stream).end(origin);
	}

	/**
	 * Asks again, or gives up, where answers are late.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void tick(long nowNanos) {
		List.copyOf(this.lookups.entrySet())
			.stream()
			.filter((entry) -> entry.getValue().isRoundOver(nowNanos))
			.forEach((entry) -> ask(entry.getKey(), entry.getValue(), nowNanos));
		this.censuses.values().removeIf((census) -> census.hasEnded() && !census.isAwaiting(nowNanos));
		List.copyOf(this.censuses.entrySet())
			.stream()
			.filter((entry) -> !entry.getValue().hasEnded() && entry.getValue().isRoundOver(nowNanos))
			.forEach((entry) -> ask(entry.getKey(), entry.getValue(), nowNanos));
	}

	// -- messages

	/**
	 * Processes a message of another gateway.
	 * @param message the message
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @param reply sends an answer to that gateway
	 */
	public void receive(OriginMessage message, long nowNanos, Consumer<OriginMessage> reply) {
		running(nowNanos);
		switch (message) {
			case Told told -> told(told, nowNanos, reply);
			case Asked asked -> reply.accept(new Answered(asked.stream(), this.self,
					this.table.find(asked.stream(), nowNanos), this.knownSince.millis(nowNanos)));
			case Answered answered -> answered(answered, nowNanos);
		}
	}

	// The other gateways that may be asked keep one of the versions only.
	private void told(Told told, long nowNanos, Consumer<OriginMessage> reply) {
		Origin before = this.table.find(told.stream(), nowNanos);
		this.table.record(told.stream(), told.origin(), told.ageMillis(), nowNanos);
		Origin after = this.table.find(told.stream(), nowNanos);
		if (after instanceof Origin.Ambiguous && !before.equals(after)) {
			OriginMessage ambiguous = new Told(told.stream(), after, 0);
			reply.accept(ambiguous);
			this.holders.known(told.stream(), ASKED_FIRST)
				.forEach((gateway) -> this.sender.accept(gateway, List.of(ambiguous)));
		}
		resolve(told.stream(), nowNanos);
	}

	private void answered(Answered answered, long nowNanos) {
		OriginCensus census = this.censuses.get(answered.stream());
		if (census != null) {
			census.answered(answered.from(), answered.origin(), answered.knownMillis());
			endIfDecided(answered.stream(), census, nowNanos);
		}
		OriginLookup lookup = this.lookups.get(answered.stream());
		if (lookup == null) {
			return;
		}
		if (answered.origin() instanceof Origin.Unknown) {
			lookup.unknownAt(answered.from());
			if (lookup.isAnswered()) {
				ask(answered.stream(), lookup, nowNanos);
			}
			return;
		}
		this.table.record(answered.stream(), answered.origin(), 0, nowNanos);
		resolve(answered.stream(), nowNanos);
	}

	private void resolve(StreamKey stream, long nowNanos) {
		Origin origin = this.table.find(stream, nowNanos);
		if (this.lookups.containsKey(stream) && !(origin instanceof Origin.Unknown)) {
			end(stream, origin);
		}
	}

	// -- queries

	/**
	 * Returns whether the origin of a stream is being asked for, so that
	 * {@link #tick(long)} must be called.
	 * @return false if all streams were found or given up
	 */
	public boolean isAsking() {
		return !this.lookups.isEmpty() || !this.censuses.isEmpty();
	}

	/**
	 * Returns the gateways that have not answered yet.
	 * @return their names
	 */
	public Set<String> unanswered() {
		Set<String> unanswered = new HashSet<>();
		this.censuses.values()
			.stream()
			.filter((census) -> !census.hasEnded())
			.forEach((census) -> unanswered.addAll(census.unanswered()));
		return unanswered;
	}

	/**
	 * Returns for how long this gateway knows the origins of all streams that it began or
	 * should have been told of.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the time in milliseconds
	 */
	public long knownMillis(long nowNanos) {
		return this.knownSince.millis(nowNanos);
	}

	/**
	 * Returns the origins that this gateway keeps.
	 * @return the table
	 */
	public OriginTable table() {
		return this.table;
	}

}
