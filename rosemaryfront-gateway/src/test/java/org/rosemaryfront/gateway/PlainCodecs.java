package org.rosemaryfront.gateway;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;

import io.netty.handler.codec.http.HttpHeaders;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.limits.ServerStatements;
import org.rosemaryfront.limits.StatedBackoff;
import org.rosemaryfront.limits.StatedLeaving;
import org.rosemaryfront.limits.StatedLimit;
import org.rosemaryfront.ports.CallCodec;
import org.rosemaryfront.ports.CallMetadata;
import org.rosemaryfront.ports.CallMetadata.Prompt;
import org.rosemaryfront.ports.CallMetadata.Resumption;
import org.rosemaryfront.ports.CallMetadata.Segment;
import org.rosemaryfront.ports.ForwardingMetadata;
import org.rosemaryfront.ports.RecordCodec;
import org.rosemaryfront.ports.ResponseMetadata;
import org.rosemaryfront.rollout.Phase;
import org.rosemaryfront.rollout.RolloutOrder;
import org.rosemaryfront.routes.TrafficConfiguration;

/** Plain-text codecs of headers and rows, for tests. */
final class PlainCodecs implements CallCodec, RecordCodec {

	private static final String ROLLOUT = "rollout/";

	private final Map<String, TrafficConfiguration> configurations;

	/** How many rows were decoded as a configuration. */
	final AtomicInteger configurationsDecoded = new AtomicInteger();

	private final UnaryOperator<String> addresses;

	/** What names the gateway to servers, empty for nothing. */
	private final String sender;

	/** How long sending a call keeps the thread of all sockets busy, in milliseconds. */
	private final long sendMillis;

	private PlainCodecs(Map<String, TrafficConfiguration> configurations, UnaryOperator<String> addresses,
			String sender, long sendMillis) {
		this.configurations = configurations;
		this.addresses = addresses;
		this.sender = sender;
		this.sendMillis = sendMillis;
	}

	PlainCodecs() {
		this(new ConcurrentHashMap<>(), UnaryOperator.identity(), "", 0);
	}

	/**
	 * Returns codecs for a gateway that has little processor time for its calls.
	 * @param millis how long sending a call keeps the thread of all sockets busy, in
	 * milliseconds
	 * @return the codecs
	 */
	PlainCodecs withSendMillis(long millis) {
		return new PlainCodecs(this.configurations, this.addresses, this.sender, millis);
	}

	/**
	 * Returns codecs for a gateway that names itself to servers.
	 * @param name the name
	 * @return the codecs
	 */
	PlainCodecs withSender(String name) {
		return new PlainCodecs(this.configurations, this.addresses, name, this.sendMillis);
	}

	/**
	 * Returns codecs for a gateway that reaches the servers at other addresses than those
	 * registered.
	 * @param translation translates a registered address
	 * @return the codecs
	 */
	PlainCodecs withServersAt(UnaryOperator<String> translation) {
		return new PlainCodecs(this.configurations, translation, this.sender, this.sendMillis);
	}

	/**
	 * Registers a configuration so that its row can be decoded.
	 * @param configuration the configuration
	 * @return the value of its row
	 */
	String row(TrafficConfiguration configuration) {
		String name = "version-" + configuration.version();
		this.configurations.put(name, configuration);
		return name;
	}

	// -- calls

	@Override
	public CallMetadata callMetadata(HttpHeaders headers) {
		String millis = headers.get("Remaining");
		return new CallMetadata(headers.get("Call", ""),
				(millis != null) ? OptionalLong.of(Long.parseLong(millis)) : OptionalLong.empty(),
				Optional.ofNullable(headers.get("Key")),
				Optional.ofNullable(headers.get("Prompt")).map(PlainCodecs::prompt), resumption(headers));
	}

	private static Optional<Resumption> resumption(HttpHeaders headers) {
		Optional<String> call = Optional.ofNullable(headers.get("First-Call"));
		Optional<String> event = Optional.ofNullable(headers.get("Resume-After"));
		return (call.isPresent() || event.isPresent()) ? Optional.of(new Resumption(call.isPresent(), call, event))
				: Optional.empty();
	}

