package org.rosemaryfront.gateway;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;

import org.rosemaryfront.gateway.proto.StreamMessages;
import org.rosemaryfront.gateway.proto.StreamOrigin;
import org.rosemaryfront.streams.Origin;
import org.rosemaryfront.streams.OriginDirectory;
import org.rosemaryfront.streams.OriginMessage;
import org.rosemaryfront.streams.StreamKey;
import org.rosemaryfront.traffic.StreamDirectory;
import org.rosemaryfront.traffic.TrafficMetrics;

/**
 * Exchanges the origins of streams with the other gateways. Confined to the traffic
 * thread, except where noted, so that what is told has left before the event that it is
 * about.
 */
final class StreamOrigins implements StreamDirectory {

	private static final long TICK_MILLIS = 50;

	/** So that a datagram with origins fits into one packet of the network. */
	private static final int MAX_MESSAGES = 40;

	private final EventLoop loop;

	private final BiConsumer<InetSocketAddress, StreamMessages> socket;

	private final TrafficMetrics metrics;

	private final OriginDirectory directory;

	private final EndedProbe probe;

	private final PauseDetector pauses = new PauseDetector(System.nanoTime(), System.currentTimeMillis());

	private Map<String, InetSocketAddress> addresses = Map.of();

	/** The number of origins kept; read on any thread. */
	private volatile int size;

	private volatile long evictions;

	/** For how long all streams are known, in milliseconds; read on any thread. */
	private volatile long knownMillis;

	private boolean ticking;

	/** Whether the gateways were asked at the last tick as well. */
	private boolean asking;

	/**
	 * Creates the origins of a gateway that knows no other one.
	 * @param loop the traffic thread
	 * @param self the name of this gateway
	 * @param socket sends messages to the address of another gateway
	 * @param metrics counts what is told and asked
	 */
	StreamOrigins(EventLoop loop, String self, BiConsumer<InetSocketAddress, StreamMessages> socket,
			TrafficMetrics metrics) {
		this.loop = loop;
		this.socket = socket;
		this.metrics = metrics;
		this.directory = OriginDirectory.of(self, this::send, System.nanoTime());
		this.probe = new EndedProbe(loop);
		metrics.gauge("streams.origins", () -> this.size);
		metrics.gauge("streams.origins.known.millis", () -> this.knownMillis);
		metrics.gauge("streams.origins.evicted", () -> this.evictions);
	}

	// -- the fleet, on any thread

	/**
	 * Sets the other gateways.
	 * @param known the addresses of all that may be running, by name
	 * @param live the names of those that were heard of late
	 */
	void gateways(Map<String, InetSocketAddress> known, Set<String> live) {
		this.loop.execute(() -> {
			long now = running();
			this.addresses = known;
			this.directory.gateways(known.keySet(), live, now);
			this.knownMillis = this.directory.knownMillis(now);
		});
	}

	// Called before anything is concluded from the own table, which may lack what was
	// told while this process stood still.
	private long running() {
		long now = System.nanoTime();
		if (!(this.pauses.check(now, System.currentTimeMillis()) instanceof PauseDetector.Observation.Running)) {
			this.directory.suspended(now);
		}
		return now;
	}

	/**
	 * Tells a gateway that has just started what it should keep.
	 * @param gateway the name of the gateway
	 */
	void gatewayStarted(String gateway) {
		this.loop.execute(() -> this.directory.gatewayStarted(gateway, System.nanoTime()));
	}

	/** Tells the other gateways all origins kept here, since this gateway is stopping. */
	void handOver() {
		this.loop.execute(() -> this.directory.handOver(System.nanoTime()));
	}

	// -- streams

	@Override
	public void began(StreamKey stream, String version) {
		this.directory.began(stream, version, System.nanoTime());
		recordSize();
	}

	@Override
	public void find(StreamKey stream, Consumer<Origin> caller) {
		this.directory.find(stream, System.nanoTime(), caller);
		tickWhileAsking();
	}

	@Override
	public void findOfRequest(StreamKey request, long boundMillis, Consumer<Origin> caller) {
		this.directory.findOfRequest(request, boundMillis, running(), caller);
		tickWhileAsking();
	}

