package org.rosemaryfront.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rosemaryfront.traffic.HeldBytes.Holding;

import static org.assertj.core.api.Assertions.assertThat;

class HeldBytesTests {

	private static final int MEGABYTE = 1_048_576;

	private final List<Holding> holdings = new ArrayList<>();

	private final List<String> released = new ArrayList<>();

	private final HeldBytes held = HeldBytes.of(() -> this.holdings, (_, _) -> {
	});

	// Guards against many calls that each hold less than one call may.
	@ParameterizedTest
	@CsvSource({ "16, 0", "17, 1", "40, 24" })
	void shouldReleaseUntilSumOfAllCallsIsWithinBound(int calls, int expected) {
		IntStream.range(0, calls).forEach((i) -> hold("s" + i, "call" + i, MEGABYTE));
		count();
		assertThat(this.released).hasSize(expected);
	}

	// Guards against calls at sound servers that end because of those at a faulty one.
	@Test
	void shouldReleaseCallsOfServerThatHoldsMostInSum() {
		IntStream.range(0, 20).forEach((i) -> hold("faulty", "faulty" + i, MEGABYTE));
		hold("sound", "sound", 2 * MEGABYTE);
		count();
		assertThat(this.released).hasSize(6).allMatch((call) -> call.startsWith("faulty"));
	}

	// Guards against calls at sound servers that end for the length of their requests.
	@Test
	void shouldNotReleaseResponsesWhenRequestsAreManyOrLong() {
		IntStream.range(0, 40).forEach((i) -> holdRequest("sent" + i, Optional.empty()));
		hold("s", "response", MEGABYTE);
		count();
		assertThat(this.released).isEmpty();
	}

	// Guards against requests that are kept without a bound: those that no server has are
	// refused.
	@Test
	void shouldReleaseRequestsThatNoServerHas() {
		IntStream.range(0, 20).forEach((i) -> holdRequest("sent" + i, Optional.empty()));
		IntStream.range(0, 8).forEach((i) -> holdRequest("unsent" + i, Optional.of(() -> this.released.add("unsent"))));
		count();
		assertThat(this.released).hasSize(4);
	}

	@Test
	void shouldReleaseLargestCallOfServerFirst() {
		IntStream.range(0, 16).forEach((i) -> hold("s", "small" + i, MEGABYTE));
		hold("s", "large", 2 * MEGABYTE);
		count();
		assertThat(this.released.getFirst()).isEqualTo("large");
	}

	// Guards against a count for each chunk, which takes longer the more calls there are.
	@Test
	void shouldCountAgainOnlyWhenMuchWasReceived() {
		IntStream.range(0, 17).forEach((i) -> hold("s", "call" + i, MEGABYTE));
		this.held.received((int) HeldBytes.COUNT_INTERVAL_BYTES - 1);
		assertThat(this.released).isEmpty();
		this.held.received(1);
		assertThat(this.released).hasSize(1);
		assertThat(this.held.countedBytes()).isEqualTo(17L * MEGABYTE);
	}

	private void hold(String holder, String call, long bytes) {
		this.holdings.add(Holding.response(holder, bytes, () -> this.released.add(call)));
	}

	private void holdRequest(String caller, Optional<Runnable> release) {
		this.holdings.add(Holding.request(caller, MEGABYTE, release));
	}

	private void count() {
		this.held.received((int) HeldBytes.COUNT_INTERVAL_BYTES);
	}

}
