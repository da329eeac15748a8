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
	void shouldReturnDifferentHashesWhenModelOrAdapterDiffers() {
		String prompt = words("w", 32);
		assertThat(PrefixBlocks.of("m", "", prompt).hashes()).isNotEqualTo(PrefixBlocks.of("n", "", prompt).hashes())
			.isNotEqualTo(PrefixBlocks.of("m", "a", prompt).hashes());
	}

	@Property(tries = 200, seed = "1")
	void shouldReturnEqualHashesOnlyForSharedBlocks(@ForAll @IntRange(max = 200) int sharedWords,
			@ForAll @IntRange(min = 1, max = 100) int otherWords) {
		PrefixBlocks first = PrefixBlocks.of("m", "", words("s", sharedWords) + words("a", otherWords));
		PrefixBlocks second = PrefixBlocks.of("m", "", words("s", sharedWords) + words("b", otherWords));
		int sharedBlocks = sharedWords / PrefixBlocks.BLOCK_TOKENS;
		int fullBlocks = (sharedWords + otherWords) / PrefixBlocks.BLOCK_TOKENS;
		for (int i = 0; i < fullBlocks; i++) {
			assertThat(first.hashes().get(i).equals(second.hashes().get(i))).isEqualTo(i < sharedBlocks);
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
