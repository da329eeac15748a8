package org.rosemaryfront.dispatch;

import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class SlotSharesTests {

	// Guards against gateways that together use more slots than a server has, and against
	// one that never gets any.
	@ParameterizedTest
	@CsvSource({ "9, 4", "9, 48", "87, 48", "385, 48", "1, 6" })
	void shouldDivideSlotsAmongAllGatewaysInTurns(int gateways, int slots) {
		List<String> names = IntStream.range(0, gateways).mapToObj((i) -> "gateway-" + i).toList();
		int[] used = new int[gateways];
		for (long turn = 0; turn < 200; turn++) {
			int sum = 0;
			for (int i = 0; i < gateways; i++) {
				int own = new SlotShares(names.get(i), names, turn).slotsOf("s1", slots);
				used[i] += own;
				sum += own;
			}
			assertThat(sum).isBetween(Math.min(slots, gateways) * slots / (slots + gateways), slots);
		}
		assertThat(IntStream.of(used).min().orElse(0)).isPositive();
	}

}