	private void tickWhileAsking() {
		if (this.directory.isAsking() && !this.ticking) {
			this.ticking = true;
			this.loop.schedule(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	private void tick() {
		this.ticking = false;
		this.directory.tick(System.nanoTime());
		probeUnanswered();
		tickWhileAsking();
	}

	// Those that run answer within two readings of their sockets, mostly.
	private void probeUnanswered() {
		boolean before = this.asking;
		this.asking = this.directory.isAsking();
		if (before) {
			this.directory.unanswered().forEach(this::probe);
		}
	}

	private void probe(String gateway) {
		InetSocketAddress address = this.addresses.get(gateway);
		if (address != null) {
			this.probe.send(address, () -> this.directory.gatewayEnded(gateway, System.nanoTime()));
		}
	}

	private void recordSize() {
		this.size = this.directory.table().size();
		this.evictions = this.directory.table().evictions();
	}

	// -- messages

	private void send(String gateway, List<OriginMessage> messages) {
		InetSocketAddress address = this.addresses.get(gateway);
		for (int i = 0; address != null && i < messages.size(); i += MAX_MESSAGES) {
			send(address, messages.subList(i, Math.min(messages.size(), i + MAX_MESSAGES)));
		}
	}

	private void send(InetSocketAddress address, List<OriginMessage> messages) {
		StreamMessages.Builder encoded = StreamMessages.newBuilder();
		messages.forEach((message) -> encode(message, encoded));
		this.socket.accept(address, encoded.build());
		this.metrics.increment("streams.messages.sent");
	}

	private static void encode(OriginMessage message, StreamMessages.Builder encoded) {
		StreamKey stream = message.stream();
		switch (message) {
			case OriginMessage.Told told ->
				encoded.addTold(encode(stream, told.origin()).setAgeMillis((int) told.ageMillis()));
			case OriginMessage.Asked asked -> encoded.setGateway(asked.from())
				.addAsked(org.rosemaryfront.gateway.proto.StreamKey.newBuilder()
					.setHigh(stream.high())
					.setLow(stream.low()));
			case OriginMessage.Answered answered -> encoded.setGateway(answered.from())
				.addAnswered(encode(stream, answered.origin())
					.setAgeMillis((int) Math.min(answered.knownMillis(), Integer.MAX_VALUE)));
		}
	}

	private static StreamOrigin.Builder encode(StreamKey stream, Origin origin) {
		StreamOrigin.Builder encoded = StreamOrigin.newBuilder().setHigh(stream.high()).setLow(stream.low());
		return switch (origin) {
			case Origin.Known known -> encoded.setVersion(known.version());
			case Origin.Ambiguous _ -> encoded.setAmbiguous(true);
			case Origin.Unknown _ -> encoded;
		};
	}

	private static Origin decode(StreamOrigin encoded) {
		if (encoded.getAmbiguous()) {
			return Origin.ambiguous();
		}
		return encoded.hasVersion() ? Origin.known(encoded.getVersion()) : Origin.unknown();
	}

	/**
	 * Processes messages of another gateway.
	 * @param from its address
	 * @param messages the messages
	 */
	void receive(InetSocketAddress from, StreamMessages messages) {
		long now = running();
		Consumer<OriginMessage> reply = (answer) -> send(from, List.of(answer));
		messages.getToldList()
			.forEach((told) -> this.directory
				.receive(new OriginMessage.Told(new StreamKey(told.getHigh(), told.getLow()), decode(told),
						Math.max(0, told.getAgeMillis())), now, reply));
		messages.getAskedList()
			.forEach((asked) -> this.directory.receive(
					new OriginMessage.Asked(new StreamKey(asked.getHigh(), asked.getLow()), messages.getGateway()), now,
					reply));
		messages.getAnsweredList()
			.forEach(
					(answer) -> this.directory.receive(
							new OriginMessage.Answered(new StreamKey(answer.getHigh(), answer.getLow()),
									messages.getGateway(), decode(answer), Math.max(0, answer.getAgeMillis())),
							now, reply));
		recordSize();
	}

}
