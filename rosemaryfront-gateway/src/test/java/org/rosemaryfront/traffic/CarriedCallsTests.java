package org.rosemaryfront.traffic;

import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class CarriedCallsTests {

	private static final int MAX_CALLS = 512;

	private final CarriedCalls calls = CarriedCalls.none();

	// Guards against a late response to an earlier call that is taken for that to the
	// current one.
	@ParameterizedTest
	@CsvSource(textBlock = """
			a, a, b, true
			a, a, a, false
			a, '', b, false
			'', '', b, false
			a, a, '', false
			""")
	void shouldCarryNextCallOnlyWhenItsResponseCanBeTold(String first, String named, String next, boolean carried) {
		this.calls.begin(first);
		this.calls.answered(named);
		assertThat(this.calls.mayCarry(next)).isEqualTo(carried);
	}

	@ParameterizedTest
	@CsvSource({ "a, true", "b, false", "'', true" })
	void shouldAcceptUnnamedResponseOfFirstCallOnly(String named, boolean current) {
		this.calls.begin("a");
		assertThat(this.calls.isCurrent(named)).isEqualTo(current);
		this.calls.answered("a");
		this.calls.begin("c");
		assertThat(this.calls.isCurrent("")).isFalse();
		assertThat(this.calls.isCurrent("a")).isFalse();
		assertThat(this.calls.isCurrent("c")).isTrue();
	}

	// Guards against a connection that keeps the name of each call for as long as it
	// lives.
	@Test
	void shouldCarryLimitedNumberOfCalls() {
		IntStream.range(0, MAX_CALLS - 1).forEach((i) -> this.calls.begin("call" + i));
		assertThat(this.calls.mayCarry("next")).isTrue();
		this.calls.begin("next");
		assertThat(this.calls.mayCarryMore()).isFalse();
		assertThat(this.calls.mayCarry("another")).isFalse();
	}

	@Test
	void shouldCarryAnyCallWhenItIsTheFirst() {
		assertThat(this.calls.mayCarry("")).isTrue();
		assertThat(this.calls.count()).isZero();
		assertThat(this.calls.current()).isEmpty();
	}

}
