package org.rosemaryfront.streams;

import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import org.rosemaryfront.streams.OriginFleet.Question;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests in virtual time at which version streams go on whose callers do not name the
 * first call but repeat its request, which others send as well.
 */
class RequestOriginTests {

	// Guards against streams of two versions where what one gateway, or some, know of a
	// request is taken for all streams that it began.
	@ParameterizedTest
	@MethodSource("troubles")
	void shouldGoOnAtNoOtherVersionWhenRequestsAreShared(RequestTrouble trouble, int gateways, long seed) {
		OriginFleet fleet = trouble.play(Question.REQUEST, gateways, seed);
		assertThat(fleet.joined()).as("%s %s", trouble, fleet.outcome()).isZero();
	}

	static Stream<Arguments> troubles() {
		return Stream.of(RequestTrouble.values())
			.flatMap((trouble) -> Stream.of(1L, 2L).map((seed) -> Arguments.of(trouble, 9, seed)));
	}

}
