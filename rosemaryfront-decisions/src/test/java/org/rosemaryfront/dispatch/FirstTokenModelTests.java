package org.rosemaryfront.dispatch;

import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rosemaryfront.dispatch.FirstTokenModel.Work;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class FirstTokenModelTests {

	private final FirstTokenModel model = new FirstTokenModel();

	// A deployment has engines with unknown parameters. With the parameters of other
	// engines, calls were sent to servers with long queues or rejected although servers
	// were idle.
	@ParameterizedTest
	@CsvSource({ "12, 66, 0.3, 0.28", "15, 20, 0.1, 0.5", "40, 180, 1.0, 0.05" })
	void shouldFitModelWhenEngineIsUnknown(double base, double tokensPerMilli, double perCall, double perPair) {
		Random random = new Random(7);
		for (int i = 0; i < 800; i++) {
			Work work = work(random);
			this.model.update(work, noise(random) * millis(work, base, tokensPerMilli, perCall, perPair));
		}
		int accurate = 0;
		for (int i = 0; i < 200; i++) {
			Work work = work(random);
			double ratio = millis(work, base, tokensPerMilli, perCall, perPair) / this.model.expectedMillis(work);
			accurate += (ratio > 0.67 && ratio < 1.5) ? 1 : 0;
		}
		assertThat(accurate).isGreaterThanOrEqualTo(160);
		double typical = 4_000 / (4_000 / tokensPerMilli + 10 * perPair);
		assertThat(this.model.prefillTokensPerMilli()).isCloseTo(typical, within(0.25 * typical));
	}

	@Test
	void shouldExpectConservativelyWhenNothingIsMeasured() {
		assertThat(this.model.expectedMillis(Work.of(0, 5_000, 5_000, 0))).isBetween(100.0, 200.0);
		assertThat(this.model.fittedCoefficients()).isEmpty();
	}

	// One call is answered after a long process pause of its server. It must not make
	// every server of the service appear slow.
	@Test
	void shouldLimitInfluenceWhenCallIsOutlier() {
		updateModel(200, new Random(3), 66);
		Work typical = Work.of(0, 4_000, 8_000, 4);
		double before = this.model.expectedMillis(typical);
		this.model.update(typical, 60_000);
		assertThat(this.model.expectedMillis(typical)).isLessThan(1.1 * before);
	}

	// Under low load, measurements show the total prefill time of a prompt, but hardly
	// whether tokens or token pairs cause it. A service size planned from either
	// coefficient alone varies between half and twice the required one.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10 })
	void shouldEstimatePrefillRateWhenLoadIsLow(long seed) {
		Random random = new Random(seed);
		for (int i = 0; i < 60; i++) {
			int promptTokens = 1_500 + random.nextInt(9_000);
			Work work = Work.of(0, promptTokens / 2, promptTokens, random.nextInt(4));
			this.model.update(work, noise(random) * millis(work, 12, 66, 0.3, 0.28));
		}
		assertThat(this.model.prefillTokensPerMilli()).isBetween(40.0, 95.0);
	}

	@Test
	void shouldAdaptWhenPrefillRateChanges() {
		Random random = new Random(5);
		updateModel(2_000, random, 66);
		updateModel(2_000, random, 33);
		assertThat(this.model.prefillTokensPerMilli()).isCloseTo(32, within(5.0));
	}

	// A restarted process receives the coefficients that the other processes have
	// fitted.
	@Test
	void shouldUseCoefficientsOfAnotherProcessWhenNothingIsMeasured() {
		updateModel(200, new Random(1), 20);
		FirstTokenModel other = new FirstTokenModel();
		other.adoptCoefficients(this.model.fittedCoefficients());
		assertThat(other.prefillTokensPerMilli()).isCloseTo(20, within(5.0));
	}

	@ParameterizedTest
	@ValueSource(doubles = { 0, -1, Double.NaN, Double.POSITIVE_INFINITY, 1e9 })
	void shouldIgnoreCoefficientsWhenInvalid(double rate) {
		double before = this.model.prefillTokensPerMilli();
		this.model.adoptCoefficients(List.of(12.0, rate, 0.3, 0.28));
		this.model.adoptCoefficients(List.of(12.0));
		assertThat(this.model.prefillTokensPerMilli()).isEqualTo(before);
	}

	private void updateModel(int calls, Random random, double tokensPerMilli) {
		for (int i = 0; i < calls; i++) {
			Work work = work(random);
			this.model.update(work, millis(work, 12, tokensPerMilli, 0.3, 0.28));
		}
	}

	private static Work work(Random random) {
		int promptTokens = 200 + (int) Math.min(40_000, Math.exp(7.5 + 1.2 * random.nextGaussian()));
		int uncachedTokens = (int) (promptTokens * (0.2 + 0.8 * random.nextDouble()));
		int queuedTokens = random.nextBoolean() ? 0 : random.nextInt(12_000);
		return Work.of(queuedTokens, uncachedTokens, promptTokens, random.nextInt(20));
	}

	private static double millis(Work work, double base, double tokensPerMilli, double perCall, double perPair) {
		return base + work.tokens() / tokensPerMilli + perCall * work.calls() + perPair * work.tokenPairs();
	}

	private static double noise(Random random) {
		return Math.exp(0.25 * random.nextGaussian());
	}

}