	// A prompt is a list of segments "name:tokens", the last of which belongs to the call
	// alone.
	private static Prompt prompt(String text) {
		List<Segment> parts = Stream.of(text.split(","))
			.map((part) -> part.split(":"))
			.map((part) -> new Segment(part[0], Integer.parseInt(part[1])))
			.toList();
		return new Prompt(parts.stream().mapToInt(Segment::tokens).sum(), 10, parts);
	}

	@Override
	public void toServerHeaders(HttpHeaders headers, ForwardingMetadata handover) {
		LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(this.sendMillis));
		headers.remove("Key");
		headers.set("Remaining", handover.remainingMillis());
		headers.set("Server", handover.serverId());
		headers.set("Sender", this.sender);
		headers.remove("Organisation");
		handover.organisation().ifPresent((name) -> headers.set("Organisation", name));
		handover.runCopy().ifPresent((copy) -> headers.set("Run-Copy", copy.sourceAddress() + "/" + copy.handle()));
		handover.resumeAfter().ifPresent((event) -> headers.set("Resume-After", event));
	}

	@Override
	public ResponseMetadata responseMetadata(int status, HttpHeaders headers) {
		return new ResponseMetadata(headers.get("Call", ""), headers.contains("Signature"), headers.contains("Not-Run"),
				new ServerStatements(StatedLimit.parse(headers.getAll("Limit")),
						StatedLimit.parse(headers.getAll("Rejections")), StatedLeaving.parse(headers.getAll("Leaving")),
						(status == 503) ? StatedBackoff.parse(headers.getAll("Retry-After")) : StatedBackoff.none()));
	}

	@Override
	public void toCallerHeaders(HttpHeaders headers) {
		headers.remove("Not-Run");
	}

	@Override
	public void toCallerRequest(HttpHeaders headers, CallMetadata metadata) {
		headers.set("Call", metadata.requestId());
		metadata.remainingMillis().ifPresent((millis) -> headers.set("Remaining", millis));
		metadata.key().ifPresent((key) -> headers.set("Key", key));
		metadata.prompt().ifPresent((prompt) -> headers.set("Prompt", prompt.segmentList()));
	}

	@Override
	public void toServerResponse(HttpHeaders headers, String requestId) {
		headers.set("Call", requestId);
		headers.set("Signature", "s");
	}

	// -- rows

	@Override
	public RowLocation configuration() {
		return new RowLocation("declared", "traffic");
	}

	@Override
	public String serversTable() {
		return "servers";
	}

	@Override
	public Optional<String> rolloutService(String key) {
		return key.startsWith(ROLLOUT) ? Optional.of(key.substring(ROLLOUT.length())) : Optional.empty();
	}

	// A row is "version millis".
	@Override
	public RolloutOrder rolloutOrder(String service, byte[] value, long version) {
		String[] parts = new String(value, StandardCharsets.UTF_8).split(" ");
		if (parts.length != 2) {
			throw new IllegalArgumentException("invalid roll-out order");
		}
		return new RolloutOrder(service, parts[0], Long.parseLong(parts[1]), version);
	}

	@Override
	public RowLocation rolloutState(String service) {
		return new RowLocation("states", service);
	}

	@Override
	public byte[] rolloutState(String to, Phase phase) {
		return (to + " " + phase).getBytes(StandardCharsets.UTF_8);
	}

	@Override
	public TrafficConfiguration configuration(byte[] value) {
		this.configurationsDecoded.incrementAndGet();
		String name = new String(value, StandardCharsets.UTF_8);
		return Optional.ofNullable(this.configurations.get(name))
			.orElseThrow(() -> new IllegalArgumentException("unknown configuration: " + name));
	}

	// A row is "service address state", optionally followed by start, version and
	// sequence number.
	@Override
	public BackendServer server(String id, byte[] value) {
		String[] parts = new String(value, StandardCharsets.UTF_8).split(" ");
		if (parts.length < 3) {
			throw new IllegalArgumentException("invalid registration");
		}
		long started = (parts.length > 3) ? Long.parseLong(parts[3]) : BackendServer.START_UNKNOWN;
		String version = (parts.length > 4) ? parts[4] : "v1";
		long sequence = (parts.length > 5) ? Long.parseLong(parts[5]) : 0;
		return new BackendServer(id, started, parts[0], version, this.addresses.apply(parts[1]), "a", 8,
				parts[2].equals("leaving"), false, sequence);
	}

}
