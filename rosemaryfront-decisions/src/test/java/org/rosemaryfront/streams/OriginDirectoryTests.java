package org.rosemaryfront.streams;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class OriginDirectoryTests {

	private static final int GATEWAYS = 9;

	private static final StreamKey STREAM = StreamKey.of("o", "s", "call-1");

	private static final long BOUND_MILLIS = 15_000;

	/** Longer than a lookup lasts. */
	private static final long LATE_MILLIS = 1_000;

	private final Map<String, OriginDirectory> gateways = new HashMap<>();

	/** Gateways that receive nothing. */
	private final Set<String> silent = new HashSet<>();

	private long nowNanos;

	private void start(String gateway) {
		this.gateways.put(gateway,
				OriginDirectory.of(gateway, (to, messages) -> deliver(gateway, to, messages), this.nowNanos));
		this.gateways.forEach((name, directory) -> {
			Set<String> others = names().stream().filter((other) -> !other.equals(name)).collect(Collectors.toSet());
			directory.gateways(others, others, this.nowNanos);
		});
	}

	private void startAll() {
		names().forEach(this::start);
	}

	private static List<String> names() {
		return IntStream.range(0, GATEWAYS).mapToObj((i) -> "g" + i).toList();
	}

	private void deliver(String from, String to, List<OriginMessage> messages) {
		if (this.gateways.containsKey(to) && !this.silent.contains(to)) {
			messages.forEach((message) -> this.gateways.get(to)
				.receive(message, this.nowNanos, (reply) -> deliver(to, from, List.of(reply))));
		}
	}

	private Origin find(String gateway, StreamKey stream) {
		List<Origin> found = new ArrayList<>();
		OriginDirectory directory = this.gateways.get(gateway);
		directory.find(stream, this.nowNanos, found::add);
		for (int i = 0; i < LATE_MILLIS / 50 && found.isEmpty(); i++) {
			this.nowNanos += TimeUnit.MILLISECONDS.toNanos(50);
			directory.tick(this.nowNanos);
		}
		assertThat(found).hasSize(1);
		return found.getFirst();
	}

	// Guards against a stream that nobody can take up because its first gateway was
	// killed.
	@Test
	void shouldFindOriginAtAnyGatewayWhenFirstOneIsGone() {
		startAll();
		this.gateways.get("g0").began(STREAM, "v1", this.nowNanos);
		this.gateways.remove("g0");
		this.gateways.keySet().forEach((gateway) -> assertThat(find(gateway, STREAM)).isEqualTo(Origin.known("v1")));
	}

	@Test
	void shouldNotGuessOriginWhenNobodyKnowsIt() {
		startAll();
		assertThat(find("g0", STREAM)).isEqualTo(Origin.unknown());
		this.gateways.get("g1").began(STREAM, "v1", this.nowNanos);
		assertThat(find("g0", StreamKey.of("other", "s", "call-1"))).isEqualTo(Origin.unknown());
		assertThat(find("g0", StreamKey.of("o", "other", "call-1"))).isEqualTo(Origin.unknown());
	}

	// Guards against callers who wait for gateways that do not answer.
	@Test
	void shouldEndLookupWhenNobodyAnswers() {
		startAll();
		this.silent.addAll(names());
		assertThat(find("g0", STREAM)).isEqualTo(Origin.unknown());
		assertThat(this.gateways.get("g0").isAsking()).isFalse();
	}

	@Test
	void shouldEndLookupAtOnceWhenThereIsNoOtherGateway() {
		OriginDirectory alone = OriginDirectory.of("g0", (_, _) -> {
		}, 0);
		List<Origin> found = new ArrayList<>();
		alone.find(STREAM, 0, found::add);
		assertThat(found).containsExactly(Origin.unknown());
	}

	// Guards against an id that began two streams and sends one of them to the other's
	// version.
	@Test
	void shouldNotGuessOriginWhenTwoVersionsBeganStreamsWithSameId() {
		startAll();
		this.gateways.get("g0").began(STREAM, "v1", this.nowNanos);
		this.gateways.get("g1").began(STREAM, "v2", this.nowNanos);
		for (int i = 2; i < GATEWAYS; i++) {
			assertThat(find("g" + i, STREAM)).isEqualTo(Origin.ambiguous());
		}
	}

	// Guards against origins that are lost when gateways are killed one after the other.
	@Test
	void shouldKeepOriginWhenAllGatewaysAreRestartedInSeries() {
		startAll();
		this.gateways.get("g0").began(STREAM, "v1", this.nowNanos);
		for (String restarted : names()) {
			start(restarted);
			this.gateways.forEach((name, directory) -> {
				if (!name.equals(restarted)) {
					directory.gatewayStarted(restarted, this.nowNanos);
				}
			});
		}
		names().forEach((gateway) -> assertThat(find(gateway, STREAM)).isEqualTo(Origin.known("v1")));
	}

	// Guards against origins that end with planned stops.
	@Test
	void shouldKeepOriginWhenItsHoldersStop() {
		startAll();
		this.gateways.get("g0").began(STREAM, "v1", this.nowNanos);
		for (int i = 0; i < GATEWAYS - 1; i++) {
			String stopping = "g" + i;
			this.gateways.forEach((name, directory) -> {
				Set<String> live = this.gateways.keySet()
					.stream()
					.filter((other) -> !other.equals(name) && !other.equals(stopping))
					.collect(Collectors.toSet());
				directory.gateways(live, live, this.nowNanos);
			});
			this.gateways.remove(stopping).handOver(this.nowNanos);
		}
		assertThat(find("g" + (GATEWAYS - 1), STREAM)).isEqualTo(Origin.known("v1"));
	}

	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void shouldForgetOriginWhenNoEventWasSentForLong(boolean takenUp) {
		startAll();
		this.gateways.get("g0").began(STREAM, "v1", this.nowNanos);
		long half = TimeUnit.MILLISECONDS.toNanos(OriginTable.MAX_AGE_MILLIS / 2 + 1);
		this.nowNanos += half;
		if (takenUp) {
			this.gateways.get("g1").began(STREAM, "v1", this.nowNanos);
		}
		this.gateways.get("g2").gatewayStarted("g3", this.nowNanos);
		this.nowNanos += half;
		assertThat(find("g0", STREAM)).isEqualTo(takenUp ? Origin.known("v1") : Origin.unknown());
	}

	// Guards against a stream that goes on by what a gateway was told of its request
	// before it started, stood still, was cut off or forgot origins.
	@ParameterizedTest
	@EnumSource
	void shouldNotTakeRequestForStreamWhenNotAllStreamsAreKnown(Trouble trouble) {
		startAll();
		run(BOUND_MILLIS);
		this.gateways.get("g0").began(STREAM, "v1", this.nowNanos);
		assertThat(findOfRequest("g1")).isEqualTo(Origin.known("v1"));
		trouble.happen(this);
		this.gateways.get("g0").began(STREAM, "v1", this.nowNanos);
		assertThat(findOfRequest("g1")).isInstanceOfSatisfying(Origin.Unknown.class, (unknown) -> {
			assertThat(unknown.reason()).isEqualTo(trouble.reason);
			assertThat(unknown.retryMillis()).isBetween(1L, BOUND_MILLIS);
		});
		this.silent.clear();
		run(BOUND_MILLIS + LATE_MILLIS);
		assertThat(findOfRequest("g1")).isEqualTo(Origin.known("v1"));
	}

	// Guards against streams that nobody takes up while a killed gateway is away.
	@Test
	void shouldTakeRequestForStreamWhenSilentGatewayHasEnded() {
		startAll();
		run(BOUND_MILLIS);
		this.gateways.get("g0").began(STREAM, "v1", this.nowNanos);
		this.gateways.remove("g0");
		List<Origin> found = new ArrayList<>();
		this.gateways.get("g1").findOfRequest(STREAM, BOUND_MILLIS, this.nowNanos, found::add);
		assertThat(found).isEmpty();
		assertThat(this.gateways.get("g1").unanswered()).containsExactly("g0");
		this.gateways.get("g1").gatewayEnded("g0", this.nowNanos);
		assertThat(found).containsExactly(Origin.known("v1"));
	}

	// Guards against requests that are refused for good once a VM was lost.
	@Test
	void shouldTakeRequestForStreamWhenSilentGatewayIsGone() {
		startAll();
		this.gateways.remove("g0");
		run(TimeUnit.NANOSECONDS.toMillis(GatewaySilence.GONE_NANOS) + LATE_MILLIS);
		this.gateways.get("g1").began(STREAM, "v1", this.nowNanos);
		assertThat(findOfRequest("g2")).isEqualTo(Origin.known("v1"));
	}

	// Guards against a stream that goes on at the version of another one with its
	// request, where its own gateway knows better.
	@Test
	void shouldNotTakeOwnTableForAllWhenOtherGatewayKnowsAnotherVersion() {
		startAll();
		run(BOUND_MILLIS);
		this.gateways.get("g0").began(STREAM, "v1", this.nowNanos);
		this.silent.addAll(names());
		this.gateways.get("g1").began(STREAM, "v2", this.nowNanos);
		this.silent.clear();
		names().forEach((gateway) -> assertThat(findOfRequest(gateway)).isEqualTo(Origin.ambiguous()));
	}

	private Origin findOfRequest(String gateway) {
		List<Origin> found = new ArrayList<>();
		OriginDirectory directory = this.gateways.get(gateway);
		directory.findOfRequest(STREAM, BOUND_MILLIS, this.nowNanos, found::add);
		for (int i = 0; i < LATE_MILLIS / 50; i++) {
			run(50);
			directory.tick(this.nowNanos);
		}
		assertThat(found).hasSize(1);
		return found.getFirst();
	}

	// Lets the time pass at gateways that run; all but silent ones hear of one another.
	private void run(long millis) {
		for (long until = this.nowNanos + TimeUnit.MILLISECONDS.toNanos(millis); this.nowNanos < until;) {
			this.nowNanos += TimeUnit.MILLISECONDS.toNanos(50);
			this.gateways.forEach((name, directory) -> directory.gateways(others(name), heard(name), this.nowNanos));
		}
	}

	private static Set<String> others(String name) {
		return names().stream().filter((other) -> !other.equals(name)).collect(Collectors.toSet());
	}

	private Set<String> heard(String name) {
		return others(name).stream()
			.filter((other) -> this.gateways.containsKey(other) && !this.silent.contains(other)
					&& !this.silent.contains(name))
			.collect(Collectors.toSet());
	}

	@Test
	void shouldDropOldestOriginWhenThereAreTooMany() {
		OriginTable table = OriginTable.empty();
		for (int i = 0; i <= OriginTable.MAX_ORIGINS; i++) {
			table.record(StreamKey.of("o", "s", "call-" + i), Origin.known("v1"), 0, i);
		}
		assertThat(table.size()).isEqualTo(OriginTable.MAX_ORIGINS);
		assertThat(table.evictions()).isEqualTo(1);
		assertThat(table.find(StreamKey.of("o", "s", "call-0"), 0)).isEqualTo(Origin.unknown());
		assertThat(table.find(StreamKey.of("o", "s", "call-1"), 0)).isEqualTo(Origin.known("v1"));
	}

	/** What makes gateways miss streams. */
	private enum Trouble {

		START(Origin.Reason.NOT_ALL_KNOWN) {
			@Override
			void happen(OriginDirectoryTests test) {
				test.startAll();
			}
		},

		PAUSE(Origin.Reason.NOT_ALL_KNOWN) {
			@Override
			void happen(OriginDirectoryTests test) {
				test.nowNanos += TimeUnit.SECONDS.toNanos(2);
			}
		},

		SUSPENSION(Origin.Reason.NOT_ALL_KNOWN) {
			@Override
			void happen(OriginDirectoryTests test) {
				test.gateways.values().forEach((directory) -> directory.suspended(test.nowNanos));
			}
		},

		CUT_OFF(Origin.Reason.NOT_ALL_KNOWN) {
			@Override
			void happen(OriginDirectoryTests test) {
				test.silent.addAll(names());
				test.run(LATE_MILLIS);
				test.silent.clear();
			}
		},

		EVICTION(Origin.Reason.NOT_ALL_KNOWN) {
			@Override
			void happen(OriginDirectoryTests test) {
				for (int i = 0; i <= OriginTable.MAX_ORIGINS; i++) {
					StreamKey other = StreamKey.of("o", "s", "other-" + i);
					test.gateways.values()
						.forEach((directory) -> directory.table().record(other, Origin.known("v1"), 0, test.nowNanos));
				}
			}
		},

		ONE_SILENT(Origin.Reason.UNANSWERED) {
			@Override
			void happen(OriginDirectoryTests test) {
				test.silent.add("g8");
			}
		};

		private final Origin.Reason reason;

		Trouble(Origin.Reason reason) {
			this.reason = reason;
		}

		abstract void happen(OriginDirectoryTests test);

	}

}
