package org.rosemaryfront.serving;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests of {@link PrefixBlocks}. */
class PrefixBlocksTests {

	@Test
	void shouldCountWordsAndHashOnlyFullBlocks() {
		assertThat(PrefixBlocks.of("m", "", "")).isEqualTo(new PrefixBlocks(0, java.util.List.of()));
		assertThat(PrefixBlocks.of("m", "", "  one\ttwo \n").tokens()).isEqualTo(2);
		assertThat(PrefixBlocks.of("m", "", words("w", 63)).hashes()).hasSize(1);
		assertThat(PrefixBlocks.of("m", "", words("w", 64)).hashes()).hasSize(2);
	}

	@Test
	void shouldTellModelsAndAdaptersApart() {
		String prompt = words("w", 32);
		assertThat(PrefixBlocks.of("m", "", prompt).hashes()).isNotEqualTo(PrefixBlocks.of("n", "", prompt).hashes())
			.isNotEqualTo(PrefixBlocks.of("m", "a", prompt).hashes());
	}

	@Property(tries = 200, seed = "1")
	void shouldShareHashesExactlyAsFarAsTheBlocksAreShared(@ForAll @IntRange(max = 200) int shared,
			@ForAll @IntRange(min = 1, max = 100) int more) {
		PrefixBlocks one = PrefixBlocks.of("m", "", words("s", shared) + words("a", more));
		PrefixBlocks other = PrefixBlocks.of("m", "", words("s", shared) + words("b", more));
		int common = shared / PrefixBlocks.BLOCK_TOKENS;
		int full = (shared + more) / PrefixBlocks.BLOCK_TOKENS;
		for (int i = 0; i < full; i++) {
			assertThat(one.hashes().get(i).equals(other.hashes().get(i))).isEqualTo(i < common);
		}
	}

	private static String words(String stem, int count) {
		StringBuilder text = new StringBuilder();
		for (int i = 0; i < count; i++) {
			text.append(' ').append(stem).append(i);
		}
		return text.toString();
	}

}
