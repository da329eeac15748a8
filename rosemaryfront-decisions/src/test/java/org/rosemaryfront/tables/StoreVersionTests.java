package org.rosemaryfront.tables;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class StoreVersionTests {

	@Test
	void shouldOrderByGenerationFirst() {
		assertThat(StoreVersion.of(1, 225)).isLessThan(StoreVersion.of(2, 191));
		assertThat(StoreVersion.of(2, 191)).isLessThan(StoreVersion.of(2, 192));
	}

	@ParameterizedTest
	@CsvSource({ "0, 0, 0", "0, 225, 225", "3, 191, 3/191", "8388607, 1099511627775, 8388607/1099511627775" })
	void shouldReturnGenerationAndNumber(long generation, long number, String text) {
		long version = StoreVersion.of(generation, number);
		assertThat(StoreVersion.generation(version)).isEqualTo(generation);
		assertThat(StoreVersion.number(version)).isEqualTo(number);
		assertThat(StoreVersion.format(version)).isEqualTo(text);
	}

	@ParameterizedTest
	@CsvSource({ "-1, 0", "0, -1", "8388608, 0", "0, 1099511627776" })
	void shouldRejectVersionWhenItDoesNotFit(long generation, long number) {
		assertThatIllegalArgumentException().isThrownBy(() -> StoreVersion.of(generation, number))
			.withMessageContaining("version " + number + " of generation " + generation);
	}

}
